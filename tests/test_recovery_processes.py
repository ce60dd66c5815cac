import random
import time

import msgspec
import pytest
import urllib3

from soak import histories
from standins.cluster import OPERATOR_KEY, Cluster, caller_key
from standins.demo import CATALOGUE

pytestmark = pytest.mark.processes

ACCOUNT = "brocach"
CALLER_KEY = caller_key(ACCOUNT)
JOB = {"tasks": 1, "accelerators": 1, "within": "rack", "payload": ""}
RETENTION_SECONDS = 8.0
SCHEDULE_RETENTION_SECONDS = 20.0
# With one step added, still shorter than the time for which state is kept.
MAX_OUTAGE_SECONDS = 5.0
RUN_SECONDS = 12.0
BURST_JOBS = 4
SEED = 5


@pytest.fixture
def cluster(request):
    accounts = (ACCOUNT, "milchschaum")
    retention = getattr(request, "param", RETENTION_SECONDS)
    with Cluster(accounts, workers=3, retention=retention) as started:
        assert started.call("PUT", "/v1/catalogue", OPERATOR_KEY, CATALOGUE)[0] == 200
        yield started


def try_call(cluster, *arguments, **options):
    try:
        return cluster.call(*arguments, **options)
    except urllib3.exceptions.HTTPError:
        return None, {}, b""


def submit(cluster, idempotency_key, entry, run_seconds=0.3):
    body = {**JOB, "run_seconds": run_seconds}
    headers = {"Idempotency-Key": idempotency_key}
    status, _, answer = try_call(
        cluster, "POST", "/v1/jobs", CALLER_KEY, body, headers, entry=entry, timeout=4.0
    )
    return msgspec.json.decode(answer)["job_id"] if status == 202 else None


def job_states(cluster, entry=0):
    status, _, answer = try_call(cluster, "GET", "/v1/jobs", CALLER_KEY, entry=entry)
    if status != 200:
        return {}
    jobs = msgspec.json.decode(answer)["jobs"]
    return {job["job_id"]: job["state"] for job in jobs}


def configuration_view(cluster, entry):
    status, _, answer = try_call(
        cluster, "GET", "/v1/catalogue", OPERATOR_KEY, entry=entry, timeout=2.0
    )
    if status != 200:
        return None
    body = msgspec.json.decode(answer)
    return body["offset"], (body["catalogue"], tuple(body["out_of_service"]))


def wait_finished(cluster, accepted, seconds):
    for entry in range(len(cluster.entries)):
        cluster.wait_until(
            lambda e=entry: not histories.lost_jobs(accepted, job_states(cluster, e)),
            seconds,
        )


def test_replacing_all_entries_in_a_log_outage_loses_no_job(cluster):
    done = submit(cluster, "done", 0)
    wait_finished(cluster, {done}, 20)
    running = submit(cluster, "running", 0, run_seconds=20.0)
    queued = {submit(cluster, f"queued-{n}", n % 2) for n in range(30)}
    # Longer than the log keeps a record: only snapshots hold the older state.
    time.sleep(RETENTION_SECONDS * 1.2)
    cluster.set_faults(cluster.log, down=True)
    started_at = time.monotonic()
    assert submit(cluster, "refused", 0) is None
    assert time.monotonic() - started_at < 4
    for index, entry in enumerate(cluster.entries):
        entry.kill()
        cluster.entries[index] = cluster.start_entry(index)
    time.sleep(1)
    cluster.set_faults(cluster.log)
    cluster.wait_ready()
    accepted = {done, running, *queued}
    for entry in range(len(cluster.entries)):
        assert set(job_states(cluster, entry)) == accepted
    wait_finished(cluster, accepted, 40)
    assert submit(cluster, "done", 1) == done


class FaultSchedule:
    """Submissions, configuration changes and faults drawn from a seed."""

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.random = random.Random(seed)
        self.accepted = set()
        self.offsets = {0: [], 1: []}
        self.values = []
        self.job_count = 0
        self.down_since = None

    def run(self, seconds):
        deadline = time.monotonic() + seconds
        self.submit()
        while time.monotonic() < deadline:
            step = self.random.choice(
                [self.submit, self.submit, self.publish, self.switch, self.inject_fault]
            )
            step()
            self.end_long_outage()
            self.record_views()
        self.cluster.set_faults(self.cluster.log)
        for entry in self.cluster.entries:
            entry.thaw()

    def end_long_outage(self):
        if self.down_since is None:
            return
        if time.monotonic() - self.down_since > MAX_OUTAGE_SECONDS:
            self.cluster.set_faults(self.cluster.log)
            self.down_since = None

    def submit(self):
        for _ in range(BURST_JOBS):
            self.job_count += 1
            entry = self.random.randrange(2)
            job_id = submit(self.cluster, f"key-{self.job_count}", entry)
            if job_id is None:
                return
            self.accepted.add(job_id)

    def publish(self):
        for entry in range(2):
            try_call(
                self.cluster,
                "PUT",
                "/v1/catalogue",
                OPERATOR_KEY,
                CATALOGUE,
                entry=entry,
                timeout=2.0,
            )

    def switch(self):
        action = self.random.choice(["drain", "restore"])
        path = f"/v1/data-centres/muc-3/{action}"
        entry = self.random.randrange(2)
        try_call(self.cluster, "POST", path, OPERATOR_KEY, entry=entry, timeout=2.0)

    def inject_fault(self):
        fault = self.random.choice(["kill", "pause", "down", "lose", "slow", "none"])
        index = self.random.randrange(2)
        if fault == "kill":
            self.cluster.entries[index].kill()
            self.cluster.entries[index] = self.cluster.start_entry(index)
            self.offsets[index] = []
        elif fault == "pause":
            self.cluster.entries[index].freeze()
            time.sleep(self.random.uniform(0.5, 4.0))
            self.cluster.entries[index].thaw()
        else:
            faults = {
                "down": {"down": True},
                "lose": {"lose_replies": True},
                "slow": {"slow_seconds": 0.7},
                "none": {},
            }
            self.cluster.set_faults(self.cluster.log, **faults[fault])
            if fault != "down":
                self.down_since = None
            elif self.down_since is None:
                self.down_since = time.monotonic()
            time.sleep(0.5)

    def record_views(self):
        for index, offsets in self.offsets.items():
            view = configuration_view(self.cluster, index)
            if view is None:
                continue
            offsets.append(view[0])
            self.values.append((view[0], view[1][0]))


@pytest.mark.parametrize("cluster", [SCHEDULE_RETENTION_SECONDS], indirect=True)
def test_fault_schedule_loses_no_job_and_reverts_no_configuration(cluster):
    schedule = FaultSchedule(cluster, SEED)
    schedule.run(RUN_SECONDS)
    cluster.wait_ready()
    path = "/v1/data-centres/muc-3/restore"
    cluster.wait_until(
        lambda: try_call(cluster, "POST", path, OPERATOR_KEY)[0] == 200, 20
    )
    assert len(schedule.accepted) >= BURST_JOBS
    wait_finished(cluster, schedule.accepted, 60)
    for offsets in schedule.offsets.values():
        assert not histories.backward_steps(offsets)
    assert not histories.divergent_views(schedule.values)
    cluster.wait_until(
        lambda: configuration_view(cluster, 0) == configuration_view(cluster, 1), 4
    )
