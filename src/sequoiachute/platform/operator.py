"""Decoding of the records that operators write to the store."""

from typing import Any

from loguru import logger

from sequoiachute.platform.fields import (
    FieldError,
    fields,
    items,
    number,
    required,
    text,
    texts,
    whole,
)
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
DEFAULT_BODY_LIMIT = 262144


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
        limits = fields(body.get("limits", {}))
        services = [fields(item) for item in items(body.get("services", []))]
        return PlatformCatalogue(
            version=whole(required(body, "version")),
            queues=tuple(map(_decode_queue, items(body.get("routes", [])))),
            accounts=tuple(map(_decode_account, items(body.get("tenants", [])))),
            spare_services=frozenset(
                text(required(item, "name")) for item in services if item.get("spare")
            ),
            body_limit=whole(limits.get("max_body_bytes", DEFAULT_BODY_LIMIT)),
            services=frozenset(text(item.get("name") or "") for item in services),
        )
    except FieldError as error:
        log = logger.bind(bytes=len(data))
        log.error("invalid catalogue ignored: {}", error)
        return None


def _decode_queue(value: Any) -> Queue:
    item = fields(value)
    return Queue(
        name=text(required(item, "name")),
        host=text(required(item, "host")),
        prefix=text(required(item, "path_prefix")),
        service=text(required(item, "service")),
        priority=whole(item.get("prio", 0)),
        attempts=whole(item.get("attempts", 1)),
        stretch=number(item.get("stretch", 1.0)),
        slo_seconds=number(item.get("slo_ms", 0)) / 1000,
        public=bool(item.get("public", False)),
        advised=bool(item.get("advice")),
    )


def _decode_account(value: Any) -> PlatformAccount:
    item = fields(value)
    guaranteed = fields(item.get("guaranteed") or {})
    return PlatformAccount(
        name=text(required(item, "name")),
        keys=frozenset(texts(item.get("api_keys", []))),
        guaranteed_gpus=whole(guaranteed.get("gpus", 0)),
    )


def _decode_waves(records: dict[str, bytes]) -> dict[int, Wave]:
    waves = {}
    for key, data in records.items():
        if not key.startswith(WAVE_PREFIX):
            continue
        body = decode_object(data)
        try:
            wave = Wave(
                number=whole(required(body, "wave")),
                machines=texts(required(body, "machines")),
                finish_by_seconds=number(body.get("finish_by_s", 0)),
                max_concurrent=whole(body.get("cap", 1)),
            )
        except FieldError as error:
            logger.bind(key=key, reason=str(error)).error("invalid wave ignored")
            continue
        waves[wave.number] = wave
    return waves
