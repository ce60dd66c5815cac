"""Measures log recovery, group commit, snapshots and configuration propagation."""

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

RECORD_COUNTS = (1_000, 10_000, 30_000)
RECORDS_PER_APPEND = 500
WRITER_COUNTS = (1, 50, 500)
WRITE_SECONDS = 2.0
SWITCH_COUNT = 12
RETENTION_SECONDS = 3600.0
ACCOUNT = "brocach"


class JobTableReplica:
    """A jobs table that follows the log, as in an entry."""

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


def measure_seconds(action: Callable[[], object]) -> float:
    began = time.perf_counter()
    action()
    return time.perf_counter() - began


def catch_up(replica: JobTableReplica) -> None:
    while not replica.follower.wait_caught_up(0):
        replica.follower.read_once(0)


def measure_recovery(cluster: Cluster) -> None:
    print("live records  replay s  copy s  snapshot MB  write s  start s  entry s")
    url = f"http://{cluster.log.address}"
    client = LogServiceClient(url)
    cluster.entries[0].kill()
    written = 0
    for count in RECORD_COUNTS:
        while written < count:
            batch = [encode_record(job_record(n)) for n in range(RECORDS_PER_APPEND)]
            client.append(JOBS_STREAM, batch)
            written += len(batch)
        source = JobTableReplica(url)
        source.follower._started = True  # replays the log without a snapshot
        replay_seconds = measure_seconds(lambda replica=source: catch_up(replica))
        snapshot_writer = SnapshotWriter(
            source.log,
            source.follower,
            source.jobs.snapshot,
            RETENTION_SECONDS,
            AppendRateLimiter(),
        )
        first_position = client.read(snapshots_of(JOBS_STREAM), 2**62, 0).next
        copy_seconds = measure_seconds(source.jobs.snapshot)
        write_seconds = measure_seconds(snapshot_writer.write)
        snapshot_size = snapshot_bytes(client, first_position)
        new_replica = JobTableReplica(url)
        start_seconds = measure_seconds(lambda replica=new_replica: catch_up(replica))
        assert len(new_replica.jobs.snapshot()) == written
        print(
            f"{written:12d} {replay_seconds:9.2f} {copy_seconds:7.3f}"
            f" {snapshot_size / 1e6:12.2f}"
            f" {write_seconds:8.2f} {start_seconds:8.2f} {start_entry(cluster):8.2f}"
        )


def start_entry(cluster: Cluster) -> float:
    """Start an entry, return the seconds until it is ready and kill it."""
    began = time.perf_counter()
    cluster.entries[0] = cluster.start_entry(0)
    cluster.wait_ready()
    elapsed = time.perf_counter() - began
    cluster.entries[0].kill()
    return elapsed


def snapshot_bytes(client: LogServiceClient, first_position: int) -> int:
    snapshot_size = 0
    page = client.read(snapshots_of(JOBS_STREAM), first_position, 0)
    for entry in page.entries:
        snapshot_size += len(entry.data)
    return snapshot_size


def measure_appends(url: str) -> None:
    print("writers  records/s  appends/s  p50 ms  p99 ms")
    for count in WRITER_COUNTS:
        replica = JobTableReplica(url)
        replica.streams.run()
        replica.follower.wait_caught_up(10)
        before = count_appends(url)
        latencies: list[float] = []
        deadline = time.perf_counter() + WRITE_SECONDS
        tasks = []
        for _ in range(count):
            tasks.append(eventlet.spawn(write_until, replica, deadline, latencies))
        for task in tasks:
            task.wait()
        appends = (count_appends(url) - before) / WRITE_SECONDS
        latencies.sort()
        print(
            f"{count:7d} {len(latencies) / WRITE_SECONDS:10.0f} {appends:10.0f}"
            f" {1e3 * quantile(latencies, 0.5):7.1f}"
            f" {1e3 * quantile(latencies, 0.99):7.1f}"
        )


def write_until(
    replica: JobTableReplica, deadline: float, latencies: list[float]
) -> None:
    writer = replica.streams.writer(JOBS_STREAM)
    while time.perf_counter() < deadline:
        record = job_record(0)
        latencies.append(measure_seconds(lambda r=record: writer.append(r).unwrap()))


def count_appends(url: str) -> int:
    response = urllib3.request("GET", f"{url}/stats")
    return msgspec.json.decode(response.data)["appends"]


def quantile(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(share * len(values)))]


def measure_propagation(cluster: Cluster) -> None:
    """Measure the time from an operator's call until it is in force everywhere.

    An entry shows the offset that each agent announced last, so the times
    include up to one announcement interval.
    """
    latencies = []
    for number in range(SWITCH_COUNT):
        action = "restore" if number % 2 else "drain"
        path = f"/v1/data-centres/muc-3/{action}"
        began = time.perf_counter()
        status, _, answer = cluster.call("POST", path, OPERATOR_KEY)
        assert status == 200
        offset = msgspec.json.decode(answer)["offset"]
        answer_seconds = time.perf_counter() - began
        waiters = []
        for index in range(len(cluster.entries)):
            waiters.append(eventlet.spawn(wait_in_force, cluster, index, offset))
        done_at = max(waiter.wait() for waiter in waiters)
        latencies.append((answer_seconds, done_at - began))
    for name, values in (
        ("answer", sorted(wait[0] for wait in latencies)),
        ("in force", sorted(wait[1] for wait in latencies)),
    ):
        print(
            f"{name:9s} p50 {quantile(values, 0.5):.2f} s"
            f"  p99 {quantile(values, 0.99):.2f} s"
        )


def wait_in_force(cluster: Cluster, entry: int, offset: int) -> float:
    while True:
        answer = cluster.call("GET", "/v1/workers", OPERATOR_KEY, entry=entry)[2]
        offsets = [w["config_offset"] for w in msgspec.json.decode(answer)["workers"]]
        if min(offsets) >= offset:
            return time.perf_counter()
        time.sleep(0.02)


def run() -> None:
    """Print the tables; eventlet must have patched the standard library."""
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
    """Run the benchmark in a process that eventlet patches first."""
    command = [sys.executable, "-W", "ignore", "-m", "benchmarks.bench_log"]
    environment = {**os.environ, "EVENTLET_HUB": "asyncio"}
    subprocess.run(command, env=environment, check=True)


if __name__ == "__main__":
    eventlet.monkey_patch()
    run()
