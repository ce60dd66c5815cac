"""RPC messages between entry instances and agents.

Fields are encoded by position: their order, number and types must not change, and
new ones go last with a default.
"""

from typing import Any, NamedTuple

from sequoiachute.protocol.catalogue import Catalogue

NO_TERM = -1  # term before the first placer


class Method(NamedTuple):
    """A unary RPC method: its path and its message types."""

    path: str
    request: Any
    reply: Any


class Occupant(NamedTuple):
    """A task that holds a slot and accelerators of a worker.

    A ``guaranteed`` task is never evicted for another account; any other task
    runs on borrowed capacity, which can be reclaimed.
    """

    job_id: str
    attempt: int
    account: str
    accelerators: tuple[int, ...]
    guaranteed: bool
    started: bool


class TaskReport(NamedTuple):
    """State of a task, sent again until the entry acknowledges its end."""

    job_id: str
    attempt: int
    member: int
    state: str
    reason: str = ""
    result: str = ""
    done_seconds: float = 0.0


class Announcement(NamedTuple):
    """State of a backend server, sent by its agent to every entry.

    ``agent_clock`` is the agent's own clock in seconds, against which the validity
    of attempts is checked. ``entry_count`` is the number of entries to which the
    agent announces and ``entry_addresses`` their addresses. ``started_at`` is wall
    time and orders the incarnations of one worker.
    """

    worker_id: str
    incarnation: str
    address: str
    region: str
    data_centre: str
    rack: str
    position: int
    accelerators: int
    slots: int
    connections: int
    speed_class: str
    speed: float
    sequence: int
    config_offset: int
    leaving: bool
    open_connections: int
    occupants: tuple[Occupant, ...]
    reports: tuple[TaskReport, ...]
    agent_clock: float = 0.0
    entry_count: int = 1
    entry_addresses: tuple[str, ...] = ()
    started_at: float = 0.0


class KeepAlive(NamedTuple):
    """Repeats the announcement ``full_sequence`` with new values of a few fields.

    An entry that does not hold that announcement asks for a full one.
    """

    worker_id: str
    incarnation: str
    sequence: int
    full_sequence: int
    config_offset: int
    open_connections: int
    agent_clock: float


class AnnouncementReply(NamedTuple):
    """Offset and age of the entry's configuration, and what it asks of the agent.

    ``confirmation_age`` is the time in seconds since the entry last confirmed that it
    had read the configuration stream to its end. ``entries`` are the addresses of
    the current entries. ``acknowledged`` names the ended tasks, by job, attempt
    and member, whose reports need not be repeated. ``term`` is the newest term of
    a placer that the entry knows. ``superseded`` means that a newer incarnation
    has taken the worker's identity; ``full_requested`` asks for a full announcement.
    """

    entry_id: str
    config_offset: int
    confirmation_age: float
    entries: tuple[str, ...]
    acknowledged: tuple[tuple[str, int, int], ...]
    term: int = NO_TERM
    superseded: bool = False
    full_requested: bool = False


class ConfigurationRequest(NamedTuple):
    """Asks for the configuration in force."""

    known_offset: int


class ConfigurationReply(NamedTuple):
    """The configuration in force at ``offset``.

    The catalogue is empty if the requester already has that offset. For each data
    centre ``switch_offsets`` holds the offset of its last switch.
    """

    offset: int
    confirmation_age: float
    catalogue: Catalogue
    out_of_service: tuple[str, ...]
    catalogue_offset: int = -1
    switch_offsets: tuple[tuple[str, int], ...] = ()


class Reserve(NamedTuple):
    """Asks an agent to reserve accelerators for one member of a gang.

    The reservation expires after ``hold_seconds``.
    """

    job_id: str
    attempt: int
    member: int
    account: str
    guaranteed: bool
    accelerators: tuple[int, ...]
    term: int
    config_offset: int
    hold_seconds: float


class ReserveReply(NamedTuple):
    """Fencing token of the reservation, zero if it was refused for ``reason``."""

    token: int
    reason: str = ""


class GangMember(NamedTuple):
    """One member of a gang, as the first member needs it to start the gang."""

    member: int
    worker_id: str
    address: str
    token: int


class Commit(NamedTuple):
    """Starts a gang whose members are all reserved; sent to the first member."""

    job_id: str
    attempt: int
    term: int
    config_offset: int
    payload: str
    run_seconds: float
    done_seconds: float
    members: tuple[GangMember, ...]


class CommitReply(NamedTuple):
    """Whether the gang was committed; if it was refused, nothing has run."""

    committed: bool
    reason: str = ""


class ReservedMember(NamedTuple):
    """A member of a gang and the token that fences its reservation."""

    member: int
    token: int


class Prepare(NamedTuple):
    """Asks whether an agent would start its members of a gang now.

    Their reservations are extended to ``hold_seconds`` from now.
    """

    job_id: str
    attempt: int
    config_offset: int
    members: tuple[ReservedMember, ...]
    hold_seconds: float


class Start(NamedTuple):
    """Starts an agent's members of a committed gang.

    The agent keeps them running only while ``first_address`` answers its
    heartbeats.
    """

    job_id: str
    attempt: int
    config_offset: int
    members: tuple[ReservedMember, ...]
    payload: str
    run_seconds: float
    done_seconds: float
    first_address: str


class GangHeartbeat(NamedTuple):
    """State of an agent's tasks, sent to the first member of their gang.

    ``state`` is ``running``, ``finished`` or ``broken``.
    """

    job_id: str
    attempt: int
    address: str
    state: str
    reason: str = ""


class GangHeartbeatReply(NamedTuple):
    """Whether the gang keeps running; if not, its tasks must be stopped."""

    running: bool
    reason: str = ""


class GangStop(NamedTuple):
    """Stops an agent's tasks of an attempt; sent by the gang's first member."""

    job_id: str
    attempt: int
    reason: str


class Stop(NamedTuple):
    """Stops a task or drops its reservation, after a checkpoint if requested."""

    job_id: str
    attempt: int
    checkpoint: bool
    reason: str
    term: int = NO_TERM


class StopReply(NamedTuple):
    """Whether nothing of the attempt runs, or can start, at the agent.

    ``reports`` hold the final states of the attempt's tasks at the agent.
    """

    ended: bool
    reason: str = ""
    reports: tuple[TaskReport, ...] = ()


class SilenceRequest(NamedTuple):
    """Asks an entry how long it has not received anything from an agent."""

    worker_id: str


class SilenceReply(NamedTuple):
    """Seconds since the agent's last message, at most the entry's own uptime."""

    seconds: float


class Execute(NamedTuple):
    """One attempt to run a request on a backend server.

    ``deadline`` is the time left in seconds. The agent refuses the attempt
    once its own clock has passed ``valid_until``; zero means no limit.
    """

    request_id: str
    attempt_id: str
    incarnation: str
    account: str
    idempotent: bool
    deadline: float
    config_offset: int
    content_type: str
    body: bytes
    valid_until: float = 0.0


class AttemptQuery(NamedTuple):
    """Asks an agent for the outcome of an attempt.

    The agent waits up to ``wait`` seconds for the attempt to end. An attempt that
    it has not seen is refused from then on and will never run.
    """

    request_id: str
    attempt_id: str
    incarnation: str
    valid_until: float
    wait: float = 0.0


class ExecuteReply(NamedTuple):
    """Outcome and answer of one attempt.

    ``outcome`` is ``answered``, ``not-run``, ``running`` or ``unknown``.
    ``digest`` is the SHA-256 of ``body`` in hexadecimal. ``held`` is false
    where the attempt was answered but its body is no longer kept.
    ``open_connections`` counts the requests in progress at the agent.
    """

    request_id: str
    attempt_id: str
    outcome: str
    status: int
    content_type: str
    digest: str
    length: int
    body: bytes
    reason: str = ""
    service_seconds: float = 0.0
    held: bool = True
    open_connections: int = 0


ANNOUNCE = Method("/sequoiachute.Entry/Announce", Announcement, AnnouncementReply)
KEEP_ALIVE = Method("/sequoiachute.Entry/KeepAlive", KeepAlive, AnnouncementReply)
CONFIGURATION = Method(
    "/sequoiachute.Entry/Configuration", ConfigurationRequest, ConfigurationReply
)
RESERVE = Method("/sequoiachute.Agent/Reserve", Reserve, ReserveReply)
COMMIT = Method("/sequoiachute.Agent/Commit", Commit, CommitReply)
PREPARE = Method("/sequoiachute.Agent/Prepare", Prepare, CommitReply)
START = Method("/sequoiachute.Agent/Start", Start, CommitReply)
GANG_HEARTBEAT = Method(
    "/sequoiachute.Agent/GangHeartbeat", GangHeartbeat, GangHeartbeatReply
)
GANG_STOP = Method("/sequoiachute.Agent/GangStop", GangStop, StopReply)
SILENCE = Method("/sequoiachute.Entry/Silence", SilenceRequest, SilenceReply)
STOP = Method("/sequoiachute.Agent/Stop", Stop, StopReply)
EXECUTE = Method("/sequoiachute.Agent/Execute", Execute, ExecuteReply)
ATTEMPT = Method("/sequoiachute.Agent/Attempt", AttemptQuery, ExecuteReply)
