"""Records of the service-levels stream."""

from typing import Literal, NotRequired, TypedDict

Objective = Literal["completion", "guarantee", "answer"]
Work = Literal["job", "request"]


class ObjectiveCount(TypedDict):
    """Events of one objective, for one client account and class.

    ``causes`` splits ``bad`` by what spent the error budget.
    """

    account: str
    job_class: str
    objective: Objective
    good: int
    bad: int
    causes: dict[str, int]


class LatencyHistogram(TypedDict):
    """Completion times of a class as an encoded HdrHistogram in milliseconds."""

    job_class: str
    work: Work
    encoded: str


class FleetUse(TypedDict):
    """What the accelerators did in ``seconds``, in accelerator-seconds.

    ``unusable`` is the part of ``free`` that the largest waiting gang could
    not use. ``work`` is by data centre; ``out`` are the data centres that were
    out of service.
    """

    seconds: float
    free: float
    unusable: float
    work: dict[str, float]
    out: list[str]


class ServiceLevelSummary(TypedDict):
    """What one entry instance counted between two wall times.

    The placer also counts the ends of jobs: those that the jobs stream tells
    after offset ``jobs_from`` up to ``jobs_through``. The summary applies only
    if ``jobs_from`` is where the last such summary ended.
    """

    kind: Literal["service-level-summary"]
    record_id: str
    entry: str
    began_at: float
    ended_at: float
    counts: list[ObjectiveCount]
    histograms: list[LatencyHistogram]
    fleet: list[FleetUse]
    jobs_from: NotRequired[int]
    jobs_through: NotRequired[int]


class ServiceLevelRollup(TypedDict):
    """Replaces what ended in a period and lies at or before ``through``.

    It applies only if ``base`` is the offset of the period's last rollup.
    """

    kind: Literal["service-level-rollup"]
    record_id: str
    base: int
    through: int
    jobs_through: int
    began_at: float
    ended_at: float
    counts: list[ObjectiveCount]
    histograms: list[LatencyHistogram]
    fleet: list[FleetUse]
