"""The platform's metadata store as the product's ``KeyedStore``."""

from base64 import b64decode
from struct import Struct
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from sequoiachute.platform.http import (
    HttpAnswer,
    HttpCaller,
    HttpFailure,
    decode_object,
    json_headers,
)
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.transport.store import (
    AppendError,
    HistoryLostError,
    Membership,
    RecordPage,
    StoreUnavailableError,
    TopicSnapshot,
    Writer,
)

READ_SECONDS = 1.0  # an answer takes 4 ms; more is an outage
MAX_READ_KB = 1024
TOPIC_PREFIX = "keyed."
SEAT_PREFIX = "seat."
_LENGTH = Struct(">I")
_HEAD = Struct(">QQ")


class MetadataStore:
    """Calls the store; partition 0 holds everything."""

    def __init__(self, address: str) -> None:
        self._http = HttpCaller(address)

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
            if end < 0:
                end = int(page.get("end", 0))
            items = page.get("items", [])
            for item in items:
                value = b64decode(item["value"])
                records.append(StoredRecord(int(item["offset"]), item["key"], value))
            if not page.get("has_more") or not items:
                return TopicSnapshot(tuple(records), end)
            after = items[-1]["key"]

    def read(self, topic: str, offset: int, wait: float) -> RecordPage:
        """Return records from ``offset`` on."""
        query = {
            "topic": TOPIC_PREFIX + topic,
            "part": 0,
            "from": offset,
            "max_kb": MAX_READ_KB,
            "wait_ms": int(wait * 1000),
        }
        path = "/v1/log-read?" + urlencode(query)
        answer = self._http.call("GET", path, wait + READ_SECONDS)
        if isinstance(answer, HttpFailure):
            raise StoreUnavailableError(answer.reason)
        if answer.status == 410:
            raise HistoryLostError(topic)
        if answer.status != 200:
            raise StoreUnavailableError(f"read answered {answer.status}")
        return _decode_page(answer.body, offset)

    def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        at: int | None = None,
        writer: Writer | None = None,
        timeout: float = 1.0,
    ) -> Result[int, AppendError]:
        """Append all or nothing; return the offset of the first record."""
        query: dict[str, object] = {"topic": TOPIC_PREFIX + topic, "part": 0}
        if at is not None:
            query["at"] = at
        if writer is not None:
            query["producer"] = writer.name
            query["epoch"] = writer.epoch
            query["seq"] = writer.sequence
        body = b"".join(_encode_record(key, value) for key, value in records)
        path = "/v1/log-append?" + urlencode(query)
        answer = self._http.call("POST", path, timeout, body)
        if isinstance(answer, HttpFailure):
            return Err(AppendError(answer.reason, None if answer.sent else False))
        return _append_outcome(answer)

    def join(self, group: str, member: str, generation: int, ttl: float) -> Membership:
        """Join a group; the owner of its first partition is the candidate."""
        body = {
            "group": group,
            "member": member,
            "topics": [SEAT_PREFIX + group],
            "ttl_ms": int(ttl * 1000),
            "generation": generation,
        }
        joined = self._post_object("/v1/log-join", body)
        parts = [row[1] for row in joined.get("parts", [])]
        return Membership(int(joined.get("generation", 0)), 0 in parts)

    def leave(self, group: str, member: str) -> None:
        """Leave a group."""
        self._post_object("/v1/log-leave", {"group": group, "member": member})

    def members(self, group: str) -> tuple[str, ...]:
        """Return the members that own a partition."""
        owners = self._get_object("/v1/log-owners", {"group": group})
        rows = owners.get("items") or owners.get("owners") or owners.get("parts") or []
        return tuple(dict.fromkeys(str(row[2]) for row in rows))

    def _get_object(self, path: str, query: dict) -> dict:
        answer = self._http.call("GET", f"{path}?{urlencode(query)}", READ_SECONDS)
        return _object_of(answer, path)

    def _post_object(self, path: str, body: dict) -> dict:
        data = msgspec.json.encode(body)
        answer = self._http.call("POST", path, READ_SECONDS, data, json_headers())
        return _object_of(answer, path)


def _object_of(answer: HttpAnswer | HttpFailure, path: str) -> dict:
    if isinstance(answer, HttpFailure):
        raise StoreUnavailableError(answer.reason)
    if answer.status != 200:
        raise StoreUnavailableError(f"{path} answered {answer.status}")
    return decode_object(answer.body)


def _append_outcome(answer: HttpAnswer) -> Result[int, AppendError]:
    body = decode_object(answer.body)
    if answer.status == 200 and "offset" in body:
        return Ok(int(body["offset"]))
    if answer.status == 412:
        end = int(body.get("end", -1))
        return Err(AppendError("the topic ends elsewhere", False, end=end))
    if answer.status == 409:
        reason = str(body.get("reason", "conflict"))
        return Err(AppendError(reason, False, fenced=True))
    if answer.status in (429, 503, 507):
        return Err(AppendError(f"the store answered {answer.status}", False))
    return Err(AppendError(f"the store answered {answer.status}", None))


def _encode_record(key: str, value: bytes | None) -> bytes:
    name = key.encode()
    content = bytes((len(name),)) + name + (value or b"")
    return _LENGTH.pack(len(content)) + content


def _decode_page(body: bytes, offset: int) -> RecordPage:
    """Return the records of a read; the end and first kept offset precede them."""
    if len(body) < _HEAD.size:
        raise StoreUnavailableError("a read was cut short")
    position = _HEAD.size
    records = []
    while position + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + size]
        position += size
        records.append(_decode_record(offset, content))
        offset += 1
    return RecordPage(tuple(records), offset)


def _decode_record(offset: int, content: bytes) -> StoredRecord:
    length = content[0] if content else 0
    key = content[1 : 1 + length].decode(errors="replace")
    value = content[1 + length :]
    return StoredRecord(offset, key, value or None)
