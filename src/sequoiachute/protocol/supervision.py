"""Messages between agents, the placer and the other entry instances."""

from typing import NamedTuple

from sequoiachute.protocol.messages import Method
from sequoiachute.protocol.workload import Lifetime, Resources

DONE = "done"
RUN_FAILED = "failed"
STOPPED = "stopped"


class WorkerInfo(NamedTuple):
    """A worker as it describes itself; ``leaving_seconds`` is what is left."""

    life: Lifetime
    service: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    capacity: Resources
    leaving: bool = False
    leaving_seconds: float = 0.0


class RunReport(NamedTuple):
    """A run that is there: its newest checkpoint and its measure.

    ``measure`` is the progress in percent, or the tail latency in ms of a task
    that serves. ``usage`` is the rough figure of the last half second.
    """

    task: str
    run: int
    token: str
    percent: int
    usage: int = 0


class EndReport(NamedTuple):
    """A run that has ended; ``number`` counts the ends of a lifetime."""

    number: int
    task: str
    run: int
    outcome: str
    token: str


class SettledStart(NamedTuple):
    """A run that certainly will never be: it was refused or withdrawn."""

    task: str
    run: int
    reason: str


class Report(NamedTuple):
    """What an agent says of its worker.

    ``term`` is the term under which the worker was last seen, so that a
    placer knows whether its fence is in force there. ``worker_clock_ms`` is a
    reading of the worker's clock taken before this report. ``wait`` is how
    many seconds the placer may hold the reply until there is news.
    """

    host: str
    incarnation: str
    sequence: int
    worker: WorkerInfo | None
    gone: Lifetime | None
    term: int
    worker_clock_ms: int
    runs: tuple[RunReport, ...] = ()
    ends: tuple[EndReport, ...] = ()
    settled: tuple[SettledStart, ...] = ()
    known_version: int = 0
    wait: float = 0.0


class RunOrder(NamedTuple):
    """A run that should be there, or be stopped.

    The tail latency of a task that serves must stay under ``target_ms``; a
    ``filling`` task gives way to it.
    """

    task: str
    run: int
    payload: str
    token: str = ""
    ticket: str = ""
    stop: bool = False
    target_ms: int = 0
    filling: bool = False


class Orders(NamedTuple):
    """Reply to a report.

    ``leader`` and ``term`` name the placer as far as the answering entry
    knows; the rest counts only if ``leading``. ``lease_ms`` is a time on the
    worker's clock until which its runs may go on.
    """

    leading: bool
    leader: str
    term: int
    entries: tuple[str, ...]
    version: int = 0
    life: Lifetime = Lifetime()
    lease_ms: int = 0
    ack: int = 0
    closed: bool = False
    runs: tuple[RunOrder, ...] = ()


REPORT = Method("/sequoiachute.Supervision/Report", Report, Orders)
