"""Settings files: YAML, every key typed and bounded."""

from pathlib import Path
from typing import (
    Annotated,
    Any,
    Literal,
    NamedTuple,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec
import yaml
from msgspec import Meta

from sequoiachute.errors import SettingsError

Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Url = Annotated[str, Meta(pattern=r"^https?://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[\w.-]+$")]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
Key = Annotated[str, Meta(min_length=16, max_length=256)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]


def _read_mapping(path: str) -> dict[str, Any]:
    try:
        loaded = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(path, "file", str(error), "name a readable file") from error
    except yaml.YAMLError as error:
        raise SettingsError(path, "file", str(error), "write valid YAML") from error
    if not isinstance(loaded, dict):
        raise SettingsError(path, "file", "no mapping", "write key: value lines")
    return loaded


def load_settings(path: str, settings_type: Any) -> Any:
    """Return the settings in the YAML file ``path``.

    Parameters
    ----------
    path : str
        The file.
    settings_type : NamedTuple type
        Its fields are the keys; fields with a default may be left out.

    Raises
    ------
    SettingsError
        If a key is unknown, missing, of a wrong type or out of bounds.
    """
    return build_settings(path, "", _read_mapping(path), settings_type)


def build_settings(path: str, prefix: str, mapping: Any, settings_type: Any) -> Any:
    """Return ``mapping`` as ``settings_type``; raise ``SettingsError``."""
    if not isinstance(mapping, dict):
        reason = f"{mapping!r} is no mapping"
        raise SettingsError(path, prefix, reason, "write key: value lines")
    known = settings_type._fields
    for key in mapping:
        if key not in known:
            remedy = f"use one of: {', '.join(known)}"
            raise SettingsError(path, f"{prefix}{key}", "unknown key", remedy)
    hints = get_type_hints(settings_type, include_extras=True)
    values = {}
    for key in known:
        if key not in mapping:
            if key not in settings_type._field_defaults:
                remedy = f"add the line {key}: …"
                raise SettingsError(path, f"{prefix}{key}", "missing", remedy)
            continue
        values[key] = _build_value(path, f"{prefix}{key}", mapping[key], hints[key])
    return settings_type(**values)


def _build_value(path: str, key: str, value: Any, hint: Any) -> Any:
    if hasattr(hint, "_fields"):
        return build_settings(path, f"{key}.", value, hint)
    item_type = _item_type(hint)
    if item_type is not None:
        return _build_items(path, key, value, item_type)
    try:
        return msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        reason = f"{value!r} is refused"
        raise SettingsError(path, key, reason, f"mend it: {error}") from error


def _item_type(hint: Any) -> Any:
    """Return the settings type that ``hint`` is a sequence of, if it is one."""
    arguments = get_args(hint)
    if get_origin(hint) is tuple and hasattr(arguments[0], "_fields"):
        return arguments[0]
    return None


def _build_items(path: str, key: str, value: Any, item_type: Any) -> tuple[Any, ...]:
    if not isinstance(value, list):
        raise SettingsError(path, key, "no list", "write one item a line after -")
    items = []
    for index, item in enumerate(value):
        items.append(build_settings(path, f"{key}[{index}].", item, item_type))
    return tuple(items)


class LogSettings(NamedTuple):
    """How a process writes its own log lines."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    format: Literal["text", "json"] = "text"


class KeySettings(NamedTuple):
    """A key that callers or operators present.

    Two keys of the same account are valid side by side, for rotation.
    """

    key: Key
    role: Literal["caller", "operator"]
    account: Name = "operator"


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
    stop_seconds: Seconds = 30.0
    freshness_seconds: Seconds = 3.0
    worker_silent_seconds: Seconds = 5.0
    placer_lease_seconds: Seconds = 3.0
    service_level_seconds: Seconds = 30.0


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
    slots: Count
    connections: Count
    speed_class: Name = "standard"
    speed: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    logging: LogSettings = LogSettings()
    stop_seconds: Seconds = 30.0
    freshness_seconds: Seconds = 3.0
    announce_seconds: Seconds = 1.0
