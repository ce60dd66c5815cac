"""The placer's lease, and starts and ends of jobs, under faults."""

import pytest

from sequoiachute import clock
from sequoiachute.coordination.bounds import AGENT_LOST_SECONDS, TASK_LEASE_SECONDS
from sequoiachute.coordination.placement import (
    Eviction,
    FirstFitPolicy,
    MemberPlacement,
    Placement,
    PlacementDecision,
)
from sequoiachute.coordination.placer import MAX_STARTING_MEMBERS
from sequoiachute.protocol.messages import TaskReport
from sequoiachute.state.grants import RESERVED
from standins.site import Site, agent_address, create_catalogue, entry_address
from tests.site_checks import SiteChecker

pytestmark = pytest.mark.usefixtures("paused_clock")

ACCOUNT = {"owner": "Brocach", "job_class": "batch"}
MAX_URGENT_START_SECONDS = 5.5
STEP_SECONDS = 0.05
FAULT_DELAYS = [round(0.05 * i, 2) for i in range(1, 17)]


class CheckedSite:
    """A site whose invariants are checked every ``STEP_SECONDS``."""

    def __init__(self, workers=6, slow=False, policy=None):
        self.site = Site(workers=workers, policy=policy)
        self.site.publish(create_catalogue(brocach=ACCOUNT))
        self.checker = SiteChecker(
            self.site, max_partial_gang_seconds=8.0, switch_effect_seconds=5.0
        )
        self.run_for(8)
        if slow:
            # Every round trip and every append takes STEP_SECONDS.
            self.site.network.delay = STEP_SECONDS / 2
            self.site.log.delay = STEP_SECONDS

    def run_for(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.site.run_for(STEP_SECONDS)
            self.checker.check()

    def submit(self, job_id, **spec):
        self.checker.gang_sizes[job_id] = spec.get("tasks", 1)
        self.site.submit(job_id, **spec)

    def job(self, job_id):
        return self.site.entries[0].jobs.get(job_id)

    def has_ended(self, job_id):
        job = self.job(job_id)
        return job is not None and job.has_ended

    def placer_index(self):
        for index, entry in enumerate(self.site.entries):
            if entry.placer.holds_lease:
                return index
        raise AssertionError("no entry holds the lease")

    def starts(self):
        starts = []
        for backend in self.site.backends:
            starts += backend.starts
        return starts

    def count_running(self):
        return sum(len(backend.running()) for backend in self.site.backends)

    def wait_for(self, condition, seconds):
        began = clock.now()
        while not condition():
            assert clock.now() - began < seconds, "waited too long"
            self.run_for(STEP_SECONDS)
        return clock.now() - began

    def wait_ended(self, job_id, seconds=60):
        self.wait_for(lambda: self.has_ended(job_id), seconds)
        return self.job(job_id)


def test_every_member_of_a_gang_of_64_starts():
    checked = CheckedSite(workers=24)
    checked.submit("job-1", tasks=64, within="data_centre", run_seconds=30.0)
    checked.wait_for(lambda: checked.count_running() == 64, 5)
    assert checked.wait_ended("job-1").attempt == 1


@pytest.mark.parametrize("fault_delay", FAULT_DELAYS)
@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_gang_finishes_whenever_its_placer_is_lost(fault_delay, fault):
    checked = CheckedSite(slow=True)
    checked.submit("job-1", tasks=2, accelerators=8, run_seconds=5.0)
    placer = checked.placer_index()
    checked.run_for(fault_delay)
    if fault == "kill":
        checked.site.kill(entry_address(placer))
        checked.site.entries[placer] = checked.site.start_entry(placer)
    else:
        checked.site.freeze(entry_address(placer))
        checked.run_for(9)
        checked.site.thaw(entry_address(placer))
    assert checked.wait_ended("job-1", 40).state == "finished"


@pytest.mark.parametrize("fault_delay", FAULT_DELAYS)
def test_cancellation_at_any_step_leaves_nothing_running(fault_delay):
    checked = CheckedSite(slow=True)
    checked.submit("job-1", tasks=2, accelerators=8, run_seconds=60.0)
    checked.run_for(fault_delay)
    checked.site.cancel("job-1")
    assert checked.wait_ended("job-1", 20).state == "cancelled"
    assert checked.count_running() == 0
    starts = len(checked.starts())
    checked.run_for(5)
    assert len(checked.starts()) == starts


@pytest.mark.parametrize("fault_delay", FAULT_DELAYS[::3])
def test_gang_runs_once_when_replies_of_its_first_member_are_lost(fault_delay):
    checked = CheckedSite(slow=True)
    checked.submit("job-1", tasks=2, accelerators=8, run_seconds=15.0)
    checked.run_for(fault_delay)
    lost = {(entry_address(i), agent_address(j)) for i in (0, 1) for j in range(6)}
    checked.site.network.lose_replies |= lost
    checked.run_for(9)
    checked.site.network.lose_replies.clear()
    assert checked.wait_ended("job-1").state == "finished"


def test_urgent_job_starts_in_time_after_the_placer_died():
    checked = CheckedSite()
    checked.site.kill(entry_address(checked.placer_index()))
    checked.submit("job-1", tasks=2, accelerators=8, run_seconds=5.0)
    waited_seconds = checked.wait_for(lambda: checked.count_running() == 2, 10)
    assert waited_seconds <= MAX_URGENT_START_SECONDS


def test_new_placer_adopts_the_running_gang():
    checked = CheckedSite()
    checked.submit("job-1", tasks=2, accelerators=8, run_seconds=20.0)
    checked.wait_for(lambda: checked.count_running() == 2, 3)
    placer = checked.placer_index()
    checked.site.kill(entry_address(placer))
    checked.run_for(6)
    assert checked.placer_index() != placer
    checked.site.entries[placer] = checked.site.start_entry(placer)
    assert checked.wait_ended("job-1").attempt == 1


def test_attempt_is_not_repeated_while_its_agent_may_run_it():
    checked = CheckedSite()
    checked.submit("job-1", accelerators=8, run_seconds=60.0)
    checked.wait_for(lambda: checked.count_running() == 1, 3)
    worker = int(checked.job("job-1").workers[0].partition("-")[2])
    for other in (0, 1):
        checked.site.cut(agent_address(worker), entry_address(other))
    checked.run_for(10)
    assert checked.count_running() == 1
    assert checked.job("job-1").attempt == 1
    checked.wait_for(lambda: checked.job("job-1").attempt == 2, AGENT_LOST_SECONDS + 5)
    assert checked.wait_ended("job-1", 120).state == "finished"


def test_attempt_continues_while_its_agent_reaches_only_the_other_entry():
    checked = CheckedSite()
    checked.submit("job-1", accelerators=8, run_seconds=60.0)
    checked.wait_for(lambda: checked.count_running() == 1, 3)
    worker = int(checked.job("job-1").workers[0].partition("-")[2])
    checked.site.cut(agent_address(worker), entry_address(checked.placer_index()))
    checked.run_for(50)
    assert (checked.count_running(), checked.job("job-1").attempt) == (1, 1)
    checked.site.network.cut.clear()
    assert checked.wait_ended("job-1").attempt == 1


def test_attempt_of_a_replaced_agent_is_repeated_once_its_lease_has_ended():
    checked = CheckedSite()
    checked.submit("job-1", accelerators=8, run_seconds=20.0)
    checked.wait_for(lambda: checked.count_running() == 1, 3)
    worker = int(checked.job("job-1").workers[0].partition("-")[2])
    checked.site.kill(agent_address(worker))
    checked.site.agents[worker] = checked.site.start_agent(worker)
    waited_seconds = checked.wait_for(lambda: checked.job("job-1").attempt == 2, 20)
    assert waited_seconds >= TASK_LEASE_SECONDS
    assert checked.wait_ended("job-1").state == "finished"


def test_drained_job_moves_and_keeps_its_progress():
    checked = CheckedSite()
    checked.submit("job-1", tasks=2, accelerators=4, run_seconds=20.0)
    checked.wait_for(lambda: checked.count_running() == 2, 3)
    checked.run_for(10)
    worker = int(checked.job("job-1").workers[0].partition("-")[2])
    data_centre = checked.site.data_centre_of(worker)
    checked.site.switch(data_centre, in_service=False)
    checked.checker.note_switch(data_centre, False)
    checked.wait_for(lambda: checked.job("job-1").attempt == 2, 3)
    assert 9 < checked.job("job-1").done_seconds < 14
    assert checked.wait_ended("job-1", 13).state == "finished"


@pytest.mark.parametrize("fault", ["down", "reads_fail"])
def test_nothing_starts_while_the_log_is_unavailable(fault):
    checked = CheckedSite()
    checked.submit("job-0", run_seconds=60.0)
    checked.wait_for(lambda: checked.count_running() == 1, 3)
    checked.submit("job-1", run_seconds=1.0)
    setattr(checked.site.log, fault, True)
    checked.run_for(4)
    starts = len(checked.starts())
    checked.run_for(40)
    assert len(checked.starts()) == starts
    assert checked.count_running() == 1
    setattr(checked.site.log, fault, False)
    assert checked.wait_ended("job-1", 6).state == "finished"


def test_entry_cut_off_from_the_log_starts_nothing_out_of_service():
    checked = CheckedSite()
    checked.site.log_links[checked.placer_index()].cut = True
    for data_centre in ("dc-1", "dc-2", "dc-3"):
        checked.site.switch(data_centre, in_service=False)
        checked.checker.note_switch(data_centre, False)
    for index in range(10):
        checked.submit(f"job-{index}", run_seconds=1.0)
        checked.run_for(1)
    late = [at for _, _, at in checked.starts() if at > clock.now() - 5]
    assert not late


class EvictForSecondJobPolicy(FirstFitPolicy):
    """Evicts the running job to place ``job-2``."""

    def decide(self, view):
        for job in view.queued:
            if job.job_id == "job-2" and view.running:
                return self._evict(view.running[0], job)
        return super().decide(view)

    def _evict(self, running, job):
        eviction = Eviction(running.job_id, running.attempt, "reclaimed")
        member = MemberPlacement(running.workers[0], tuple(range(8)))
        return PlacementDecision((Placement(job.job_id, (member,), True, (eviction,)),))


def test_eviction_frees_accelerators_in_time_and_the_job_resumes_later():
    checked = CheckedSite(policy=EvictForSecondJobPolicy())
    checked.submit("job-1", accelerators=8, run_seconds=20.0)
    checked.wait_for(lambda: checked.count_running() == 1, 3)
    checked.run_for(5)
    checked.submit("job-2", accelerators=8, run_seconds=5.0)
    assert checked.wait_for(lambda: len(checked.starts()) > 1, 5) < 1
    assert checked.starts()[1][0].startswith("job-2")
    assert checked.job("job-1").done_seconds > 4
    assert checked.wait_ended("job-1").state == "finished"


def test_concurrent_starts_in_a_restored_data_centre_are_limited():
    checked = CheckedSite(workers=15)
    checked.site.switch("dc-1", in_service=False)
    checked.run_for(2)
    for index in range(125):
        checked.submit(f"job-{index}", run_seconds=60.0)
    checked.run_for(5)
    checked.site.network.delay = STEP_SECONDS
    checked.site.switch("dc-1", in_service=True)
    most_reserved = 0
    for _ in range(100):
        checked.run_for(STEP_SECONDS)
        most_reserved = max(most_reserved, count_reserved_in(checked.site, "dc-1"))
    assert 0 < most_reserved <= MAX_STARTING_MEMBERS
    assert count_running_in(checked.site, "dc-1") == 40


def count_reserved_in(site, data_centre):
    count = 0
    for index, agent in enumerate(site.agents):
        if site.data_centre_of(index) != data_centre:
            continue
        count += sum(grant.state == RESERVED for grant in agent.grants.grants())
    return count


def count_running_in(site, data_centre):
    count = 0
    for index, backend in enumerate(site.backends):
        if site.data_centre_of(index) == data_centre:
            count += len(backend.running())
    return count


def test_report_of_a_job_dropped_long_ago_is_acknowledged():
    checked = CheckedSite()
    report = TaskReport("dropped", 1, 0, "finished")
    assert checked.site.entries[0].placer.is_settled(report)
    checked.site.log.down = True
    checked.run_for(5)
    assert not checked.site.entries[0].placer.is_settled(report)
