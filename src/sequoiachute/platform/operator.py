"""Decoding of the records that operators write to the store."""

from typing import Any

from loguru import logger

from sequoiachute.platform.http import decode_object
from sequoiachute.state.operations import (
    Operations,
    PlatformAccount,
    PlatformCatalogue,
    Queue,
    Wave,
)

CATALOGUE_KEY = "config"
CLOSED_ZONE_PREFIX = "evacuate/"
WAVE_PREFIX = "wave/"


def apply_operator_records(records: dict[str, bytes], operations: Operations) -> None:
    """Apply the newest operator records, by key, to ``operations``.

    A catalogue is applied only if its version is newer than the current one.
    """
    catalogue_data = records.get(CATALOGUE_KEY)
    if catalogue_data is not None:
        catalogue = _decode_catalogue(catalogue_data)
        if catalogue is not None and operations.publish(catalogue):
            log = logger.bind(version=catalogue.version)
            log.bind(queues=len(catalogue.queues)).info("catalogue in force")
    closed = frozenset(
        key.removeprefix(CLOSED_ZONE_PREFIX)
        for key in records
        if key.startswith(CLOSED_ZONE_PREFIX)
    )
    if closed != operations.closed_zones:
        logger.bind(zones=sorted(closed)).info("zones out of service")
        operations.closed_zones = closed
    operations.waves = _decode_waves(records)


def _decode_catalogue(data: bytes) -> PlatformCatalogue | None:
    body = decode_object(data)
    try:
        return PlatformCatalogue(
            version=int(body["version"]),
            queues=tuple(_decode_queue(item) for item in body.get("routes", ())),
            accounts=tuple(_decode_account(item) for item in body.get("tenants", ())),
            spare_services=frozenset(
                item["name"] for item in body.get("services", ()) if item.get("spare")
            ),
            body_limit=int(body.get("limits", {}).get("max_body_bytes", 262144)),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        log = logger.bind(bytes=len(data))
        log.error("invalid catalogue ignored: {}", type(error).__name__)
        return None


def _decode_queue(item: dict[str, Any]) -> Queue:
    return Queue(
        name=item["name"],
        host=item["host"],
        prefix=item["path_prefix"],
        service=item["service"],
        priority=int(item.get("prio", 0)),
        attempts=int(item.get("attempts", 1)),
        stretch=float(item.get("stretch", 1.0)),
        slo_seconds=float(item.get("slo_ms", 0)) / 1000,
        public=bool(item.get("public", False)),
        advised=bool(item.get("advice")),
    )


def _decode_account(item: dict[str, Any]) -> PlatformAccount:
    guaranteed = item.get("guaranteed") or {}
    return PlatformAccount(
        name=item["name"],
        keys=frozenset(item.get("api_keys", ())),
        guaranteed_gpus=int(guaranteed.get("gpus", 0)),
    )


def _decode_waves(records: dict[str, bytes]) -> dict[int, Wave]:
    waves = {}
    for key, data in records.items():
        if not key.startswith(WAVE_PREFIX):
            continue
        body = decode_object(data)
        try:
            wave = Wave(
                number=int(body["wave"]),
                machines=tuple(body["machines"]),
                finish_by_seconds=float(body.get("finish_by_s", 0)),
                max_concurrent=int(body.get("cap", 1)),
            )
        except (KeyError, TypeError, ValueError):
            logger.bind(key=key).error("invalid wave ignored")
            continue
        waves[wave.number] = wave
    return waves
