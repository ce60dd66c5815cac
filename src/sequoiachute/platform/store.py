"""HTTP client of the platform's metadata store: the product's ``KeyedStore``."""

from base64 import b64decode
from struct import Struct
from typing import Any
from urllib.parse import urlencode

import msgspec
from loguru import logger
from result import Err, Ok, Result

from sequoiachute.coordination.store.group import address_of
from sequoiachute.platform.fields import (
    FieldError,
    fields,
    items,
    required,
    text,
    whole,
)
from sequoiachute.platform.http import (
    HttpClient,
    HttpFailure,
    HttpResponse,
    decode_object,
    json_headers,
    read_reason,
)
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.transport.address import parse_address
from sequoiachute.transport.store import (
    AppendError,
    HistoryLostError,
    Membership,
    RecordPage,
    StoreLimits,
    StoreUnavailableError,
    TopicSnapshot,
    Writer,
)

CALL_TIMEOUT_SECONDS = 1.0  # the store answers in 4 ms; longer is an outage
MAX_READ_KB = 1024
TOPIC_PREFIX = "keyed."
GROUP_TOPIC_PREFIX = "seat."
DEFAULT_LIMITS = StoreLimits()
_RECORD_LENGTH = Struct(">I")
_PAGE_HEADER = Struct(">QQ")


class MetadataStore:
    """Calls the metadata store; uses partition 0 of every topic."""

    def __init__(self, address: str, limits: StoreLimits = DEFAULT_LIMITS) -> None:
        self._http = HttpClient(address)
        self._limits = limits

    @property
    def limits(self) -> StoreLimits:
        """What one append may hold."""
        return self._limits

    def snapshot(self, topic: str) -> TopicSnapshot:
        """Return the newest record of every key."""
        records: list[StoredRecord] = []
        end = -1
        after = ""
        while True:
            query = {"topic": TOPIC_PREFIX + topic, "part": 0}
            if after:
                query["deps"] = after
            page = self._get_object("/v1/log-newest", query)
            found, page_end = _decode_snapshot_page(page, topic)
            if end < 0:
                end = page_end
            records += found
            previous, after = after, found[-1].key if found else ""
            if not page.get("has_more"):
                return TopicSnapshot(tuple(records), end)
            if after in ("", previous):
                raise StoreUnavailableError("a snapshot's page leads to no other")

    def read(self, topic: str, offset: int, wait: float) -> RecordPage:
        """Return records from ``offset`` on, waiting up to ``wait`` seconds."""
        query = {
            "topic": TOPIC_PREFIX + topic,
            "part": 0,
            "from": offset,
            "max_kb": MAX_READ_KB,
            "wait_ms": int(wait * 1000),
        }
        path = "/v1/log-read?" + urlencode(query)
        response = self._http.call("GET", path, wait + CALL_TIMEOUT_SECONDS)
        if isinstance(response, HttpFailure):
            raise StoreUnavailableError(response.reason)
        if response.status == 410:
            raise HistoryLostError(topic)
        if response.status != 200:
            raise StoreUnavailableError(f"read answered {response.status}")
        return _decode_page(response.body, offset)

    def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        at: int | None = None,
        writer: Writer | None = None,
        timeout: float = 1.0,
    ) -> Result[int, AppendError]:
        """Append all records or none; return the offset of the first."""
        query: dict[str, object] = {"topic": TOPIC_PREFIX + topic, "part": 0}
        if at is not None:
            query["at"] = at
        if writer is not None:
            query["producer"] = writer.name
            query["epoch"] = writer.epoch
            query["seq"] = writer.sequence
        body = b"".join(_encode_record(key, value) for key, value in records)
        path = "/v1/log-append?" + urlencode(query)
        response = self._http.call("POST", path, timeout, body)
        if isinstance(response, HttpFailure):
            return Err(AppendError(response.reason, None if response.sent else False))
        return _decode_append(response)

    def join(self, group: str, member: str, generation: int, ttl: float) -> Membership:
        """Join a group or renew the membership.

        The owner of the group topic's first partition is the candidate.
        """
        body = {
            "group": group,
            "member": member,
            "topics": [GROUP_TOPIC_PREFIX + group],
            "ttl_ms": int(ttl * 1000),
            "generation": generation,
        }
        joined = self._post_object("/v1/log-join", body)
        try:
            generation = whole(required(joined, "generation"))
            rows = items(joined.get("parts", []))
        except FieldError as error:
            raise StoreUnavailableError(f"unreadable answer: {error}") from error
        is_candidate = any(isinstance(row, list) and row[1:2] == [0] for row in rows)
        return Membership(generation, is_candidate)

    def leave(self, group: str, member: str) -> None:
        """Leave a group."""
        self._post_object("/v1/log-leave", {"group": group, "member": member})

    def members(self, group: str) -> tuple[str, ...]:
        """Return the members that own a partition."""
        body = self._get_object("/v1/log-owners", {"group": group})
        rows = body.get("items") or body.get("owners") or body.get("parts") or []
        members = {}
        for row in rows if isinstance(rows, list) else ():
            if _has_no_owner(row):
                continue
            member = _decode_member(row)
            if not member:
                logger.bind(group=group).warning("odd member of the group left out")
                continue
            members[member] = None
        return tuple(members)

    def _get_object(self, path: str, query: dict) -> dict:
        response = self._http.call(
            "GET", f"{path}?{urlencode(query)}", CALL_TIMEOUT_SECONDS
        )
        return _decode_response(response, path)

    def _post_object(self, path: str, body: dict) -> dict:
        data = msgspec.json.encode(body)
        response = self._http.call(
            "POST", path, CALL_TIMEOUT_SECONDS, data, json_headers()
        )
        return _decode_response(response, path)


def _decode_response(response: HttpResponse | HttpFailure, path: str) -> dict:
    if isinstance(response, HttpFailure):
        raise StoreUnavailableError(response.reason)
    if response.status != 200:
        raise StoreUnavailableError(f"{path} answered {response.status}")
    return decode_object(response.body)


def _decode_snapshot_page(page: dict, topic: str) -> tuple[list[StoredRecord], int]:
    """Return a page's records and the topic's end; leave out unreadable items."""
    try:
        rows = items(required(page, "items"))
        end = whole(required(page, "end"))
    except FieldError as error:
        raise StoreUnavailableError(f"unreadable answer: {error}") from error
    records = []
    for row in rows:
        record = _decode_item(row)
        if record is None:
            logger.bind(topic=topic).warning("odd item of a snapshot left out")
            continue
        records.append(record)
    return records, end


def _offset(value: Any) -> int:
    """Return an offset, -1 if ``value`` is none."""
    try:
        return whole(value)
    except FieldError:
        return -1


def _decode_item(item: Any) -> StoredRecord | None:
    """Return the record of a snapshot's item, ``None`` if it can't be read."""
    try:
        record = fields(item)
        value = b64decode(text(required(record, "value")))
        offset = whole(required(record, "offset"))
        return StoredRecord(offset, text(required(record, "key")), value)
    except ValueError:
        return None


def _has_no_owner(row: Any) -> bool:
    """Return whether a row names no member, as after a restart of all of them."""
    return isinstance(row, list) and len(row) > 2 and row[2] in ("", None)


def _decode_member(row: Any) -> str:
    """Return the member of a row, empty if it does not name an entry's address."""
    if not isinstance(row, list) or len(row) <= 2 or not isinstance(row[2], str):
        return ""
    member = row[2]
    return member if parse_address(address_of(member)) is not None else ""


def _decode_append(response: HttpResponse) -> Result[int, AppendError]:
    body = decode_object(response.body)
    if response.status == 200:
        offset = _offset(body.get("offset"))
        if offset >= 0:
            return Ok(offset)
    if response.status == 412:
        end = _offset(body.get("end"))
        return Err(AppendError("the topic ends elsewhere", False, end=end))
    if response.status == 409:
        reason = read_reason(response.body) or "conflict"
        return Err(AppendError(reason, False, fenced=True))
    if response.status in (400, 413):
        reason = f"the store rejects such records: {read_reason(response.body)}"
        return Err(AppendError(reason, False, rejected=True))
    if response.status in (429, 503, 507):
        return Err(AppendError(f"the store answered {response.status}", False))
    return Err(AppendError(f"the store answered {response.status}", None))


def _encode_record(key: str, value: bytes | None) -> bytes:
    key_bytes = key.encode()
    content = bytes((len(key_bytes),)) + key_bytes + (value or b"")
    return _RECORD_LENGTH.pack(len(content)) + content


def _decode_page(body: bytes, offset: int) -> RecordPage:
    """Return the records of a read.

    The topic's end offset and first retained offset precede the records.
    """
    if len(body) < _PAGE_HEADER.size:
        raise StoreUnavailableError(f"a read returned only {len(body)} bytes")
    position = _PAGE_HEADER.size
    records = []
    while position + _RECORD_LENGTH.size <= len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        content = body[position : position + length]
        position += length
        records.append(_decode_record(offset, content))
        offset += 1
    return RecordPage(tuple(records), offset)


def _decode_record(offset: int, content: bytes) -> StoredRecord:
    key_length = content[0] if content else 0
    key = content[1 : 1 + key_length].decode(errors="replace")
    value = content[1 + key_length :]
    return StoredRecord(offset, key, value or None)
