"""Request and response bodies of the HTTP interface."""

from typing import NotRequired, TypedDict

from sequoiachute.protocol.catalogue import Catalogue

JobView = TypedDict(
    "JobView",
    {
        "job_id": str,
        "account": str,
        "class": str,
        "state": str,
        "attempt": int,
        "submitted_at": float,
        "started_at": float | None,
        "ended_at": float | None,
        "workers": list[str],
        "reason": str,
        "result": str,
    },
)
"""A job as its caller sees it; times are seconds since the epoch."""


class JobsView(TypedDict):
    """Every job of an account, in order of acceptance."""

    jobs: list[JobView]


class CatalogueView(TypedDict):
    """The catalogue in force, its offset and the data centres out of service."""

    offset: int
    catalogue: Catalogue
    out_of_service: list[str]


class ChangeView(TypedDict):
    """Offset of an operator's change that has taken effect."""

    offset: int


class ProblemView(TypedDict):
    """A refusal.

    ``ran`` is false if certainly nothing ran, true if something did and null if
    unknown. ``retry_after`` is in seconds.
    """

    title: str
    status: int
    remedy: str
    ran: bool | None
    retry_after: NotRequired[float]


class LivenessView(TypedDict):
    """Whether the process runs."""

    alive: bool


class ReadinessView(TypedDict):
    """Whether the load balancer may send requests."""

    ready: bool


class WorkerView(TypedDict):
    """A worker as an entry instance sees it."""

    worker_id: str
    data_centre: str
    rack: str
    accelerators: int
    free_accelerators: int
    free_slots: int
    open_connections: int
    speed_class: str
    leaving: bool
    config_offset: int


class WorkersView(TypedDict):
    """The workers that announced themselves recently."""

    workers: list[WorkerView]
