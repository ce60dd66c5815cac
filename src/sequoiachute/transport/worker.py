"""Protocol of the worker on an agent's host."""

from typing import NamedTuple, Protocol

from result import Result

from sequoiachute.protocol.supervision import EndReport, RunOrder, RunReport
from sequoiachute.protocol.workload import Lifetime

ALREADY_RAN = "already ran"
UNHEALTHY = "the worker takes no work"  # reason of a start that it refused
MAX_CALL_DELAY_SECONDS = 12.0  # until a call without an answer is carried out
OTHER_LIFETIME = "other lifetime"  # reason of a call that another worker answered
BAD_TICKET = "ticket"  # reason of a start whose ticket it refused


class WorkerError(NamedTuple):
    """Why a call to the worker failed.

    ``reason`` is ``ALREADY_RAN`` if the run to start had been started before.
    ``applied`` is false if the call certainly had no effect, and ``None`` if it
    may have taken effect or may still do so. ``fenced`` is true if the worker
    has seen a higher term, or could not be reached at all. ``gone`` is true if nothing
    listens at the worker's address, or another worker does.
    """

    reason: str
    applied: bool | None
    fenced: bool = False
    gone: bool = False


class WorkerStatus(NamedTuple):
    """A worker's runs and the run ends not acknowledged yet.

    ``clock_ms`` is a reading of the worker's own clock.
    """

    lifetime: Lifetime
    clock_ms: int
    runs: tuple[RunReport, ...]
    ends: tuple[EndReport, ...]


class TaskWorker(Protocol):
    """The worker on an agent's host.

    Every call is meant for one lifetime and carries a fencing token, ``fence``: the
    worker does nothing for a lower one than it has seen.
    """

    def poll(
        self, lifetime: Lifetime, fence: int, lease_ms: int, ack: int, wait: float
    ) -> Result[WorkerStatus, WorkerError]:
        """Renew the run leases, acknowledge ends and return the worker's status.

        Waits up to ``wait`` seconds for a run to end. A worker in another
        lifetime than ``lifetime`` rejects the call or reports its own lifetime.

        Parameters
        ----------
        lease_ms : int
            When the leases end, on the worker's clock; 0 renews none.
        ack : int
            Number of the last end to acknowledge.
        """
        ...

    def start(
        self, lifetime: Lifetime, order: RunOrder, fence: int, lease_ms: int
    ) -> Result[None, WorkerError]:
        """Start a run; repeating the call has no effect."""
        ...

    def stop(
        self, lifetime: Lifetime, task: str, run: int, fence: int
    ) -> Result[None, WorkerError]:
        """Stop a run; after success, a run not started yet never will be."""
        ...

    def pace(
        self, lifetime: Lifetime, task: str, run: int, percent: int, fence: int
    ) -> Result[None, WorkerError]:
        """Limit a run to ``percent`` of its speed."""
        ...
