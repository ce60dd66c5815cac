"""The worker beside an agent, as a ``Protocol`` type."""

from typing import NamedTuple, Protocol

from result import Result

from sequoiachute.protocol.supervision import EndReport, RunOrder, RunReport
from sequoiachute.protocol.workload import Lifetime

ALREADY_RAN = "already ran"


class WorkerError(NamedTuple):
    """A call to the worker failed.

    ``reason`` is ``ALREADY_RAN`` for a start of a run that was there before.

    ``done`` is false if the worker certainly did nothing, and ``None`` if the
    call may have been, or may yet be, carried out. ``fenced`` says that the
    worker has seen a higher term.
    """

    reason: str
    applied: bool | None
    fenced: bool = False


class WorkerStatus(NamedTuple):
    """All runs of a worker and the ends that were not acknowledged."""

    life: Lifetime
    clock_ms: int
    runs: tuple[RunReport, ...]
    ends: tuple[EndReport, ...]


class TaskWorker(Protocol):
    """The worker beside an agent; every call is fenced by a term."""

    def poll(
        self, life: Lifetime, term: int, lease_ms: int, ack: int, wait: float
    ) -> Result[WorkerStatus, WorkerError]:
        """Renew the leases, acknowledge ends and return what is there.

        Waits up to ``wait`` seconds for an end. Another lifetime than ``life``
        refuses, or tells in its answer that it is another.
        """
        ...

    def start(
        self, worker_id: str, order: RunOrder, term: int, lease_ms: int
    ) -> Result[None, WorkerError]:
        """Start a run; the same run is started once."""
        ...

    def stop(
        self, worker_id: str, task: str, run: int, term: int
    ) -> Result[None, WorkerError]:
        """Stop a run; once answered, a run that isn't there never will be."""
        ...

    def pace(
        self, worker_id: str, task: str, run: int, percent: int, term: int
    ) -> Result[None, WorkerError]:
        """Let a run work at a share of its speed."""
        ...
