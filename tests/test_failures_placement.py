"""Placement of gangs while real processes are killed or paused."""

import re
import time

import msgspec
import pytest
import urllib3

from sequoiachute.coordination.bounds import (
    MAX_PARTIAL_GANG_SECONDS,
    TASK_LEASE_SECONDS,
)
from standins.cluster import OPERATOR_KEY, Cluster, caller_key
from standins.demo import CATALOGUE

pytestmark = pytest.mark.processes

ACCOUNT = "brocach"
KEY = caller_key(ACCOUNT)
GANG = {"tasks": 2, "accelerators": 8, "within": "rack", "payload": "engrave"}


@pytest.fixture(scope="module")
def cluster():
    with Cluster((ACCOUNT, "milchschaum"), workers=6) as started:
        assert started.call("PUT", "/v1/catalogue", OPERATOR_KEY, CATALOGUE)[0] == 200
        yield started


def submit(cluster, key, run_seconds, entry=0):
    body = {**GANG, "run_seconds": run_seconds}
    headers = {"Idempotency-Key": key}
    reply = cluster.call("POST", "/v1/jobs", KEY, body, headers, entry=entry)
    assert reply[0] == 202
    return msgspec.json.decode(reply[2])["job_id"]


def job_of(cluster, job_id, entry=0):
    try:
        reply = cluster.call("GET", f"/v1/jobs/{job_id}", KEY, entry=entry)
    except urllib3.exceptions.HTTPError:
        return {"state": "unknown"}
    return msgspec.json.decode(reply[2])


def wait_for_state(cluster, job_id, state, seconds=20, entry=0):
    cluster.wait_until(
        lambda: job_of(cluster, job_id, entry).get("state") == state, seconds
    )


def starts_of(cluster, job_id):
    """Return start times and task identities of the job, ordered by time."""
    starts = []
    for worker in cluster.workers:
        for run in cluster.history(worker):
            if run.get("task_id", "").startswith(f"{job_id}."):
                starts.append((run["at"], run["task_id"]))
    return sorted(starts)


def count_running(cluster, job_id, attempt):
    """Return the number of running members of an attempt."""
    http = urllib3.PoolManager(retries=False)
    count = 0
    for worker in cluster.workers:
        for member in range(GANG["tasks"]):
            url = f"http://{worker.address}/tasks/{job_id}.{attempt}.{member}"
            reply = http.request("GET", url)
            if reply.status == 200 and msgspec.json.decode(reply.data)[0] == "running":
                count += 1
    return count


def cancel(cluster, job_id):
    cluster.call("DELETE", f"/v1/jobs/{job_id}", KEY)
    wait_for_state(cluster, job_id, "cancelled")
    assert count_running(cluster, job_id, 1) == count_running(cluster, job_id, 2) == 0


def wait_until_tasks_run(cluster, job_id, attempt=1):
    """Wait until every member runs; the log records the start before that."""
    cluster.wait_until(
        lambda: count_running(cluster, job_id, attempt) == GANG["tasks"], 20
    )


def index_of_first_agent(cluster, job_id):
    worker = job_of(cluster, job_id)["workers"][0]
    return int(worker.partition("-")[2])


def placer_of(cluster):
    """Return the index of the entry that holds the placer's lease, if any."""
    for index in range(len(cluster.entries)):
        lines = cluster.call("GET", "/metrics", OPERATOR_KEY, entry=index)[2]
        if any(re.fullmatch(rb"\w*placer 1(\.0)?", x) for x in lines.splitlines()):
            return index
    return None


def wait_for_placer(cluster):
    cluster.wait_until(lambda: placer_of(cluster) is not None, 20)
    return placer_of(cluster)


def test_gang_continues_when_its_placer_is_killed(cluster):
    job_id = submit(cluster, "killed", 8.0)
    wait_until_tasks_run(cluster, job_id)
    placer = wait_for_placer(cluster)
    cluster.entries[placer].kill()
    cluster.entries[placer] = cluster.start_entry(placer)
    cluster.wait_ready()
    wait_for_state(cluster, job_id, "finished", 30)
    starts = [task for _, task in starts_of(cluster, job_id)]
    assert sorted(starts) == [f"{job_id}.1.0", f"{job_id}.1.1"]


def test_paused_placer_starts_nothing_twice_after_its_lease(cluster):
    paused = wait_for_placer(cluster)
    cluster.entries[paused].freeze()
    job_id = submit(cluster, "paused", 1.0, entry=1 - paused)
    wait_for_state(cluster, job_id, "running", 10, entry=1 - paused)
    cluster.entries[paused].thaw()
    wait_for_state(cluster, job_id, "finished", 20, entry=1 - paused)
    time.sleep(1)
    assert len(starts_of(cluster, job_id)) == 2


def test_task_of_a_killed_agent_runs_again_only_after_its_lease(cluster):
    job_id = submit(cluster, "agent-killed", 60.0)
    wait_until_tasks_run(cluster, job_id)
    index = index_of_first_agent(cluster, job_id)
    cluster.agents[index].kill()
    killed_at = time.time()
    cluster.agents[index] = cluster.start_agent(index)
    cluster.wait_until(lambda: count_running(cluster, job_id, 2) == 2, 20)
    second = [at for at, task in starts_of(cluster, job_id) if ".2." in task]
    assert len(second) == 2
    assert min(second) - killed_at >= TASK_LEASE_SECONDS - 1.0
    cancel(cluster, job_id)


def test_every_member_of_a_paused_agents_gang_stops_and_runs_again(cluster):
    job_id = submit(cluster, "agent-paused", 60.0)
    wait_until_tasks_run(cluster, job_id)
    index = index_of_first_agent(cluster, job_id)
    cluster.agents[index].freeze()
    time.sleep(MAX_PARTIAL_GANG_SECONDS)
    assert count_running(cluster, job_id, 1) == 0
    cluster.agents[index].thaw()
    cluster.wait_until(lambda: count_running(cluster, job_id, 2) == 2, 20)
    assert len(starts_of(cluster, job_id)) == 4
    cancel(cluster, job_id)
