"""Tests of the soak test's checkers, fault plan and links, and one short seed."""

import socket
import threading
import time

import pytest
import urllib3

from soak import histories
from soak.__main__ import describe
from soak.events import read_events
from soak.histories import Call, JobSample, RequestRun, TaskStart
from soak.keeper import CRASH_RESTART_SECONDS, WorkerKeeper
from soak.plan import (
    FAULT_KINDS,
    LATE_CALLS,
    MAX_LOG_FAULT_SECONDS,
    WORKER_FAULT_KINDS,
    draw_plan,
)
from soak.proxy import (
    CLEAR,
    CUT_TO_CLIENT,
    CUT_TO_SERVER,
    DELAYED,
    LATE,
    SILENT,
    Link,
)
from soak.trial import MAX_CALL_SECONDS, Trial, TrialResult
from standins.cluster import Cluster, Process
from standins.ports import free_address

HOLD_SECONDS = 0.3
CRASH_STATUS = 70
CI_SEED = 7
CI_SECONDS = 8.0
LATE_CALLS_SEED = 601
LATE_CALLS_SECONDS = 12.0


def identity(body):
    return body


ANSWERED = Call("r-1", "key", False, b"a", "answered", b"a")
RUN = RequestRun("r-1", "a-1", b"a")


def test_valid_history_has_no_violations():
    assert not any(histories.find_violations([ANSWERED], [RUN], identity).values())
    starts = [
        TaskStart("j", 1, 0, 1.0),
        TaskStart("j", 1, 1, 1.0),
        TaskStart("j", 2, 0, 2.0),
    ]
    assert not histories.duplicate_starts(starts)
    assert not histories.starts_after_end(starts, {"j": 2.0})
    assert not histories.conflicting_final_states({"j": {"finished"}})


@pytest.mark.parametrize(
    ("kind", "calls", "runs"),
    [
        ("duplicate runs", [ANSWERED], [RUN, RUN._replace(attempt_id="a-2")]),
        ("mismatched answers", [ANSWERED._replace(answer=b"b")], [RUN]),
        ("mismatched answers", [ANSWERED._replace(answer=b"")], [RUN]),
        ("false refusals", [ANSWERED._replace(outcome="not-run")], [RUN]),
        ("answers without a run", [ANSWERED], []),
    ],
)
def test_violation_of_a_request_guarantee_is_found(kind, calls, runs):
    found = histories.find_violations(calls, runs, identity)
    assert found[kind]


def test_violation_of_a_job_guarantee_is_found():
    repeated = [TaskStart("j", 1, 0, 1.0), TaskStart("j", 1, 0, 2.0)]
    assert histories.duplicate_starts(repeated) == [repeated[1]]
    assert histories.starts_after_end(repeated, {"j": 1.5}) == [repeated[1]]
    assert histories.conflicting_final_states({"j": {"finished", "failed"}}) == {"j"}
    assert histories.lost_jobs({"j"}, {"j": "running"}) == {"j"}
    assert histories.lost_jobs({"j"}, {}) == {"j"}
    assert histories.backward_steps([1, 3, 2]) == [(3, 2)]
    overdue = ANSWERED._replace(outcome="lost", seconds=MAX_CALL_SECONDS + 1)
    assert histories.overdue_calls([overdue], MAX_CALL_SECONDS)


def sampled(waiting, used, until=4.0, attempt=0):
    """Return samples of a job that waits while the workers are used as given."""
    samples = []
    for tenths in range(int(10 * until) + 1):
        jobs = {"j": attempt} if waiting else {}
        samples.append(JobSample(tenths / 10, jobs, list(used)))
    return samples


@pytest.mark.parametrize("used", [(0, 0), (0, 7), (4, 3)])
def test_wait_beside_idle_workers_is_found(used):
    assert histories.idle_waits(sampled(True, used), {"j": 2}, 8, 3.0) == {"j"}


@pytest.mark.parametrize(
    "samples",
    [
        sampled(False, (0, 0)),
        sampled(True, (0, 0), until=3.0),
        sampled(True, (4, 4)),  # half is in use
        sampled(True, (5, 6), until=20.0),
        sampled(True, (0, 0))[:20] + sampled(True, (0, 0), attempt=1)[20:],
        sampled(True, (0, 0))[:20]
        + sampled(True, (8, 2))[20:25]
        + sampled(True, (0, 0))[25:],
        [*sampled(True, (0, 0))[:20], JobSample(2.0, {}, [0, 0])]
        + sampled(True, (0, 0))[21:],
    ],
)
def test_wait_is_allowed_if_short_or_beside_busy_workers(samples):
    assert not histories.idle_waits(samples, {"j": 2}, 8, 3.0)


def test_wait_is_allowed_where_no_worker_holds_the_job_twice():
    assert not histories.idle_waits(sampled(True, (0, 0)), {"j": 5}, 8, 3.0)


def test_members_of_the_last_attempt_use_accelerators():
    starts = [
        TaskStart("j", 1, 0, 1.0),
        TaskStart("j", 2, 0, 2.0),
        TaskStart("j", 2, 1, 2.0),
        TaskStart("ended", 1, 0, 1.0),
    ]
    assert histories.used_accelerators(starts, {"j": 2}) == 2


def test_description_lists_the_violations():
    result = TrialResult(3, 1, 2, 1, 0, {"duplicate runs": ["x", "y"]})
    assert describe(result).splitlines() == [
        "seed 3: 1 faults, 2 calls, 1 answered, 0 jobs, FAILED",
        "  duplicate runs: 2, such as x",
    ]


def test_plan_is_determined_by_its_seed_and_faults_overlap():
    plan = draw_plan(4, 30.0)
    assert plan == draw_plan(4, 30.0)
    assert plan != draw_plan(5, 30.0)
    overlaps = [a for a, b in zip(plan, plan[1:], strict=False) if b.at < a.until]
    assert len(overlaps) > 5
    assert all(fault.until <= 30.0 for fault in plan)
    for fault in plan:
        if fault.kind == "log":
            assert fault.until - fault.at <= MAX_LOG_FAULT_SECONDS


def test_plan_with_worker_faults_kills_workers_behind_every_kind_of_link():
    plan = draw_plan(4, 300.0, WORKER_FAULT_KINDS)
    assert plan == draw_plan(4, 300.0, WORKER_FAULT_KINDS)
    links = [fault for fault in plan if fault.kind == "link"]
    states = set()
    for kill in plan:
        if kill.kind != "worker":
            continue
        for link in links:
            if (
                link.index == kill.index
                and link.at <= kill.at < kill.until < link.until
            ):
                states.add(link.how)
    disturbed = {DELAYED, SILENT, CUT_TO_SERVER, CUT_TO_CLIENT}
    assert states == disturbed | set(LATE_CALLS)
    assert any(fault.kind == "deadly" for fault in plan)


@pytest.fixture
def link():
    """Return a link to an echo server."""
    address = free_address()
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)))

    def echo(connection):
        while data := connection.recv(100):
            connection.sendall(data)

    def serve():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=echo, args=(connection,), daemon=True).start()

    threading.Thread(target=serve, daemon=True).start()
    link = Link(address)
    yield link
    link.close()
    listener.close()


def connect(link):
    host, _, port = link.address.rpartition(":")
    return socket.create_connection((host, int(port)), 2.0)


def receive(connection, seconds):
    connection.settimeout(seconds)
    try:
        return connection.recv(100)
    except TimeoutError:
        return None


@pytest.mark.parametrize("state", [SILENT, CUT_TO_SERVER, CUT_TO_CLIENT])
def test_held_bytes_arrive_once_the_link_is_clear(link, state):
    connection = connect(link)
    connection.sendall(b"one")
    assert receive(connection, 2.0) == b"one"
    link.state = state
    connection.sendall(b"two")
    assert receive(connection, HOLD_SECONDS) is None
    assert link.disturbed_seconds >= HOLD_SECONDS
    link.state = CLEAR
    assert receive(connection, 2.0) == b"two"


def test_delayed_link_delays_both_directions(link):
    connection = connect(link)
    link.delay_seconds = 0.2
    link.state = DELAYED
    began = time.monotonic()
    connection.sendall(b"one")
    assert receive(connection, 2.0) == b"one"
    assert time.monotonic() - began >= 0.4


def test_late_bytes_arrive_after_newer_ones_although_the_link_is_clear(link):
    earlier, later = connect(link), connect(link)
    for connection in (earlier, later):
        connection.sendall(b"one")
        assert receive(connection, 2.0) == b"one"
    link.delay_seconds = 0.5
    link.state = LATE
    earlier.sendall(b"two")
    opened_late = connect(link)
    opened_late.sendall(b"three")
    time.sleep(0.1)
    link.state = CLEAR
    later.sendall(b"four")
    assert receive(later, 0.2) == b"four"
    assert receive(earlier, 0.1) is None
    assert receive(earlier, 2.0) == b"two"
    assert receive(opened_late, 2.0) == b"three"


def test_only_calls_with_the_prefix_are_late(link):
    held, opened = connect(link), connect(link)
    link.delay_seconds = 0.5
    link.late_prefix = b"two"
    link.state = LATE
    for connection in (held, opened, connect(link)):
        connection.sendall(b"one")
        assert receive(connection, 0.3) == b"one"
    held.sendall(b"two")
    assert receive(held, 0.3) is None
    assert receive(held, 2.0) == b"two"


def test_reset_closes_open_connections_but_accepts_new_ones(link):
    connection = connect(link)
    connection.sendall(b"one")
    assert receive(connection, 2.0) == b"one"
    assert link.reset() == 2
    with pytest.raises(ConnectionError):
        if receive(connection, 2.0) == b"":
            raise ConnectionError("closed")
    second = connect(link)
    second.sendall(b"two")
    assert receive(second, 2.0) == b"two"


@pytest.mark.processes
@pytest.mark.parametrize(
    "kinds", [FAULT_KINDS, ("worker",)], ids=["others", "killed-workers"]
)
def test_short_seeded_run_violates_no_guarantee(kinds):
    result = Trial(CI_SEED, CI_SECONDS, workers=3, kinds=kinds).run()
    assert not result.violations, describe(result)
    assert result.answered > 0


@pytest.mark.processes
def test_seeded_run_with_late_calls_violates_no_guarantee():
    result = Trial(LATE_CALLS_SEED, LATE_CALLS_SECONDS, 3, ("late",)).run()
    assert not result.violations, describe(result)
    assert result.answered > 0


@pytest.mark.processes
def test_task_that_crashes_its_workers_is_not_started_for_ever():
    result = Trial(CI_SEED, 3.0, workers=3, kinds=("deadly",)).run()
    assert not result.violations, describe(result)
    assert result.answered > 0


@pytest.mark.processes
def test_killed_worker_starts_again_and_keeps_its_events():
    with Cluster(("brocach",), workers=3) as cluster:
        keeper = WorkerKeeper(cluster)
        keeper.start()
        address = cluster.workers[0].address
        task = {
            "task_id": "j.1.0",
            "token": 1,
            "accelerators": [0],
            "payload": "",
            "run_seconds": 9.0,
            "done_seconds": 0.0,
            "lease_seconds": 9.0,
        }
        start_task(address, task)
        keeper.kill(0, 0.2)
        keeper.wait_up()
        assert cluster.workers[0].address == address
        assert not cluster.history(cluster.workers[0])
        start_task(address, task | {"task_id": "j.2.0", "payload": "crash"})
        cluster.wait_until(lambda: len(cluster.events(0)) == 4, 5.0)
        keeper.wait_up()
        keeper.stop()
        history = read_events(0, cluster.events(0))
    assert [run.attempt for run in history.runs] == [1, 2]
    assert not histories.concurrent_runs(history.runs)
    assert [crash.job_id for crash in history.crashes] == ["j"]


class FakeLife:
    """Process of a worker that ends after ``seconds``."""

    def __init__(self, seconds):
        self._ends_at = time.monotonic() + seconds

    def poll(self):
        return CRASH_STATUS if time.monotonic() >= self._ends_at else None

    def kill(self):
        self._ends_at = 0.0

    def wait(self):
        return CRASH_STATUS


class FakeCluster(Cluster):
    """One worker that accepts connections only in a life that does not end."""

    def __init__(self, *lives):
        super().__init__((), workers=1)
        self._lives = iter(lives)
        self.listener = socket.socket()
        self.workers = [self.start_worker(0, free_address())]

    def start_worker(self, index, address=""):
        seconds = next(self._lives)
        if seconds == float("inf"):
            host, _, port = address.rpartition(":")
            self.listener.bind((host, int(port)))
            self.listener.listen()
        return Process("worker-0", FakeLife(seconds), address)

    def close(self):
        self.listener.close()
        super().close()


@pytest.fixture
def fake_cluster():
    clusters = []

    def create(*lives):
        clusters.append(FakeCluster(*lives))
        return clusters[-1]

    yield create
    for cluster in clusters:
        cluster.close()


def test_worker_that_ends_while_it_is_waited_for_is_up_once_it_has_restarted(
    fake_cluster,
):
    """It accepts no connection any more when the wait begins, but has not ended."""
    cluster = fake_cluster(0.2, float("inf"))
    keeper = WorkerKeeper(cluster)
    keeper.start()
    keeper.wait_up()
    keeper.stop()
    cluster.wait_listening(cluster.workers[0])


def test_worker_that_ends_again_and_again_is_not_up(fake_cluster):
    keeper = WorkerKeeper(fake_cluster(0.2, 0.2, float("inf")))
    keeper.start()
    with pytest.raises(RuntimeError, match="worker-0 has ended"):
        keeper.wait_up()
    keeper.stop()


def test_worker_that_nobody_restarts_is_not_up(fake_cluster):
    keeper = WorkerKeeper(fake_cluster(0.2))
    began = time.monotonic()
    with pytest.raises(TimeoutError):
        keeper.wait_up()
    assert time.monotonic() - began < 2 * CRASH_RESTART_SECONDS + 1.0


def start_task(address, task):
    response = urllib3.request("POST", f"http://{address}/tasks", json=task)
    assert response.status == 200
