"""Runs requests on the backend server of an agent, each attempt at most once."""

from hashlib import sha256

import eventlet

from sequoiachute import clock
from sequoiachute.coordination.freshness import ConfigurationView
from sequoiachute.protocol.messages import AttemptQuery, Execute, ExecuteReply
from sequoiachute.state.attempts import Attempt, AttemptTable
from sequoiachute.transport.ports import BackendServer

ANSWERED = "answered"
NOT_RUN = "not-run"
RUNNING = "running"
UNKNOWN = "unknown"

ANSWER_GRACE_SECONDS = 60.0


class Executor:
    """Runs attempts on the backend server; nothing else uses its connections.

    Every attempt runs in a green thread of its own, so that its outcome is
    recorded even if no caller waits for it any more. An attempt that was
    refused, is running or has run is never started again.

    Parameters
    ----------
    incarnation : str
        Identity of this run of the agent; requests for another are refused.
    connections : int
        Largest number of requests in progress at the same time.
    view : ConfigurationView
        The agent's view of the configuration, for its data centre's state.
    backend : BackendServer
        Client of the backend server.
    """

    def __init__(
        self,
        incarnation: str,
        connections: int,
        view: ConfigurationView,
        backend: BackendServer,
    ) -> None:
        self._incarnation = incarnation
        self._connections = connections
        self._view = view
        self._backend = backend
        self._attempts = AttemptTable()
        self._open_connections = 0
        self._leaving = False

    @property
    def open_connections(self) -> int:
        """Number of requests in progress."""
        return self._open_connections

    def leave(self) -> None:
        """Refuse all new requests from now on."""
        self._leaving = True

    def execute(self, message: Execute) -> ExecuteReply:
        """Run a request on the backend server and return its answer.

        A non-idempotent request that outlasts its deadline continues, and its
        answer is kept for ``attempt_outcome``.
        """
        known = self._attempts.get(message.attempt_id)
        if known is not None:
            return self._await_reply(known, _reply(message, UNKNOWN), 0.0)
        refusal = self._refusal(message)
        if refusal:
            reply = self._with_open_connections(_reply(message, NOT_RUN, refusal))
            self._attempts.refuse(reply, message.valid_until, clock.now())
            return reply
        attempt = self._attempts.begin(message.attempt_id, message.valid_until)
        self._open_connections += 1
        eventlet.spawn(self._run_attempt, message)
        wait = message.deadline
        if message.idempotent:
            # The backend client itself ends the call at the deadline.
            wait += ANSWER_GRACE_SECONDS
        return self._with_open_connections(
            self._await_reply(attempt, _reply(message, UNKNOWN), wait)
        )

    def attempt_outcome(self, query: AttemptQuery) -> ExecuteReply:
        """Return the outcome of an attempt; refuse it for good if it was never seen.

        Waits up to ``query.wait`` seconds for an attempt that is running.
        """
        reply = _reply(query, UNKNOWN)
        if query.incarnation != self._incarnation:
            return reply._replace(reason="the agent has been restarted")
        known = self._attempts.get(query.attempt_id)
        if known is not None:
            return self._await_reply(known, reply, query.wait)
        if self._attempts.is_forgotten(query.valid_until):
            return reply._replace(
                reason="the attempt's outcome is no longer remembered"
            )
        reply = _reply(query, NOT_RUN, "the attempt did not reach the agent")
        self._attempts.refuse(reply, query.valid_until, clock.now())
        return reply

    def _await_reply(
        self, attempt: Attempt, reply: ExecuteReply, wait: float
    ) -> ExecuteReply:
        if wait > 0 and not attempt.ended.ready():
            with eventlet.Timeout(wait, False):
                # The event holds the whole reply; the table may have released its body.
                return attempt.ended.wait()
        ended = self._attempts.reply(attempt.attempt_id)
        if ended is not None:
            return ended
        return reply._replace(outcome=RUNNING, reason="the attempt is still running")

    def _run_attempt(self, message: Execute) -> None:
        began = clock.now()
        reply = _reply(message, UNKNOWN, "the agent failed while it ran the request")
        try:
            reply = self._call_backend(message, began)
        finally:
            self._open_connections -= 1
            self._attempts.end(
                message.attempt_id, reply, clock.now(), not message.idempotent
            )

    def _call_backend(self, message: Execute, began: float) -> ExecuteReply:
        timeout = message.deadline
        if not message.idempotent:
            timeout += ANSWER_GRACE_SECONDS
        outcome = self._backend.execute(
            message.request_id,
            message.attempt_id,
            message.content_type,
            message.body,
            timeout,
        )
        if outcome.is_err():
            error = outcome.unwrap_err()
            return _reply(
                message, UNKNOWN if error.delivered else NOT_RUN, error.reason
            )
        answer = outcome.unwrap()
        return _reply(message, ANSWERED)._replace(
            status=answer.status,
            content_type=answer.content_type,
            digest=sha256(answer.body).hexdigest(),
            length=len(answer.body),
            body=answer.body,
            service_seconds=clock.now() - began,
        )

    def _with_open_connections(self, reply: ExecuteReply) -> ExecuteReply:
        return reply._replace(open_connections=self._open_connections)

    def _refusal(self, message: Execute) -> str:
        now = clock.now()
        if message.incarnation != self._incarnation:
            return "the agent has been restarted"
        if self._leaving:
            return "the backend server is leaving"
        if message.valid_until and now > message.valid_until:
            return f"the attempt's validity ended {now - message.valid_until:.1f} s ago"
        if not self._view.in_service:
            return "the data centre is out of service"
        if self._open_connections >= self._connections:
            return f"all {self._connections} connections are in use"
        if self._attempts.is_full(now):
            return "the table of remembered attempts is full"
        return ""


def _reply(
    message: Execute | AttemptQuery, outcome: str, reason: str = ""
) -> ExecuteReply:
    return ExecuteReply(
        request_id=message.request_id,
        attempt_id=message.attempt_id,
        outcome=outcome,
        status=0,
        content_type="",
        digest="",
        length=0,
        body=b"",
        reason=reason,
    )
