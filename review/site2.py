"""A small deployment for the review's scripts: real entries and agents, stand-ins.

The stand-ins of the platform's store, of its list of machines and of the workers
follow the users' PROTOCOL page and use the standard library only. Where the page is
silent they behave like a sound store, platform or worker.
"""

import base64
import contextlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
FRONT, READY, CONTROL, APP, INNER, SERVICE_PORT = 8521, 8523, 8526, 8524, 7000, 8529
METRICS = 9464
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
PARTS = 12
ANSWER_SECONDS = 0.004  # of the store
READ_BYTES_PER_SECOND = 80e6  # read_mb_s
KEY = "key-of-tenant-1"
SERVICE, HOST = "fehlerbild", "nony24.example"
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "apply_ms": 2000,
    "hold_max_ms": 10000,
    "stop_ms": 400,
    "gang_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "save_s": 1,
    "restore_ms": 100,
    "notice_ms": 4500,
}


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def __call__(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} s  {text}\n")
            self._file.flush()


class Handler(BaseHTTPRequestHandler):
    """Passes each request to the stand-in that owns the server."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args: object) -> None:
        """Write no log."""

    def _serve(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        url = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        owner = self.server.owner
        reply = owner.serve(self.command, url.path, query, body, self.headers)
        if reply is None:
            # No answer: the channel stays open and silent.
            self.close_connection = True
            time.sleep(60.0)
            return
        status, data = reply
        if not isinstance(data, bytes):
            data = json.dumps(data).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815

    def handle(self) -> None:
        """Serve until the peer or this server closes the channel."""
        with contextlib.suppress(OSError, ValueError):
            super().handle()


class Server(ThreadingHTTPServer):
    """HTTP server of a stand-in; ``end`` closes its channels as a crash does."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address: tuple[str, int], owner: object) -> None:
        self.owner = owner
        self._channels: set[socket.socket] = set()
        super().__init__(address, Handler)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def process_request(self, request: socket.socket, client_address: object) -> None:
        """Remember the channel and serve it."""
        self._channels.add(request)
        super().process_request(request, client_address)

    def end(self) -> None:
        """Stop listening and break all channels."""
        self.shutdown()
        self.server_close()
        for channel in list(self._channels):
            with contextlib.suppress(OSError):
                channel.shutdown(socket.SHUT_RDWR)


class Store:
    """The platform's metadata store: keyed topics, conditional appends, groups."""

    def __init__(self, ip: str) -> None:
        self._changed = threading.Condition()
        self._logs: dict[str, list[bytes]] = {}
        self._newest: dict[str, dict[str, tuple[int, bytes]]] = {}
        self._writers: dict[tuple[str, str], dict] = {}
        self._members: dict[str, dict[str, float]] = {}
        self._owners: dict[str, dict[int, str]] = {}
        self._generation = 1
        self.hold_append = lambda topic, keys: 0.0
        self.address = f"{ip}:{SERVICE_PORT}"
        self._server = Server((ip, SERVICE_PORT), self)

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record as the operator does."""
        content = bytes((len(key),)) + key.encode() + json.dumps(value).encode()
        with self._changed:
            self._add(f"keyed.{topic}", [content])

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key of a keyed topic."""
        with self._changed:
            rows = self._newest.get(f"keyed.{topic}", {})
            return {key: value for key, (_, value) in rows.items()}

    def serve(self, method: str, path: str, query: dict, body: bytes, _: object):
        """Answer one call; ``None`` is no answer."""
        if path == "/v1/log-append":
            return self._append(query, body)
        if path == "/v1/log-read":
            return self._read(query)
        if path == "/v1/log-newest":
            return self._list_newest(query)
        fields = json.loads(body or b"{}")
        with self._changed:
            if path == "/v1/log-join":
                return 200, self._join(fields)
            if path == "/v1/log-leave":
                self._members.setdefault(fields["group"], {}).pop(
                    fields["member"], None
                )
                self._generation += 1
                self._settle(fields["group"], "")
                return 200, {}
            if path == "/v1/log-owners":
                group = query["group"]
                self._settle(group, "")
                owners = self._owners.get(group, {})
                return 200, {"parts": [[group, p, m, 0] for p, m in owners.items()]}
        return (200, {}) if path == "/v1/log-commit" else (404, {})

    def _append(self, query: dict, body: bytes):
        contents = []
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            contents.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        topic = query["topic"]
        keys = [content[1 : 1 + content[0]].decode() for content in contents]
        seconds = self.hold_append(topic, keys)
        if seconds:
            # The answer is lost, and the call is executed seconds later.
            apply = threading.Timer(seconds, self._append_now, (query, contents))
            apply.daemon = True
            apply.start()
            return None
        time.sleep(0.002)
        return self._append_now(query, contents)

    def _append_now(self, query: dict, contents: list[bytes]):
        topic = query["topic"]
        with self._changed:
            end = len(self._logs.get(topic, ()))
            writer = None
            if "producer" in query:
                epoch, seq = int(query["epoch"]), int(query["seq"])
                writer = self._writers.setdefault(
                    (topic, query["producer"]), {"epoch": -1, "last": 0, "recent": {}}
                )
                if epoch < writer["epoch"]:
                    return 409, {"reason": "fenced"}
                if epoch == writer["epoch"]:
                    if seq in writer["recent"]:
                        return writer["recent"][seq]
                    if seq != writer["last"] + 1:
                        return 409, {"reason": "seq", "expected": writer["last"] + 1}
            if "at" in query and int(query["at"]) != end:
                return 412, {"end": end}
            offset = self._add(topic, contents)
            reply = 200, {"offset": offset, "end": offset + len(contents)}
            if writer is not None:
                if epoch > writer["epoch"]:
                    writer.update(epoch=epoch, recent={})
                writer["last"] = seq
                writer["recent"][seq] = reply
                for old in sorted(writer["recent"])[:-5]:
                    del writer["recent"][old]
            return reply

    def _add(self, topic: str, contents: list[bytes]) -> int:
        log = self._logs.setdefault(topic, [])
        offset = len(log)
        for content in contents:
            key = content[1 : 1 + content[0]].decode()
            value = content[1 + content[0] :]
            rows = self._newest.setdefault(topic, {})
            if value:
                rows[key] = (len(log), value)
            else:
                rows.pop(key, None)
            log.append(content)
        self._changed.notify_all()
        return offset

    def _read(self, query: dict):
        topic, start = query["topic"], int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self._changed:
            while len(self._logs.get(topic, ())) <= start:
                left = until - time.monotonic()
                if left <= 0:
                    break
                self._changed.wait(left)
            log = self._logs.get(topic, [])
            records = [struct.pack(">I", len(c)) + c for c in log[start:]]
            return 200, struct.pack(">QQ", len(log), 0) + b"".join(records)

    def _list_newest(self, query: dict):
        topic = query["topic"]
        with self._changed:
            rows = sorted(self._newest.get(topic, {}).items())
            after = query.get("deps", "")
            page = [row for row in rows if row[0] > after]
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
                for k, (o, v) in page[:500]
            ]
            end = len(self._logs.get(topic, ()))
        answer = {"items": items, "has_more": len(page) > 500, "end": end}
        data = json.dumps(answer).encode()
        time.sleep(ANSWER_SECONDS + len(data) / READ_BYTES_PER_SECOND)
        return 200, data

    def _join(self, fields: dict) -> dict:
        group, member = fields["group"], fields["member"]
        members = self._members.setdefault(group, {})
        if member not in members:
            self._generation += 1
        members[member] = time.monotonic() + fields["ttl_ms"] / 1000
        knows = fields.get("generation") == self._generation
        wanted = self._settle(group, member if knows else "")
        owners = self._owners[group]
        topic = fields["topics"][0]
        held = [p for p, m in owners.items() if m == member and wanted[p] == member]
        return {
            "generation": self._generation,
            "ttl_ms": fields["ttl_ms"],
            "parts": [[topic, part, 0] for part in held],
        }

    def _settle(self, group: str, giver: str) -> dict[int, str]:
        """Deal the partitions; one with a live owner moves once that gives it up."""
        members = self._members.setdefault(group, {})
        for name in [n for n, until in members.items() if until < time.monotonic()]:
            del members[name]
            self._generation += 1
        owners = self._owners.setdefault(group, {})
        names = list(members)
        wanted = {p: names[p % len(names)] for p in range(PARTS)} if names else {}
        for part in range(PARTS):
            owner = owners.get(part)
            if owner not in members or owner == giver:
                owners.pop(part, None)
                if part in wanted:
                    owners[part] = wanted[part]
        return wanted


class Machines:
    """The platform's list of machines: each of them is up, with its worker."""

    def __init__(self, ip: str, workers: list["Worker"]) -> None:
        self._workers = workers
        self.address = f"{ip}:{SERVICE_PORT}"
        self._server = Server((ip, SERVICE_PORT), self)

    def serve(self, method: str, path: str, *_: object):
        """Answer one call."""
        if path != "/v1/machines":
            return 409, {"reason": "busy"}
        rows = []
        for number, worker in enumerate(self._workers):
            row = {"machine": f"m-{number}", "pool": SERVICE, "zone": worker.zone}
            row["state"] = "up" if worker.is_up else "down"
            row["id"] = worker.id if worker.is_up else ""
            row["labels"], row["capacity"] = worker.labels, worker.capacity
            rows.append(row)
        return 200, {"machines": rows, "next_token": None}


class Run:
    """One run of a task at a worker."""

    def __init__(self, task: str, run: int, spec: str, began: float) -> None:
        self.task, self.run, self.spec, self.began = task, run, spec, began
        work = spec.partition("work_s=")[2]
        self.seconds = float(work) if work else float("inf")
        self.stop_at = float("inf")

    def percent(self, now: float) -> int:
        """Return how much is done; of a task that lasts, whether it is at work."""
        if self.seconds == float("inf"):
            return 100 if now - self.began > 0.5 else 0
        return min(99, int(100 * (now - self.began) / self.seconds))


class Worker:
    """A worker that runs tasks under leases; a task's work is named in its spec."""

    hold_max_seconds = 10.0

    def __init__(
        self,
        record: Record,
        ip: str,
        name: str,
        zone: str,
        labels: list[str],
        gpus: int = 8,
    ) -> None:
        self.record, self.ip, self.id, self.zone = record, ip, name, zone
        self.labels = labels
        self.capacity = {"cpu": 32000, "mem_mb": 131072, "gpus": gpus}
        self.stop_seconds = 0.2
        self.clock_offset = 0.0  # of its machine's time of day
        self.starts: list[tuple[float, str, int]] = []
        self.ends: list[tuple[float, str, int, str]] = []
        self.is_up = False
        self._changed = threading.Condition()
        self._life = 0
        self._server: Server | None = None

    def start(self) -> None:
        """Begin a lifetime that knows nothing of those before."""
        with self._changed:
            self._life += 1
            self.is_up = True
            self.born = int((time.time() + self.clock_offset) * 1000)
            self._began = time.monotonic()
            self._runs: dict[str, Run] = {}
            self._ended: list[list] = []
            self._number = self._fence = self._seq = 0
            self._highest: dict[str, int] = {}
            self._lease_until = 0.0
        self._server = Server((self.ip, APP), self)
        threading.Thread(target=self._tick, args=(self._life,), daemon=True).start()
        threading.Thread(target=self._beat, args=(self._life,), daemon=True).start()
        self.record(f"worker {self.id} starts, born {self.born}")

    def crash(self) -> None:
        """End without a word."""
        with self._changed:
            self.is_up = False
            self._life += 1
            for run in self._runs.values():
                self._note_end(run, "gone")
            self._runs.clear()
            self._changed.notify_all()
        self._server.end()
        self.record(f"worker {self.id} crashes")

    def finish(self, task: str) -> None:
        """Let the present run of a task end as done."""
        with self._changed:
            if task in self._runs:
                self._runs[task].seconds = 0.0

    def runs(self) -> dict[str, int]:
        """Return the tasks that run now, with the numbers of their runs."""
        with self._changed:
            return {run.task: run.run for run in self._runs.values()}

    def at_work(self) -> set[str]:
        """Return the tasks that are at work now."""
        now = time.monotonic()
        with self._changed:
            return {r.task for r in self._runs.values() if r.percent(now) >= 100}

    def _note_end(self, run: Run, how: str) -> None:
        self.ends.append((self.record.now(), run.task, run.run, how))
        self.record(f"{run.task} run {run.run} ends on {self.id}: {how}")

    def _clock_ms(self) -> int:
        return 1000 + int((time.monotonic() - self._began) * 1000)

    def serve(self, method: str, path: str, query: dict, body: bytes, headers):
        """Answer one call of the agent."""
        expected = headers.get("X-Expect-Worker", self.id)
        fields = json.loads(body or b"{}")
        with self._changed:
            if not self.is_up:
                return None
            if expected != self.id:
                return 421, {}
            reply = {"clock_ms": self._clock_ms(), "born": self.born}
            if fields.get("fence", 0) < self._fence:
                return 409, {**reply, "reason": "fence"}
            self._fence = fields.get("fence", 0)
            if path == "/v1/hold":
                return self._hold(fields)
            if path == "/v1/run-start":
                return self._start(fields, reply)
            if path == "/v1/run-stop":
                task, run = fields["task"], fields["run"]
                self._highest[task] = max(self._highest.get(task, 0), run)
                present = self._runs.get(task)
                if present is not None and present.run == run:
                    until = time.monotonic() + self.stop_seconds
                    present.stop_at = min(present.stop_at, until)
                self.record(f"{task} run {run} is told to stop on {self.id}")
                return 200, reply
            return 200, reply

    def _renew(self, due_ms: int) -> None:
        due = self._began + (due_ms - 1000) / 1000
        longest = time.monotonic() + self.hold_max_seconds
        self._lease_until = max(self._lease_until, min(due, longest))

    def _start(self, fields: dict, reply: dict):
        task, run = fields["task"], fields["run"]
        self._renew(fields.get("due_ms", 0))
        present = self._runs.get(task)
        if present is not None and present.run == run:
            return 200, reply
        if run <= self._highest.get(task, 0) or present is not None:
            return 409, {**reply, "reason": "old"}
        if self._lease_until <= time.monotonic():
            return 409, {**reply, "reason": "late"}
        self._runs[task] = Run(task, run, fields["spec"], time.monotonic())
        self._highest[task] = run
        self.starts.append((self.record.now(), task, run))
        self.record(f"{task} run {run} starts on {self.id}")
        return 200, reply

    def _hold(self, fields: dict):
        self._renew(fields.get("due_ms", 0))
        ack = fields.get("ack_cursor", 0)
        self._ended = [end for end in self._ended if end[0] > ack]
        until = time.monotonic() + fields.get("wait_ms", 0) / 1000
        life = self._life
        while not self._ended and life == self._life:
            left = until - time.monotonic()
            if left <= 0:
                break
            self._changed.wait(left)
        if life != self._life:
            return None
        now = time.monotonic()
        running = [[r.task, r.run, "", r.percent(now), 0] for r in self._runs.values()]
        reply = {"clock_ms": self._clock_ms(), "born": self.born}
        return 200, {**reply, "running": running, "ended": self._ended[:500]}

    def _tick(self, life: int) -> None:
        while True:
            time.sleep(0.02)
            with self._changed:
                if life != self._life:
                    return
                now = time.monotonic()
                for run in list(self._runs.values()):
                    how = ""
                    if now >= run.began + run.seconds:
                        how = "done"
                    elif now >= run.stop_at:
                        how = "stopped"
                    elif now >= self._lease_until:
                        how = "lapsed"
                    if how:
                        del self._runs[run.task]
                        self._number += 1
                        self._ended.append([self._number, run.task, run.run, how, ""])
                        self._note_end(run, how)
                        self._changed.notify_all()

    def _beat(self, life: int) -> None:
        while True:
            with self._changed:
                if life != self._life:
                    return
                self._seq += 1
                report = self.report()
            if self.send_report(self.id, report) == 200:
                time.sleep(1.5)
            else:
                time.sleep(0.2)

    def report(self) -> dict:
        """Return what the worker says of itself."""
        return {
            "service": SERVICE,
            "address": f"{self.ip}:{APP}",
            "zone": self.zone,
            "version": "v1",
            "slot_count": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self._clock_ms(),
            "born": self.born,
            "seq": self._seq,
        }

    def send_report(self, worker_id: str, report: dict) -> int:
        """Send a status report to the agent; return the status, 0 without one."""
        channel = http.client.HTTPConnection(self.ip, CONTROL, timeout=1.0)
        try:
            data = json.dumps(report)
            headers = {"Content-Type": "application/json"}
            channel.request("PUT", f"/v1/workers/{worker_id}", data, headers)
            return channel.getresponse().status
        except OSError:
            return 0
        finally:
            channel.close()


class Process:
    """One of the project's own programs, started with the deploy file's command."""

    def __init__(self, site: "Site", role: str, name: str, ip: str, extra: str) -> None:
        self._site, self.role, self.name, self.ip = site, role, name, ip
        self._settings = site.folder / f"{name}.toml"
        self._settings.write_text(site.settings(role, name, ip) + extra)
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"][self.role]["run"]
        port = FRONT if self.role == "entry" else CONTROL
        for field in ("{{listen.front}}", "{{listen.control}}"):
            command = command.replace(field, f"{self.ip}:{port}")
        environ = {k: v for k, v in os.environ.items() if k in KEPT_VARIABLES}
        environ["SEQUOIACHUTE_BOOT"] = str(self._settings)
        environ["PYTHONPATH"] = "target/deps"
        environ["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self._site.folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                command.split(), cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self._site.record(f"process {self.name} starts")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, and wait for its end if that kills it."""
        self._site.record(f"process {self.name} gets {number.name}")
        self._process.send_signal(number)
        if number == signal.SIGKILL:
            self._process.wait()

    def end(self) -> None:
        """End the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()


class Site:
    """Entries, agents, workers, store and list of machines on loopback addresses."""

    def __init__(self, folder: pathlib.Path, kinds: list[list[str]]) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="sequoiachute-review-"))
        self._base = _free_network()
        self.store = Store(self._ip(2))
        zones = ("rosenheim", "freising", "traunstein")
        self.workers = [
            Worker(self.record, self._ip(40 + n), f"i-{n}", zones[n % 3], labels)
            for n, labels in enumerate(kinds)
        ]
        self.machines = Machines(self._ip(3), self.workers)
        self.entries = [
            Process(self, "entry", f"edge-{n}", self._ip(20 + n), "") for n in range(3)
        ]
        self.agents = [
            Process(self, "agent", f"side-{n}", worker.ip, "")
            for n, worker in enumerate(self.workers)
        ]

    def _ip(self, number: int) -> str:
        return f"{self._base}.{number}"

    def settings(self, role: str, name: str, ip: str) -> str:
        """Return a process's settings file, as the platform writes it."""
        listen = f'control = "{ip}:{CONTROL}"\n'
        worker = f'app = "{ip}:{APP}"\nservice = "{SERVICE}"\n'
        if role == "entry":
            listen += f'front = "{ip}:{FRONT}"\nready = "{ip}:{READY}"\n'
            worker = ""
        seeds = [f"{self._ip(20 + n)}:{CONTROL}" for n in range(3)]
        bounds = "".join(f"{key} = {value}\n" for key, value in BOUNDS.items())
        return (
            f'node = "{name}"\nrole = "{role}"\nbind_ip = "{ip}"\n'
            f'zone = "rosenheim"\nregion = "bayern-sued"\nport_range = [7000,7015]\n'
            f"seed_nodes = {json.dumps(seeds)}\nbootstrap = true\nbeat_ms = 1500\n"
            f'orders = "rpc"\n{worker}'
            f"[listen]\n{listen}"
            f"[bounds]\n{bounds}"
            f'[platform]\naddress = "{self.store.address}"\nform = "log"\n'
            "writes_per_s = 800\nreads_per_s = 2000\nparts = 12\n"
            "record_bytes = 262144\ncall_bytes = 2097152\nttl_min_ms = 1000\n"
            f'[cloud]\naddress = "{self.machines.address}"\nrate_per_s = 60.0\n'
        )

    def start(self) -> None:
        """Start everything and wait until a short job is done on every worker."""
        self.publish()
        for process in (*self.entries, *self.agents):
            process.start()
        for worker in self.workers:
            worker.start()
        self.wait(20, lambda: all(self._is_ready(e) for e in self.entries), "readiness")
        step = {"count": len(self.workers), "cpu": 100, "anti_affinity": 1}
        self.submit("00000000000000aa", [step], "work_s=0.2")
        self.wait(20, lambda: self.state("00000000000000aa") == "complete", "first job")
        self.record("the site serves")

    def publish(self) -> None:
        """Write the configuration."""
        route = {"host": HOST, "service": SERVICE, "public": False, "timeout_ms": 3000}
        route |= {"route_kind": "unsafe", "stretch": 3.0, "slo_ms": 1000}
        routes = [
            {**route, "name": f"r-{p}", "path_prefix": f"/q{p}/", "prio": p}
            | {"attempts": 4}
            for p in range(3)
        ]
        tenant = {"name": "t1", "api_keys": [KEY], "guaranteed": {"gpus": 4}}
        config = {"version": 7, "routes": routes, "tenants": [tenant], "limits": {}}
        config["services"] = [{"name": SERVICE, "rejects_overload": False}]
        self.store.put("op", "config", config)

    def _is_ready(self, entry: Process) -> bool:
        status, _ = _call(entry.ip, READY, "GET", "/v1/readyz", None, 1.0)
        return status == 200

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        entry: int = 0,
        patience: float = 3.0,
    ) -> tuple[int, dict]:
        """Call an entry as a client; return status (0: no answer) and body.

        The client leaves after ``patience`` seconds; its time budget is 3 s.
        """
        ip = self.entries[entry].ip
        self.record(f"client sends {method} {path} to edge-{entry}")
        status, answer = _call(ip, FRONT, method, path, body, patience)
        self.record(f"client gets {status or 'no answer'} {json.dumps(answer)}")
        return status, answer

    def submit(
        self, job: str, steps: list[dict], spec: str, queue: int = 2, tries: int = 4
    ) -> bool:
        """Hand a job in, again while there is no 2xx; return whether it is accepted."""
        body = {"spec": spec, "steps": steps}
        for number in range(tries):
            status, _ = self.call("POST", f"/q{queue}/{job}", body, number % 3)
            if status == 200:
                return True
            time.sleep(0.5)
        return False

    def state(self, job: str, queue: int = 2, entry: int = 0) -> str:
        """Return a job's state as shown to its client, else the status."""
        status, answer = self.call("GET", f"/q{queue}/{job}", None, entry)
        return answer.get("state", "") if status == 200 else str(status)

    def running(self, job: str) -> dict[str, int]:
        """Return the tasks of a job that run, with how many runs of each there are."""
        found: dict[str, int] = {}
        for worker in self.workers:
            for task in worker.runs():
                if task.startswith(job):
                    found[task] = found.get(task, 0) + 1
        return found

    def wait(self, seconds: float, holds, what: str) -> None:
        """Wait for a condition that the script needs; it could not run without."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if holds():
                return
            time.sleep(0.1)
        raise NotRunError(f"no {what} within {seconds} s")

    def end(self) -> None:
        """End every process that was started."""
        for process in (*self.entries, *self.agents):
            process.end()
        if os.environ.get("KEEP"):
            print(self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)


class NotRunError(Exception):
    """The case could not run."""


def _call(
    ip: str, port: int, method: str, path: str, body: object, seconds: float
) -> tuple[int, dict]:
    channel = http.client.HTTPConnection(ip, port, timeout=seconds)
    headers = {"Host": HOST, "Authorization": f"Token {KEY}"}
    headers["X-Deadline-Ms"] = "3000"
    data = None
    if body is not None:
        data = json.dumps(body)
        headers["Content-Type"] = "application/json"
    try:
        channel.request(method, unquote(path), data, headers)
        reply = channel.getresponse()
        text = reply.read()
        return reply.status, json.loads(text) if text else {}
    except (OSError, ValueError, http.client.HTTPException):
        return 0, {}
    finally:
        channel.close()


def _free_network() -> str:
    """Return the first three numbers of loopback addresses whose ports are free."""
    for number in range(100):
        base = f"127.{60 + (os.getpid() + number) % 150}.{number + 7}"
        try:
            for ip in (f"{base}.{n}" for n in (2, 3, 20, 21, 22, *range(40, 50))):
                for port in (METRICS, FRONT, CONTROL, APP, INNER, SERVICE_PORT):
                    with socket.socket() as probe:
                        probe.bind((ip, port))
            return base
        except OSError:
            continue
    raise NotRunError("no free loopback addresses")


def play(folder: pathlib.Path, kinds: list[list[str]], body) -> int:
    """Run a script's body on a new site; return the exit status."""
    site = Site(folder, kinds)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        site.start()
        status = body(site)
    except NotRunError as error:
        site.record(f"could not run: {error}")
        status = NOT_RUN
    finally:
        site.end()
    site.record(f"exit status {status}")
    return status
