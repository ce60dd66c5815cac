"""Runs requests on the backend server beside an agent."""

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
    """The sole authority over the backend server's connections.

    Every attempt runs in a task of its own, so that its end is known even if
    nobody waits for it any more. An attempt that was refused, runs or has run
    is never started again.

    Parameters
    ----------
    incarnation : str
        Identity of this run of the agent; requests for another are refused.
    connections : int
        Requests that may be in progress at the same time.
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
        self._open = 0
        self._leaving = False

    @property
    def open_connections(self) -> int:
        """Requests in progress."""
        return self._open

    def leave(self) -> None:
        """Take no new requests."""
        self._leaving = True

    def execute(self, message: Execute) -> ExecuteReply:
        """Run a request on the backend server and return its answer.

        A non-idempotent request that outlasts its deadline goes on, and its
        answer is kept for ``attempt``.
        """
        known = self._attempts.get(message.attempt_id)
        if known is not None:
            return self._end_of(known, _reply(message, UNKNOWN), 0.0)
        refusal = self._refusal(message)
        if refusal:
            reply = self._loaded(_reply(message, NOT_RUN, refusal))
            self._attempts.refuse(reply, message.valid_until, clock.now())
            return reply
        attempt = self._attempts.begin(message.attempt_id, message.valid_until)
        self._open += 1
        eventlet.spawn(self._run, message)
        wait = message.deadline
        if message.idempotent:
            # The backend client ends the call at the deadline itself.
            wait += ANSWER_GRACE_SECONDS
        return self._loaded(self._end_of(attempt, _reply(message, UNKNOWN), wait))

    def attempt_outcome(self, query: AttemptQuery) -> ExecuteReply:
        """Tell what became of an attempt; one never seen will never run."""
        reply = _reply(query, UNKNOWN)
        if query.incarnation != self._incarnation:
            return reply._replace(reason="the agent has been restarted")
        known = self._attempts.get(query.attempt_id)
        if known is not None:
            return self._end_of(known, reply, query.wait)
        if self._attempts.is_forgotten(query.valid_until):
            return reply._replace(reason="the attempt is no longer remembered")
        reply = _reply(query, NOT_RUN, "the attempt did not reach the agent")
        self._attempts.refuse(reply, query.valid_until, clock.now())
        return reply

    def _end_of(
        self, attempt: Attempt, reply: ExecuteReply, wait: float
    ) -> ExecuteReply:
        if wait > 0 and not attempt.ended.ready():
            with eventlet.Timeout(wait, False):
                # Not the kept reply: its body may have been released.
                return attempt.ended.wait()
        ended = self._attempts.reply(attempt.attempt_id)
        if ended is not None:
            return ended
        return reply._replace(outcome=RUNNING, reason="the attempt is still running")

    def _run(self, message: Execute) -> None:
        began = clock.now()
        reply = _reply(message, UNKNOWN, "the agent failed while it ran the request")
        try:
            reply = self._call_backend(message, began)
        finally:
            self._open -= 1
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

    def _loaded(self, reply: ExecuteReply) -> ExecuteReply:
        return reply._replace(open_connections=self._open)

    def _refusal(self, message: Execute) -> str:
        now = clock.now()
        if message.incarnation != self._incarnation:
            return "the agent has been restarted"
        if self._leaving:
            return "the backend server is leaving"
        if message.valid_until and now > message.valid_until:
            return "the attempt arrived after its validity"
        if not self._view.in_service:
            return "the data centre is out of service"
        if self._open >= self._connections:
            return "no free connection"
        if self._attempts.is_full(now):
            return "the agent remembers too many attempts"
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
