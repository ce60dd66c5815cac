"""Tests of starts of tasks that reach a worker after their agent gave them up."""

import time

import msgspec
import pytest

from soak import histories
from soak.events import WorkerHistory, read_events
from soak.keeper import WorkerKeeper
from soak.plan import LATE_CALLS
from soak.proxy import CLEAR, LATE
from soak.trial import Links
from standins.cluster import ACCELERATORS, OPERATOR_KEY, Cluster, caller_key
from standins.demo import CATALOGUE

ACCOUNT = "brocach"
WORKERS = 2
LATE_SECONDS = 4.5  # more than the timeout of a start and a poll of the task
RUN_SECONDS = 8.0
JOB = {
    "accelerators": 1,
    "within": "rack",
    "tasks": 1,
    "payload": "",
    "run_seconds": RUN_SECONDS,
}


def submit_with_late_start(restarts_workers: bool) -> WorkerHistory:
    """Return what the workers did after the first start of a job arrived late."""
    links = Links()
    with Cluster((ACCOUNT,), workers=WORKERS, route=links.route) as cluster:
        keeper = WorkerKeeper(cluster)
        keeper.start()
        try:
            cluster.call("PUT", "/v1/catalogue", OPERATOR_KEY, CATALOGUE)
            # The first job shows that the agents start tasks.
            run_job(cluster, "first", 0.2)
            for link in links.of_kind("agent-worker"):
                link.delay_seconds = LATE_SECONDS
                link.late_prefix = LATE_CALLS["late starts"]
                link.state = LATE
                # A new connection reaches the process that is there by then.
                link.reset()
            job_id = submit(cluster, "second", RUN_SECONDS)
            cluster.wait_until(lambda: state(cluster, job_id) == "running", 10.0)
            time.sleep(1.0)  # for the start to be sent
            for link in links.of_kind("agent-worker"):
                link.state = CLEAR
            if restarts_workers:
                for index in range(WORKERS):
                    keeper.kill(index, 0.1)
            cluster.wait_until(lambda: state(cluster, job_id) == "finished", 40.0)
            return merged_history(cluster)
        finally:
            keeper.stop()
            links.close()


def run_job(cluster: Cluster, key: str, seconds: float) -> None:
    job_id = submit(cluster, key, seconds)
    cluster.wait_until(lambda: state(cluster, job_id) == "finished", 30.0)


def submit(cluster: Cluster, key: str, seconds: float) -> str:
    body = JOB | {"run_seconds": seconds}
    headers = {"Idempotency-Key": key}
    status, _, answer = cluster.call(
        "POST", "/v1/jobs", caller_key(ACCOUNT), body, headers
    )
    assert status == 202
    return msgspec.json.decode(answer)["job_id"]


def state(cluster: Cluster, job_id: str) -> str:
    _, _, answer = cluster.call("GET", f"/v1/jobs/{job_id}", caller_key(ACCOUNT))
    return msgspec.json.decode(answer)["state"]


def merged_history(cluster: Cluster) -> WorkerHistory:
    merged = WorkerHistory([], [], [], [])
    for index in range(WORKERS):
        history = read_events(index, cluster.events(index))
        for known, added in zip(merged, history, strict=True):
            known.extend(added)
    return merged


@pytest.mark.processes
@pytest.mark.parametrize("restarts_workers", [False, True])
def test_task_whose_start_arrives_late_does_not_run_twice_at_a_time(restarts_workers):
    history = submit_with_late_start(restarts_workers)
    assert not histories.concurrent_runs(history.runs)
    assert not histories.overcommitted_accelerators(history.runs, ACCELERATORS)
