"""Runs requests on the backend server beside an agent."""

from hashlib import sha256

from sequoiachute import clock
from sequoiachute.coordination.freshness import ConfigurationView
from sequoiachute.protocol.messages import Execute, ExecuteReply
from sequoiachute.transport.ports import BackendServer


class Executor:
    """The sole authority over the backend server's connections.

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
        """Run a request on the backend server."""
        refusal = self._refusal(message)
        if refusal:
            return _not_run(message, refusal)
        self._open += 1
        began = clock.now()
        try:
            outcome = self._backend.execute(
                message.request_id,
                message.attempt_id,
                message.content_type,
                message.body,
                message.deadline,
            )
        finally:
            self._open -= 1
        if outcome.is_err():
            error = outcome.unwrap_err()
            if not error.delivered:
                return _not_run(message, error.reason)
            return _not_run(message, error.reason)._replace(outcome="unknown")
        answer = outcome.unwrap()
        return ExecuteReply(
            request_id=message.request_id,
            attempt_id=message.attempt_id,
            outcome="answered",
            status=answer.status,
            content_type=answer.content_type,
            digest=sha256(answer.body).hexdigest(),
            length=len(answer.body),
            body=answer.body,
            service_seconds=clock.now() - began,
        )

    def _refusal(self, message: Execute) -> str:
        if message.incarnation != self._incarnation:
            return "the agent has been restarted"
        if self._leaving:
            return "the backend server is leaving"
        if not self._view.in_service:
            return "the data centre is out of service"
        if self._open >= self._connections:
            return "no free connection"
        return ""


def _not_run(message: Execute, reason: str) -> ExecuteReply:
    return ExecuteReply(
        request_id=message.request_id,
        attempt_id=message.attempt_id,
        outcome="not-run",
        status=0,
        content_type="",
        digest="",
        length=0,
        body=b"",
        reason=reason,
    )
