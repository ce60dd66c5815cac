"""Types of the records in the service-levels stream."""

from typing import Literal, NotRequired, TypedDict

Objective = Literal["completion", "guarantee", "answer"]
Work = Literal["job", "request"]


class ObjectiveCount(TypedDict):
    """Events of one objective, for one client account and class.

    ``causes`` counts the ``bad`` events, which spend the error budget, by cause.
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
    """Use of the accelerators over ``seconds``, in accelerator-seconds.

    ``unusable`` is the part of ``free`` that the largest waiting gang could not
    use. ``work`` is the time used, by data centre; ``out`` lists the data centres
    that were out of service.
    """

    seconds: float
    free: float
    unusable: float
    work: dict[str, float]
    out: list[str]


class ServiceLevelSummary(TypedDict):
    """Counts of one entry instance between two wall times.

    The placer also counts the ends of jobs, from the records of the jobs stream
    after offset ``jobs_from`` up to ``jobs_through``. Its summary applies only if
    ``jobs_from`` equals ``jobs_through`` of the last such summary.
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
    """Replaces the records of a period at or before offset ``through``.

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
