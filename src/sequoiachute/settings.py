"""Typed and bounded settings of the processes.

``settings_file`` reads them and ``settings_checks`` checks constraints between
keys; ``docs/reference/settings.md`` describes every key.
"""

from typing import Annotated, Literal, NamedTuple

from msgspec import Meta

SECRET = {"secret": True}  # marks types whose values must not appear in messages

Address = Annotated[
    str,
    Meta(
        pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$",
        description="an IPv4 address and port, such as 127.0.0.1:8470",
    ),
]
Url = Annotated[
    str,
    Meta(
        pattern=r"^https?://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$",
        description="a URL by IPv4 address, such as http://127.0.0.1:8480",
    ),
]
Name = Annotated[
    str,
    Meta(
        min_length=1,
        max_length=64,
        pattern=r"^[\w.-]+$",
        description="a name of 1 to 64 letters, digits, dots, dashes or underscores",
    ),
]
Seconds = Annotated[
    float,
    Meta(
        gt=0,
        le=3600,
        description="seconds above 0 and up to 3600, a number without a unit",
    ),
]
LongSeconds = Annotated[
    float,
    Meta(
        gt=0,
        le=31_536_000,
        description="seconds above 0 and up to 31536000, a number without a unit",
    ),
]
Share = Annotated[float, Meta(ge=0, le=1, description="a number from 0 to 1")]
ShortSeconds = Annotated[
    float,
    Meta(
        ge=0.05,
        le=10,
        description="seconds from 0.05 to 10, a number without a unit",
    ),
]
Key = Annotated[
    str,
    Meta(
        min_length=16,
        max_length=256,
        pattern=r"^[!-~]+$",
        description="16 to 256 visible ASCII characters",
        extra=SECRET,
    ),
]
Count = Annotated[
    int,
    Meta(ge=0, le=1_000_000, description="a whole number from 0 to 1000000"),
]
Positive = Annotated[
    int,
    Meta(ge=1, le=1_000_000, description="a whole number from 1 to 1000000"),
]
Speed = Annotated[
    float,
    Meta(gt=0, le=1000, description="a number above 0 and up to 1000"),
]


class LogSettings(NamedTuple):
    """Level and format of a process's log lines."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    format: Literal["text", "json"] = "text"


class HttpSettings(NamedTuple):
    """Limits on the HTTP connections of an entry; durations in seconds."""

    connections: Positive = 1024
    header_seconds: Seconds = 10.0
    body_seconds: Seconds = 30.0
    idle_seconds: Seconds = 65.0


class KeySettings(NamedTuple):
    """An API key of a caller or operator.

    An account may have two valid keys at a time, for rotation.
    """

    key: Key
    role: Literal["caller", "operator"]
    account: Annotated[str, Meta(max_length=64, description="a name")] = ""


class EntrySettings(NamedTuple):
    """Settings of an entry instance; durations in seconds."""

    entry_id: Name
    region: Name
    data_centre: Name
    http_address: Address
    rpc_address: Address
    log_service: Url
    keys: tuple[KeySettings, ...]
    logging: LogSettings = LogSettings()
    http: HttpSettings = HttpSettings()
    stop_seconds: Seconds = 30.0
    freshness_seconds: ShortSeconds = 3.0
    worker_silent_seconds: Seconds = 5.0
    placer_lease_seconds: Seconds = 3.0
    entries: tuple[Address, ...] = ()
    entry_lease_seconds: Seconds = 15.0
    log_retention_seconds: LongSeconds = 3600.0
    service_level_seconds: Seconds = 30.0
    fragmentation_weight: Share = 0.5
    leave_grace_seconds: ShortSeconds = 1.0
    allow_plaintext: bool = False


class AgentSettings(NamedTuple):
    """Settings of an agent; durations in seconds."""

    worker_id: Name
    region: Name
    data_centre: Name
    rack: Name
    position: Count
    rpc_address: Address
    backend_server: Url
    entries: tuple[Address, ...]
    accelerators: Count
    slots: Positive
    connections: Positive
    speed_class: Name = "standard"
    speed: Speed = 1.0
    logging: LogSettings = LogSettings()
    stop_seconds: Seconds = 30.0
    freshness_seconds: ShortSeconds = 3.0
    announce_seconds: ShortSeconds = 1.5
    allow_plaintext: bool = False
