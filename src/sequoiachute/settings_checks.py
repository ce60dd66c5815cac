"""Loads settings and checks the constraints between their keys."""

from ipaddress import IPv4Address

from sequoiachute.errors import SettingsError
from sequoiachute.settings import AgentSettings, EntrySettings, KeySettings
from sequoiachute.settings_file import load_settings

MAX_KEYS_PER_ACCOUNT = 2  # the old and the new key during rotation
MAX_PORT = 65535


def load_entry_settings(path: str) -> EntrySettings:
    """Return the entry settings in ``path``; raise ``SettingsError`` if invalid."""
    settings = load_settings(path, EntrySettings)
    check_entry_settings(path, settings)
    return settings


def load_agent_settings(path: str) -> AgentSettings:
    """Return the agent settings in ``path``; raise ``SettingsError`` if invalid."""
    settings = load_settings(path, AgentSettings)
    check_agent_settings(path, settings)
    return settings


def check_entry_settings(path: str, settings: EntrySettings) -> None:
    """Raise ``SettingsError`` if the keys of an entry contradict each other."""
    log_service = settings.log_service.partition("//")[2]
    _check_address(path, "http_address", settings.http_address)
    _check_address(path, "rpc_address", settings.rpc_address)
    _check_address(path, "log_service", log_service)
    if settings.rpc_address == settings.http_address:
        reason = f"{settings.rpc_address} is also the http_address"
        raise SettingsError(path, "rpc_address", reason, "use a different port")
    if log_service in (settings.http_address, settings.rpc_address):
        reason = f"{log_service} is an address of this entry"
        raise SettingsError(path, "log_service", reason, "name the platform's service")
    for key in ("http_address", "rpc_address"):
        _check_plaintext(path, key, getattr(settings, key), settings.allow_plaintext)
    if settings.placer_lease_seconds < settings.freshness_seconds:
        reason = (
            f"{settings.placer_lease_seconds} is shorter than freshness_seconds, "
            f"{settings.freshness_seconds}"
        )
        remedy = "raise it to freshness_seconds at least"
        raise SettingsError(path, "placer_lease_seconds", reason, remedy)
    _check_leave_grace(path, settings)
    _check_api_keys(path, settings.keys)


def check_agent_settings(path: str, settings: AgentSettings) -> None:
    """Raise ``SettingsError`` if the keys of an agent contradict each other."""
    backend = settings.backend_server.partition("//")[2]
    _check_address(path, "rpc_address", settings.rpc_address)
    _check_address(path, "backend_server", backend)
    if backend == settings.rpc_address:
        reason = f"{backend} is the rpc_address of this agent"
        raise SettingsError(path, "backend_server", reason, "name the backend server")
    _check_entries(path, settings)
    _check_plaintext(
        path, "rpc_address", settings.rpc_address, settings.allow_plaintext
    )
    if 2 * settings.announce_seconds > settings.freshness_seconds:
        reason = (
            f"{settings.announce_seconds} lets the view of the configuration go "
            f"stale within freshness_seconds, {settings.freshness_seconds}"
        )
        remedy = "lower it to half of freshness_seconds at most"
        raise SettingsError(path, "announce_seconds", reason, remedy)


def _check_entries(path: str, settings: AgentSettings) -> None:
    if not settings.entries:
        remedy = "name the rpc_address of an entry"
        raise SettingsError(path, "entries", "the list is empty", remedy)
    seen = {settings.rpc_address}
    for index, address in enumerate(settings.entries):
        key = f"entries[{index}]"
        _check_address(path, key, address)
        if address in seen:
            reason = f"{address} is listed twice or is the rpc_address of this agent"
            raise SettingsError(path, key, reason, "name each entry once")
        seen.add(address)


def _check_leave_grace(path: str, settings: EntrySettings) -> None:
    if 2 * settings.leave_grace_seconds <= settings.stop_seconds:
        return
    reason = (
        f"{settings.leave_grace_seconds} is more than half of stop_seconds, "
        f"{settings.stop_seconds}"
    )
    remedy = "lower it, or raise stop_seconds"
    raise SettingsError(path, "leave_grace_seconds", reason, remedy)


def _check_address(path: str, key: str, address: str) -> None:
    host, _, port = address.rpartition(":")
    try:
        IPv4Address(host)
        valid = 0 < int(port) <= MAX_PORT
    except ValueError:
        valid = False
    if not valid:
        remedy = f"write an IPv4 address and a port from 1 to {MAX_PORT}"
        raise SettingsError(path, key, f"{address} is not a valid address", remedy)


def _check_plaintext(path: str, key: str, address: str, allowed: bool) -> None:
    if allowed or IPv4Address(address.rpartition(":")[0]).is_loopback:
        return
    reason = f"{address} would carry keys and requests in plain text"
    remedy = "listen on loopback, or set allow_plaintext: true on a private network"
    raise SettingsError(path, key, reason, remedy)


def _check_api_keys(path: str, keys: tuple[KeySettings, ...]) -> None:
    first_index: dict[str, int] = {}
    keys_per_holder: dict[tuple[str, str], int] = {}
    for index, key_settings in enumerate(keys):
        key_path = f"keys[{index}]"
        if key_settings.key in first_index:
            reason = f"the same key as keys[{first_index[key_settings.key]}]"
            raise SettingsError(path, f"{key_path}.key", reason, "generate a new key")
        first_index[key_settings.key] = index
        if key_settings.role == "caller" and not key_settings.account:
            remedy = "name the client account that holds the key"
            raise SettingsError(path, f"{key_path}.account", "missing", remedy)
        holder = (key_settings.role, key_settings.account)
        keys_per_holder[holder] = keys_per_holder.get(holder, 0) + 1
        if keys_per_holder[holder] > MAX_KEYS_PER_ACCOUNT:
            reason = f"a third key of {key_settings.account or key_settings.role!r}"
            remedy = f"keep at most {MAX_KEYS_PER_ACCOUNT}: the old and the new one"
            raise SettingsError(path, key_path, reason, remedy)
