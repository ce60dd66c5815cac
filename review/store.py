"""The platform's metadata store, after PROTOCOL.md, in memory."""

import base64
import json
import struct
import threading
import time

from wire import Reply, Request, serve

RECORD_BYTES = 262144
CALL_BYTES = 2097152
PARTS = 12
APPEND_SECONDS = 0.002
PAGE_ITEMS = 500
KEPT_RESULTS = 5


class _Partition:
    """Records of one partition of a topic."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first = 0
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.writers: dict[str, dict] = {}

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class _Group:
    """Members of a group and the owners of its partitions."""

    def __init__(self) -> None:
        self.generation = 0
        self.expiry: dict[str, float] = {}
        self.ttl: dict[str, float] = {}
        self.owners: list[str] = [""] * PARTS

    def due(self) -> list[str]:
        members = sorted(self.expiry)
        if not members:
            return [""] * PARTS
        return [members[part % len(members)] for part in range(PARTS)]

    def expire(self) -> None:
        now = time.monotonic()
        for member in [m for m, at in self.expiry.items() if at < now]:
            self.remove(member)

    def remove(self, member: str) -> None:
        if self.expiry.pop(member, None) is not None:
            self.generation += 1
        self._fill()

    def join(self, member: str, generation: int, ttl: float) -> None:
        if member not in self.expiry:
            self.generation += 1
        self.expiry[member] = time.monotonic() + ttl
        if generation >= self.generation:
            # The member knows what it has lost.
            for part, owner in enumerate(self.due()):
                if self.owners[part] == member:
                    self.owners[part] = owner
        self._fill()

    def _fill(self) -> None:
        for part, owner in enumerate(self.due()):
            if self.owners[part] not in self.expiry:
                self.owners[part] = owner


class Store:
    """Serves the store; ``hold_polls`` keeps readers of ``keyed.op`` waiting."""

    def __init__(self, address: str, record) -> None:
        self.address = address
        self._record = record
        self._lock = threading.Condition()
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._groups: dict[str, _Group] = {}
        self.is_holding = False
        self.refused_appends = 0
        serve(address, self._handle)

    # What the operator does.

    def write(self, topic: str, key: str, value: object) -> int:
        """Write a record of a keyed topic; ``None`` drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        content = bytes((len(key),)) + key.encode() + data
        with self._lock:
            partition = self._partition(topic, 0)
            offset = partition.end
            self._add(topic, partition, [content])
            self._lock.notify_all()
        self._record("operator", f"writes {key} to {topic}", offset=offset, value=value)
        return offset

    def drop_history(self, topic: str) -> None:
        """Delete the records of a topic; the newest of each key stay readable."""
        with self._lock:
            partition = self._partition(topic, 0)
            partition.first = partition.end
            partition.records.clear()
            self._lock.notify_all()
        self._record("store", f"has dropped the history of {topic}")

    def hold_polls(self, held: bool) -> None:
        """Let the readers of ``keyed.op`` hear nothing."""
        with self._lock:
            self.is_holding = held
            self._lock.notify_all()

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key."""
        with self._lock:
            partition = self._partition(topic, 0)
            return {key: value for key, (value, _) in partition.newest.items()}

    # Calls.

    def _handle(self, request: Request) -> Reply:
        name = request.path.removeprefix("/v1/log-")
        method = getattr(self, f"_serve_{name.replace('-', '_')}", None)
        if method is None:
            return Reply(404)
        return method(request)

    def _partition(self, topic: str, part: int) -> _Partition:
        return self._partitions.setdefault((topic, part), _Partition())

    def _add(self, topic: str, partition: _Partition, contents: list[bytes]) -> None:
        for content in contents:
            if topic.startswith("keyed."):
                length = content[0]
                key = content[1 : 1 + length].decode()
                value = content[1 + length :]
                partition.newest.pop(key, None)
                if value:
                    partition.newest[key] = (value, partition.end)
            partition.records.append(content)

    def _serve_append(self, request: Request) -> Reply:
        contents = []
        data, position = request.data, 0
        while position < len(data):
            (length,) = struct.unpack_from(">I", data, position)
            contents.append(data[position + 4 : position + 4 + length])
            position += 4 + length
        longest = max((len(content) for content in contents), default=0)
        total = sum(len(content) for content in contents)
        topic, part = request.query["topic"], int(request.query["part"])
        if longest > RECORD_BYTES or total > CALL_BYTES:
            self.refused_appends += 1
            if self.refused_appends <= 5:
                self._record(
                    "store",
                    f"refuses an append to {topic}",
                    longest_record=longest,
                    all_records=total,
                )
            return Reply(400, {"reason": "size"})
        time.sleep(APPEND_SECONDS)
        with self._lock:
            partition = self._partition(topic, part)
            if "producer" in request.query:
                refusal = self._check_writer(partition, request)
                if refusal is not None:
                    return refusal
            if "at" in request.query and int(request.query["at"]) != partition.end:
                return Reply(412, {"end": partition.end})
            offset = partition.end
            self._add(topic, partition, contents)
            if "producer" in request.query:
                writer = partition.writers[request.query["producer"]]
                writer["seq"] = int(request.query["seq"])
                writer["results"][writer["seq"]] = offset
                for old in sorted(writer["results"])[:-KEPT_RESULTS]:
                    del writer["results"][old]
            self._lock.notify_all()
            return Reply(200, {"offset": offset, "end": partition.end})

    def _check_writer(self, partition: _Partition, request: Request) -> Reply | None:
        name = request.query["producer"]
        epoch, seq = int(request.query["epoch"]), int(request.query["seq"])
        writer = partition.writers.get(name)
        if writer is not None and epoch < writer["epoch"]:
            return Reply(409, {"reason": "fenced"})
        if writer is None or epoch > writer["epoch"]:
            if "at" in request.query and int(request.query["at"]) != partition.end:
                return Reply(412, {"end": partition.end})
            partition.writers[name] = {"epoch": epoch, "seq": None, "results": {}}
            return None
        if seq in writer["results"]:
            end = partition.end
            return Reply(200, {"offset": writer["results"][seq], "end": end})
        if writer["seq"] is not None and seq != writer["seq"] + 1:
            return Reply(409, {"reason": "seq", "seq": writer["seq"] + 1})
        return None

    def _serve_read(self, request: Request) -> Reply:
        topic, part = request.query["topic"], int(request.query["part"])
        start = int(request.query["from"])
        wait = min(30.0, int(request.query.get("wait_ms") or 0) / 1000)
        limit = 1024 * int(request.query.get("max_kb") or 1024)
        deadline = time.monotonic() + wait
        with self._lock:
            partition = self._partition(topic, part)
            while True:
                held = self.is_holding and topic == "keyed.op"
                if not held and start < partition.first:
                    return Reply(410, {"first": partition.first})
                if not held and start < partition.end:
                    break
                left = deadline - time.monotonic()
                if left <= 0 and not held:
                    break
                self._lock.wait(max(0.01, left) if not held else 0.05)
            found = [struct.pack(">QQ", partition.end, partition.first)]
            size = 0
            for content in partition.records[max(0, start - partition.first) :]:
                size += len(content) + 4
                if size > limit and len(found) > 1:
                    break
                found.append(struct.pack(">I", len(content)) + content)
            return Reply(200, b"".join(found))

    def _serve_newest(self, request: Request) -> Reply:
        topic, part = request.query["topic"], int(request.query["part"])
        after = request.query.get("deps", "")
        with self._lock:
            partition = self._partition(topic, part)
            keys = sorted(key for key in partition.newest if key > after)
            rows, size = [], 0
            for key in keys:
                value, offset = partition.newest[key]
                size += len(value)
                if len(rows) >= PAGE_ITEMS or (rows and size > 1_000_000):
                    break
                text = base64.b64encode(value).decode()
                rows.append({"key": key, "value": text, "offset": offset})
            more = len(rows) < len(keys)
            return Reply(200, {"items": rows, "has_more": more, "end": partition.end})

    def _serve_trim(self, request: Request) -> Reply:
        return Reply(200)

    def _serve_join(self, request: Request) -> Reply:
        body = request.json()
        with self._lock:
            group = self._groups.setdefault(body["group"], _Group())
            group.expire()
            generation = int(body.get("generation") or 0)
            group.join(body["member"], generation, body["ttl_ms"] / 1000)
            rows = [
                [topic, part, 0]
                for topic in body["topics"]
                for part, owner in enumerate(group.owners)
                if owner == body["member"]
            ]
            answer = {"generation": group.generation, "ttl_ms": body["ttl_ms"]}
            return Reply(200, {**answer, "parts": rows})

    def _serve_leave(self, request: Request) -> Reply:
        body = request.json()
        with self._lock:
            group = self._groups.setdefault(body["group"], _Group())
            group.expire()
            group.remove(body["member"])
        return Reply(200)

    def _serve_commit(self, request: Request) -> Reply:
        return Reply(200)

    def _serve_owners(self, request: Request) -> Reply:
        with self._lock:
            group = self._groups.setdefault(request.query["group"], _Group())
            group.expire()
            name = f"seat.{request.query['group']}"
            rows = [
                [name, part, owner, 0]
                for part, owner in enumerate(group.owners)
                if owner
            ]
        return Reply(200, {"items": rows})
