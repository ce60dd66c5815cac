"""Reading of the settings file that the platform writes for each process."""

import os
import tomllib
from typing import Any, NamedTuple

from sequoiachute.errors import SettingsError
from sequoiachute.protocol.workload import WorkerTimes
from sequoiachute.transport.store import StoreLimits

PATH_VARIABLE = "SEQUOIACHUTE_BOOT"


class ProcessSettings(NamedTuple):
    """Settings that the platform passes to a process at start.

    ``store``, ``machines``, ``advice``, ``front``, ``ready``, ``control`` and
    ``worker`` are addresses, empty where the role has none; ``inner_port`` is
    the port for RPC between processes. ``worker_times`` are what workers promise,
    ``store_limits`` what one append may hold.
    """

    name: str
    ip: str
    zone: str
    inner_port: int
    seeds: tuple[str, ...]
    store: str
    machines: str
    advice: str
    front: str
    ready: str
    control: str
    worker: str
    service: str
    worker_times: WorkerTimes
    store_limits: StoreLimits

    @property
    def inner_address(self) -> str:
        """RPC address of this process."""
        return f"{self.ip}:{self.inner_port}"

    @property
    def inner_seeds(self) -> tuple[str, ...]:
        """RPC addresses of the seed machines; the port is the same everywhere."""
        ips = (seed.rpartition(":")[0] for seed in self.seeds)
        return tuple(f"{ip}:{self.inner_port}" for ip in ips)


def read_settings(path: str | None = None) -> ProcessSettings:
    """Read the settings file at ``path``, or the one ``PATH_VARIABLE`` names.

    Raises
    ------
    SettingsError
        If it can't be read or lacks a key.
    """
    name = path or os.environ.get(PATH_VARIABLE, "")
    try:
        with open(name, "rb") as file:
            fields = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        remedy = f"set {PATH_VARIABLE} to the path of a TOML file"
        raise SettingsError(name, "$", str(error), remedy) from error
    try:
        return _decode(fields)
    except (KeyError, IndexError, TypeError) as error:
        remedy = "use the file that the platform writes"
        raise SettingsError(
            name, str(error), "is missing or invalid", remedy
        ) from error


def _decode(fields: dict[str, Any]) -> ProcessSettings:
    listen = fields.get("listen", {})
    return ProcessSettings(
        name=fields["node"],
        ip=fields["bind_ip"],
        zone=fields["zone"],
        inner_port=int(fields["port_range"][0]),
        seeds=tuple(fields.get("seed_nodes", ())),
        store=fields["platform"]["address"],
        machines=fields.get("cloud", {}).get("address", ""),
        advice=fields.get("advice", ""),
        front=listen.get("front", ""),
        ready=listen.get("ready", ""),
        control=listen.get("control", ""),
        worker=fields.get("app", ""),
        service=fields.get("service", ""),
        worker_times=_decode_times(fields.get("bounds", {})),
        store_limits=_decode_limits(fields["platform"]),
    )


def _decode_limits(platform: dict[str, Any]) -> StoreLimits:
    defaults = StoreLimits()
    return StoreLimits(
        int(platform.get("record_bytes", defaults.record_bytes)),
        int(platform.get("call_bytes", defaults.call_bytes)),
    )


def _decode_times(bounds: dict[str, Any]) -> WorkerTimes:
    defaults = WorkerTimes()
    return WorkerTimes(
        max_lease=bounds.get("hold_max_ms", 1000 * defaults.max_lease) / 1000,
        stop=bounds.get("stop_ms", 1000 * defaults.stop) / 1000,
        restore=bounds.get("restore_ms", 1000 * defaults.restore) / 1000,
    )
