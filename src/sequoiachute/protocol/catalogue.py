"""The catalogue that operators publish."""

from typing import Literal, NotRequired, TypedDict

Within = Literal["worker", "rack", "data_centre"]


class Shape(TypedDict):
    """Adjacent accelerators of a guarantee.

    ``accelerators`` accelerators lie inside one ``within`` domain, on workers of
    ``speed_class`` if given. Over several workers, each worker's part is a
    multiple of ``per_worker``, one by default.
    """

    accelerators: int
    within: Within
    speed_class: NotRequired[str]
    per_worker: NotRequired[int]


class Limits(TypedDict, total=False):
    """Bounds of a client account; a missing key takes the default."""

    queued_requests: int
    running_requests: int
    queued_jobs: int
    accelerators: int


class JobClass(TypedDict):
    """A class of work and its objective.

    ``priority`` orders classes, larger first. ``objective_seconds`` is the
    completion time promised for ``objective_share`` of the jobs and
    ``request_seconds`` that of requests. ``guarantee_share`` of the covered
    jobs start within the reclaim bound; ``answer_share`` of the requests get
    a complete answer.
    """

    priority: int
    objective_seconds: float
    objective_share: NotRequired[float]
    urgent: NotRequired[bool]
    request_seconds: NotRequired[float]
    guarantee_share: NotRequired[float]
    answer_share: NotRequired[float]


class Account(TypedDict):
    """A client account: owner, class, limits and guaranteed shapes."""

    owner: str
    job_class: str
    limits: NotRequired[Limits]
    weight: NotRequired[float]
    guarantees: NotRequired[list[Shape]]


class DataCentre(TypedDict):
    """A data centre and the region it lies in."""

    region: str


class Catalogue(TypedDict):
    """The complete configuration that operators publish."""

    classes: dict[str, JobClass]
    accounts: dict[str, Account]
    data_centres: dict[str, DataCentre]


EMPTY_CATALOGUE: Catalogue = {"classes": {}, "accounts": {}, "data_centres": {}}
