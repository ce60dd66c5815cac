"""RPC messages by which agents report to the placer and receive its orders.

Fields are encoded by position: their order, number and types must not change, and
new ones go last with a default.
"""

from typing import NamedTuple

from sequoiachute.protocol.messages import Method
from sequoiachute.protocol.workload import Lifetime, Resources

DONE = "done"
RUN_FAILED = "failed"
STOPPED = "stopped"
WITHDRAWN = "withdrawn"  # reason of a start that was settled by a stop


class WorkerInfo(NamedTuple):
    """A worker as it describes itself in its heartbeats.

    ``leaving_seconds`` is the time left until a ``leaving`` worker is gone.
    """

    lifetime: Lifetime
    service: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    capacity: Resources
    leaving: bool = False
    leaving_seconds: float = 0.0


class RunReport(NamedTuple):
    """A run that is present on the worker, with its newest checkpoint ``token``.

    ``percent`` is the progress in percent or, for a task that serves requests,
    its tail latency in milliseconds. ``usage`` is a rough figure for the last half
    second.
    """

    task: str
    run: int
    token: str
    percent: int
    usage: int = 0


class EndReport(NamedTuple):
    """A run that has ended; ``number`` counts the ends in a worker's lifetime.

    ``outcome`` is ``DONE``, ``RUN_FAILED`` or ``STOPPED``, ``token`` the newest
    checkpoint.
    """

    number: int
    task: str
    run: int
    outcome: str
    token: str


class SettledStart(NamedTuple):
    """A start that was refused or withdrawn: the run will certainly never exist."""

    task: str
    run: int
    reason: str


class CrashReport(NamedTuple):
    """A lifetime that ended without a word, with task and run of what it may have run.

    These are the runs that it was asked to start, answered or not.
    """

    lifetime: Lifetime
    runs: tuple[tuple[str, int], ...]


class Report(NamedTuple):
    """State of a worker, reported by its agent.

    ``departed_lifetime`` is the last lifetime of the worker that is known to be over,
    ``ended_lifetime`` the same once none of its starts may be carried out late any
    more, for entries that know only this one. ``term`` is the term under which the
    worker last answered, so that a placer knows whether its fencing is in force there.
    ``worker_clock_ms`` is a reading of the worker's clock taken before this report.
    ``known_version`` is the version of the orders that the agent has, and ``wait`` the
    seconds for which the placer may delay the reply until there are newer ones.
    ``late_starts`` holds task and run of starts that were not answered and may still be
    carried out, ``late_start_ages`` for each the seconds since the last such call was
    sent, ``crashes`` the newest lifetimes that ended without a word while this agent
    ran. ``fence_base`` is that of the fencing tokens of the worker's lifetime.
    """

    host: str
    incarnation: str
    sequence: int
    worker: WorkerInfo | None
    ended_lifetime: Lifetime | None
    term: int
    worker_clock_ms: int
    runs: tuple[RunReport, ...] = ()
    ends: tuple[EndReport, ...] = ()
    settled: tuple[SettledStart, ...] = ()
    known_version: int = 0
    wait: float = 0.0
    late_starts: tuple[tuple[str, int], ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    late_start_ages: tuple[float, ...] = ()
    departed_lifetime: Lifetime | None = None
    fence_base: int = 0


def late_start_ages(report: Report) -> dict[tuple[str, int], float]:
    """Return the seconds since each late start was sent, by task and run.

    An agent of an earlier version reports no ages: the starts count as just sent.
    """
    keys = [tuple(key) for key in report.late_starts]
    ages = report.late_start_ages or (0.0,) * len(keys)
    return dict(zip(keys, ages, strict=False))


class RunOrder(NamedTuple):
    """A run that the worker should have, or should stop if ``stop`` is set.

    It takes ``need`` of the worker's capacity.

    The tail latency of a task that serves requests must stay under ``target_ms``;
    a ``filling`` task yields processors to it.
    """

    task: str
    run: int
    payload: str
    token: str = ""
    ticket: str = ""
    stop: bool = False
    target_ms: int = 0
    filling: bool = False
    need: Resources = Resources()


class Orders(NamedTuple):
    """Reply to a report.

    ``leader`` and ``term`` identify the placer as far as the answering entry
    knows; the other fields are valid only if ``leading``. ``lease_ms`` is the time
    on the worker's clock until which its runs may continue. ``ack`` is the number
    up to which all ends are recorded. While ``zone_closed``, the worker must not
    start any run. ``services`` are those that the catalogue in force names, whoever
    answers. ``fence_base`` is the least one that the tokens of calls to ``lifetime``
    must have, which a later process of the agent does not know.
    """

    leading: bool
    leader: str
    term: int
    entries: tuple[str, ...]
    version: int = 0
    lifetime: Lifetime = Lifetime()
    lease_ms: int = 0
    ack: int = 0
    zone_closed: bool = False
    runs: tuple[RunOrder, ...] = ()
    services: tuple[str, ...] = ()
    fence_base: int = 0


REPORT = Method("/sequoiachute.Supervision/Report", Report, Orders)
