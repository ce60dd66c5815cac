"""Records in the log's streams, and their JSON codec.

A record is a JSON object. ``kind`` selects its type. ``record_id`` is unique, so
that after a lost append reply a read tells whether the record was appended.
Unknown kinds, other format versions and malformed records decode to ``None`` and
are skipped.
"""

from typing import Any, Literal, NamedTuple, NotRequired, TypedDict

import msgspec

from sequoiachute.protocol.catalogue import Catalogue, Within
from sequoiachute.protocol.decoder import decode_json
from sequoiachute.protocol.service_levels import (
    ServiceLevelRollup,
    ServiceLevelSummary,
)

FORMAT_VERSION = 1

CONFIGURATION_STREAM = "configuration"
JOBS_STREAM = "jobs"
INTENTS_STREAM = "intents"
LEASES_STREAM = "leases"
SERVICE_LEVELS_STREAM = "service-levels"


class Position(NamedTuple):
    """Offset of a record in its stream and the time of its append."""

    offset: int
    appended_at: float


class CataloguePublished(TypedDict):
    """A whole catalogue that replaces the one published at offset ``base``."""

    kind: Literal["catalogue-published"]
    record_id: str
    base: int
    operator: str
    catalogue: Catalogue


class DataCentreSwitched(TypedDict):
    """A data centre taken out of service or put back into service.

    ``base`` is the offset of the last switch of the same data centre, so that
    a delayed append cannot undo a newer switch.
    """

    kind: Literal["data-centre-switched"]
    record_id: str
    operator: str
    data_centre: str
    in_service: bool
    base: NotRequired[int]


class JobSpec(TypedDict):
    """What a caller asks to run.

    ``tasks`` tasks of ``accelerators`` accelerators each run as one gang
    inside one ``within``. ``run_seconds`` is the caller's own estimate.
    """

    tasks: int
    accelerators: int
    within: Within
    run_seconds: float
    payload: str
    checkpointable: NotRequired[bool]
    speed_class: NotRequired[str]


class JobAccepted(TypedDict):
    """A job that was accepted: it will run or end with a reason."""

    kind: Literal["job-accepted"]
    record_id: str
    job_id: str
    account: str
    job_class: str
    idempotency_key: str
    body_digest: str
    submitted_at: float
    spec: JobSpec


class JobCancelled(TypedDict):
    """A caller's cancellation of a job."""

    kind: Literal["job-cancelled"]
    record_id: str
    job_id: str


class JobStarted(TypedDict):
    """A gang attempt that has been committed."""

    kind: Literal["job-started"]
    record_id: str
    job_id: str
    attempt: int
    started_at: float
    workers: list[str]


class JobRequeued(TypedDict):
    """A running attempt ended without finishing the job.

    ``failed_workers`` are those on which tasks of the attempt failed.
    """

    kind: Literal["job-requeued"]
    record_id: str
    job_id: str
    attempt: int
    reason: str
    done_seconds: float
    failed_workers: NotRequired[list[str]]


class JobEnded(TypedDict):
    """The end of a job: finished, failed or cancelled."""

    kind: Literal["job-ended"]
    record_id: str
    job_id: str
    outcome: Literal["finished", "failed", "cancelled"]
    reason: str
    result: str
    ended_at: float


class IntentRecorded(TypedDict):
    """Permission for one attempt to run a non-idempotent request.

    ``address`` is the agent's address and ``valid_until`` a time on its clock.
    """

    kind: Literal["intent-recorded"]
    record_id: str
    account: str
    idempotency_key: str
    body_digest: str
    request_id: str
    attempt_id: str
    worker_id: str
    incarnation: str
    recorded_at: float
    address: NotRequired[str]
    valid_until: NotRequired[float]


class IntentAnswered(TypedDict):
    """The answer to a non-idempotent request, kept for its key.

    ``held`` is false if the answer was too large to be recorded.
    """

    kind: Literal["intent-answered"]
    record_id: str
    account: str
    idempotency_key: str
    attempt_id: str
    outcome: Literal["answered", "not-run", "unknown"]
    status: int
    content_type: str
    answer: str
    held: NotRequired[bool]
    answer_bytes: NotRequired[int]


class LeaseClaimed(TypedDict):
    """A claim or renewal of a named lease, as a compare-and-set on ``base``.

    A renewal repeats the ``term`` under which the holder took the lease.
    """

    kind: Literal["lease-claimed"]
    record_id: str
    name: str
    base: int
    holder: str
    address: str
    duration: float
    term: NotRequired[int]


class RecordsVoided(TypedDict):
    """Voids the records named in ``targets`` if they come later in the stream."""

    kind: Literal["records-voided"]
    record_id: str
    targets: list[str]


class SnapshotPart(TypedDict):
    """One part of a snapshot: some of the items of its state."""

    kind: Literal["snapshot-part"]
    record_id: str
    snapshot_id: str
    part: int
    items: list[Any]


class SnapshotCompleted(TypedDict):
    """Completes a snapshot of all records of ``stream`` before ``through``."""

    kind: Literal["snapshot-completed"]
    record_id: str
    snapshot_id: str
    stream: str
    through: int
    parts: int
    items: int
    voided: list[str]


Record = (
    CataloguePublished
    | DataCentreSwitched
    | JobAccepted
    | JobCancelled
    | JobStarted
    | JobRequeued
    | JobEnded
    | IntentRecorded
    | IntentAnswered
    | LeaseClaimed
    | RecordsVoided
    | SnapshotPart
    | SnapshotCompleted
    | ServiceLevelRollup
    | ServiceLevelSummary
)

_RECORD_TYPES: dict[str, Any] = {
    "catalogue-published": CataloguePublished,
    "data-centre-switched": DataCentreSwitched,
    "job-accepted": JobAccepted,
    "job-cancelled": JobCancelled,
    "job-started": JobStarted,
    "job-requeued": JobRequeued,
    "job-ended": JobEnded,
    "intent-recorded": IntentRecorded,
    "intent-answered": IntentAnswered,
    "lease-claimed": LeaseClaimed,
    "records-voided": RecordsVoided,
    "snapshot-part": SnapshotPart,
    "snapshot-completed": SnapshotCompleted,
    "service-level-rollup": ServiceLevelRollup,
    "service-level-summary": ServiceLevelSummary,
}


def snapshots_of(stream: str) -> str:
    """Return the name of the stream that keeps the snapshots of ``stream``."""
    return f"{stream}-snapshots"


def encode_record(record: Any) -> bytes:
    """Return ``record`` as JSON, with the format version added."""
    return msgspec.json.encode({"format": FORMAT_VERSION, **record})


def decode_record(data: bytes) -> Any | None:
    """Return the typed record in ``data``, or ``None`` if it must be skipped."""
    try:
        fields = decode_json(data)
        if not isinstance(fields, dict) or fields.get("format") != FORMAT_VERSION:
            return None
        record_type = _RECORD_TYPES.get(fields.get("kind"))
        if record_type is None:
            return None
        return msgspec.convert(fields, record_type)
    except (msgspec.DecodeError, msgspec.ValidationError, TypeError):
        return None
