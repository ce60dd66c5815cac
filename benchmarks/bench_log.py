"""Recovery, group commit, propagation of configuration and snapshots."""

import os
import subprocess
import sys
import time
from collections.abc import Callable
from uuid import uuid4

import eventlet
import msgspec
import urllib3
from loguru import logger

from sequoiachute.coordination.breaker import AppendRateLimiter
from sequoiachute.coordination.snapshot_writer import SnapshotWriter
from sequoiachute.coordination.streams import StateStreams
from sequoiachute.protocol.records import JOBS_STREAM, encode_record, snapshots_of
from sequoiachute.state.jobs import JobTable
from sequoiachute.transport.logservice import LogServiceClient
from standins.cluster import OPERATOR_KEY, Cluster
from standins.demo import CATALOGUE

LIVE_RECORDS = (1_000, 10_000, 30_000)
APPEND_RECORDS = 500
WRITERS = (1, 50, 500)
WRITE_SECONDS = 2.0
SWITCHES = 12
RETENTION_SECONDS = 3600.0
ACCOUNT = "brocach"


class Node:
    """The jobs table of an entry and its streams."""

    def __init__(self, url: str) -> None:
        self.jobs = JobTable()
        self.log = LogServiceClient(url)
        self.streams = StateStreams(self.log, RETENTION_SECONDS)
        self.streams.add(
            JOBS_STREAM,
            lambda position, record: self.jobs.apply(record, position.appended_at),
            self.jobs.snapshot,
            self.jobs.restore,
        )
        self.follower = self.streams.follower(JOBS_STREAM)


def job_record(number: int) -> dict:
    return {
        "kind": "job-accepted",
        "record_id": uuid4().hex,
        "job_id": uuid4().hex,
        "account": ACCOUNT,
        "job_class": "batch",
        "idempotency_key": f"key-{number}-{uuid4().hex}",
        "body_digest": uuid4().hex * 2,
        "submitted_at": time.time(),
        "spec": {
            "tasks": 2,
            "accelerators": 4,
            "within": "rack",
            "run_seconds": 3600.0,
            "payload": "x" * 100,
        },
    }


def seconds_of(work: Callable[[], object]) -> float:
    began = time.perf_counter()
    work()
    return time.perf_counter() - began


def catch_up(node: Node) -> None:
    while not node.follower.wait_caught_up(0):
        node.follower.read_once(0)


def measure_recovery(cluster: Cluster) -> None:
    print("live records  replay s  copy s  snapshot MB  write s  start s  entry s")
    url = f"http://{cluster.log.address}"
    client = LogServiceClient(url)
    cluster.entries[0].kill()
    written = 0
    for count in LIVE_RECORDS:
        while written < count:
            batch = [encode_record(job_record(n)) for n in range(APPEND_RECORDS)]
            client.append(JOBS_STREAM, batch)
            written += len(batch)
        source = Node(url)
        source.follower._started = True  # replays without a snapshot
        replay = seconds_of(lambda node=source: catch_up(node))
        keeper = SnapshotWriter(
            source.log,
            source.follower,
            source.jobs.snapshot,
            RETENTION_SECONDS,
            AppendRateLimiter(),
        )
        first = client.read(snapshots_of(JOBS_STREAM), 2**62, 0).next
        take = seconds_of(source.jobs.snapshot)
        write = seconds_of(keeper.write)
        size = snapshot_bytes(client, first)
        fresh = Node(url)
        start = seconds_of(lambda node=fresh: catch_up(node))
        assert len(fresh.jobs.snapshot()) == written
        print(
            f"{written:12d} {replay:9.2f} {take:7.3f} {size / 1e6:12.2f}"
            f" {write:8.2f} {start:8.2f} {start_entry(cluster):8.2f}"
        )


def start_entry(cluster: Cluster) -> float:
    """Return the seconds from the start of a process until it is ready."""
    began = time.perf_counter()
    cluster.entries[0] = cluster.start_entry(0)
    cluster.wait_ready()
    elapsed = time.perf_counter() - began
    cluster.entries[0].kill()
    return elapsed


def snapshot_bytes(client: LogServiceClient, first: int) -> int:
    size = 0
    page = client.read(snapshots_of(JOBS_STREAM), first, 0)
    for entry in page.entries:
        size += len(entry.data)
    return size


def measure_appends(url: str) -> None:
    print("writers  records/s  appends/s  p50 ms  p99 ms")
    for count in WRITERS:
        node = Node(url)
        node.streams.run()
        node.follower.wait_caught_up(10)
        before = appends_of(url)
        waits: list[float] = []
        deadline = time.perf_counter() + WRITE_SECONDS
        tasks = []
        for _ in range(count):
            tasks.append(eventlet.spawn(write_until, node, deadline, waits))
        for task in tasks:
            task.wait()
        appends = (appends_of(url) - before) / WRITE_SECONDS
        waits.sort()
        print(
            f"{count:7d} {len(waits) / WRITE_SECONDS:10.0f} {appends:10.0f}"
            f" {1e3 * share(waits, 0.5):7.1f} {1e3 * share(waits, 0.99):7.1f}"
        )


def write_until(node: Node, deadline: float, waits: list[float]) -> None:
    writer = node.streams.writer(JOBS_STREAM)
    while time.perf_counter() < deadline:
        record = job_record(0)
        waits.append(seconds_of(lambda r=record: writer.append(r).unwrap()))


def appends_of(url: str) -> int:
    response = urllib3.request("GET", f"{url}/stats")
    return msgspec.json.decode(response.data)["appends"]


def share(values: list[float], part: float) -> float:
    return values[min(len(values) - 1, int(part * len(values)))]


def measure_propagation(cluster: Cluster) -> None:
    """Time from an operator's call until every process acts under its record.

    An entry shows the offset that each agent announced last, so that up to an
    announcement's interval is counted on top.
    """
    waits = []
    for number in range(SWITCHES):
        action = "restore" if number % 2 else "drain"
        path = f"/v1/data-centres/muc-3/{action}"
        began = time.perf_counter()
        status, _, answer = cluster.call("POST", path, OPERATOR_KEY)
        assert status == 200
        offset = msgspec.json.decode(answer)["offset"]
        answered = time.perf_counter() - began
        looks = []
        for index in range(len(cluster.entries)):
            looks.append(eventlet.spawn(wait_in_force, cluster, index, offset))
        done = max(look.wait() for look in looks)
        waits.append((answered, done - began))
    for name, values in (
        ("answer", sorted(wait[0] for wait in waits)),
        ("in force", sorted(wait[1] for wait in waits)),
    ):
        print(
            f"{name:9s} p50 {share(values, 0.5):.2f} s  p99 {share(values, 0.99):.2f} s"
        )


def wait_in_force(cluster: Cluster, entry: int, offset: int) -> float:
    while True:
        answer = cluster.call("GET", "/v1/workers", OPERATOR_KEY, entry=entry)[2]
        offsets = [w["config_offset"] for w in msgspec.json.decode(answer)["workers"]]
        if min(offsets) >= offset:
            return time.perf_counter()
        time.sleep(0.02)


def run() -> None:
    """Print the tables; needs the standard library patched by eventlet."""
    logger.remove()
    with Cluster(accounts=(ACCOUNT,), workers=0, entries=1) as cluster:
        cluster.entries[0].kill()
        measure_appends(f"http://{cluster.log.address}")
    with Cluster(accounts=(ACCOUNT,), workers=0, entries=1) as cluster:
        measure_recovery(cluster)
    with Cluster(accounts=(ACCOUNT, "milchschaum"), workers=11) as cluster:
        cluster.call("PUT", "/v1/catalogue", OPERATOR_KEY, CATALOGUE)
        measure_propagation(cluster)


def main() -> None:
    """Measure in a process of its own, patched for green tasks."""
    command = [sys.executable, "-W", "ignore", "-m", "benchmarks.bench_log"]
    environment = {**os.environ, "EVENTLET_HUB": "asyncio"}
    subprocess.run(command, env=environment, check=True)


if __name__ == "__main__":
    eventlet.monkey_patch()
    run()
