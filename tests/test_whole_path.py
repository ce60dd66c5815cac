"""End-to-end tests of requests and gangs on real processes."""

import msgspec
import pytest

from standins.cluster import OPERATOR_KEY, Cluster, caller_key
from standins.demo import CATALOGUE

pytestmark = pytest.mark.processes

ACCOUNT = "brocach"
KEY = caller_key(ACCOUNT)
GANG = {
    "tasks": 2,
    "accelerators": 8,
    "within": "rack",
    "payload": "engrave",
    "run_seconds": 0.5,
}


@pytest.fixture(scope="module")
def cluster():
    with Cluster((ACCOUNT, "milchschaum"), workers=6) as started:
        assert started.call("PUT", "/v1/catalogue", OPERATOR_KEY, CATALOGUE)[0] == 200
        started.wait_until(lambda: is_request_answered(started), 20)
        yield started


def is_request_answered(cluster):
    headers = {"X-Idempotent": "true"}
    return cluster.call("POST", "/v1/requests", KEY, b"", headers)[0] == 200


def get_job(cluster, job_id, entry=0):
    reply = cluster.call("GET", f"/v1/jobs/{job_id}", KEY, entry=entry)
    return msgspec.json.decode(reply[2])


def submit(cluster, key, **changes):
    headers = {"Idempotency-Key": key}
    reply = cluster.call("POST", "/v1/jobs", KEY, {**GANG, **changes}, headers)
    assert reply[0] == 202
    return msgspec.json.decode(reply[2])["job_id"]


def wait_for_state(cluster, job_id, state, seconds=20):
    cluster.wait_until(lambda: get_job(cluster, job_id)["state"] == state, seconds)


def test_large_request_is_answered_in_full(cluster):
    body = bytes(range(256)) * 4096
    headers = {"X-Idempotent": "true"}
    status, _, answer = cluster.call("POST", "/v1/requests", KEY, body, headers)
    assert (status, answer) == (200, body)


def test_same_key_at_both_entries_runs_once(cluster):
    headers = {"Idempotency-Key": "proof-1"}
    first = cluster.call("POST", "/v1/requests", KEY, b"cut", headers, entry=0)
    second = cluster.call("POST", "/v1/requests", KEY, b"cut", headers, entry=1)
    assert (first[0], second[0]) == (200, 200)
    attempt = first[1]["X-Attempt-Id"]
    assert second[1]["X-Attempt-Id"] == attempt
    runs = []
    for worker in cluster.workers:
        runs += [r for r in cluster.history(worker) if r.get("attempt_id") == attempt]
    assert len(runs) == 1


def test_gang_runs_on_adjacent_workers_of_one_rack(cluster):
    job_id = submit(cluster, "gang-1")
    wait_for_state(cluster, job_id, "finished")
    workers = get_job(cluster, job_id, entry=1)["workers"]
    assert len(set(workers)) == 2
    assert len({int(name.partition("-")[2]) % 3 for name in workers}) == 1


def test_gang_moves_out_of_a_drained_data_centre(cluster):
    job_id = submit(cluster, "gang-2", tasks=1, run_seconds=6.0)
    wait_for_state(cluster, job_id, "running")
    worker = int(get_job(cluster, job_id)["workers"][0].partition("-")[2])
    path = f"/v1/data-centres/muc-{worker % 3 + 1}"
    assert cluster.call("POST", f"{path}/drain", OPERATOR_KEY)[0] == 200
    wait_for_state(cluster, job_id, "finished")
    new_worker = int(get_job(cluster, job_id)["workers"][0].partition("-")[2])
    assert new_worker % 3 != worker % 3
    assert cluster.call("POST", f"{path}/restore", OPERATOR_KEY)[0] == 200


def test_accepted_job_survives_a_crash_of_every_entry(cluster):
    job_id = submit(cluster, "gang-3")
    for entry in cluster.entries:
        entry.kill()
    for index in range(len(cluster.entries)):
        cluster.entries[index] = cluster.start_entry(index)
    cluster.wait_ready()
    wait_for_state(cluster, job_id, "finished", seconds=30)
