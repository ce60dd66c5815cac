"""Runs of machines that the platform lists as down, and lists that prove nothing."""

import eventlet
import pytest
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.losses import MACHINE_DOWN
from sequoiachute.coordination.dispatch.machine_list import READ_INTERVAL_SECONDS
from sequoiachute.coordination.dispatch.sessions import (
    MAX_REPORT_AGE_SECONDS,
)
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.workload import (
    JobProgress,
    Lifetime,
    TaskId,
    TaskState,
    encode,
)
from sequoiachute.state.ledger import Ledger
from sequoiachute.transport.worker import MAX_CALL_DELAY_SECONDS
from standins.control_site import ControlSite
from tests.control_checks import TAKEOVER_SECONDS, accepted, complete
from tests.loss_checks import (
    LEASE_LIFETIME_SECONDS,
    RESTART_SECONDS,
    seconds_until_next_start,
)
from tests.run_checks import assert_no_duplicate_runs
from tests.test_upkeep import WaveSite

pytestmark = pytest.mark.usefixtures("paused_clock")

DOWN_SECONDS = MAX_REPORT_AGE_SECONDS + 2 * READ_INTERVAL_SECONDS + RESTART_SECONDS
SETTLED_SECONDS = MAX_CALL_DELAY_SECONDS + 1.0  # no start is still under way


@pytest.fixture
def lines():
    """Return the messages and fields that are logged."""
    records = []
    sink = logger.add(
        lambda line: records.append((line.record["message"], line.record["extra"]))
    )
    yield records
    logger.remove(sink)


def logged(lines, message):
    return [extra for text, extra in lines if text == message]


def start_indices(site):
    """Return the indices of the workers of all starts, in order."""
    names = {worker.name: index for index, worker in enumerate(site.workers)}
    ids = [start.worker_id.rpartition("-")[0] for start in site.history.starts]
    return [names[name] for name in ids]


def site_with_a_run(seconds=SETTLED_SECONDS, workers=4):
    """Return a site and the index of the worker that has had a run for ``seconds``."""
    site = ControlSite(workers=workers, lists_machines=True)
    accepted(site, 500.0)
    site.run_for(seconds)
    return site, start_indices(site)[0]


def site_with_a_late_start(late_seconds, seconds):
    """Return a site, the index of its run's worker and when the late start was sent.

    A second start is answered, so that the run begins at once.
    """
    site = ControlSite(lists_machines=True)
    for worker in site.workers:
        worker.late_seconds = late_seconds
    accepted(site, 500.0)
    sent_at = clock.now()
    site.run_for(0.1)
    for worker in site.workers:
        worker.late_seconds = 0.0
    site.run_for(seconds)
    return site, start_indices(site)[0], sent_at


def cut_off(site, index):
    """Cut the agent and the worker of a machine off; both run on."""
    site.workers[index].silent = True
    site.agents[index].process.frozen = True


def reconnect(site, index):
    site.workers[index].silent = False
    site.agents[index].process.frozen = False


def wait_for_readings(site, count):
    """Wait until the list has been read ``count`` times; 5 s at most."""
    until = clock.now() + 5.0
    while clock.now() < until and len(site.machines.read_at) < count:
        site.run_for(0.05)
    site.run_for(0.1)
    assert len(site.machines.read_at) == count


def kill_placer(site):
    """Kill the placer's entry and start it again, which is then a peer."""
    placer = site.placer()
    site.kill_entry(placer)
    site.run_for(0.25)
    site.restart_entry(placer)


@pytest.mark.parametrize("worked_seconds", [1.0, 7.3, 13.0])
@pytest.mark.parametrize("fate", ["without_power", "taken_away"])
def test_task_of_a_machine_that_is_down_starts_elsewhere_at_once(fate, worked_seconds):
    site, index = site_with_a_run(worked_seconds)
    site.lose_power(index)
    getattr(site.machines, fate).add(index)
    assert seconds_until_next_start(site) <= DOWN_SECONDS
    assert start_indices(site)[1] != index
    assert_no_duplicate_runs(site.history)


@pytest.mark.parametrize("pause", [0.0, 1.0, 2.5, 5.0])
def test_task_of_a_machine_that_is_down_starts_although_the_placer_is_lost(pause):
    site, index = site_with_a_run()
    site.lose_power(index)
    site.run_for(pause)
    kill_placer(site)
    seconds_until_next_start(site)
    site.run_for(1.0)
    limit = pause + TAKEOVER_SECONDS + DOWN_SECONDS
    assert len(site.history.starts) == 2
    assert site.history.starts[1].at - site.history.ends[0].at <= limit
    assert_no_duplicate_runs(site.history)


def test_run_that_a_new_placer_knows_since_lately_is_held_until_no_start_may_come():
    site = ControlSite(lists_machines=True)
    accepted(site, 500.0)
    placed_at = clock.now()
    site.run_for(1.0)
    site.lose_power(start_indices(site)[0])
    kill_placer(site)
    seconds_until_next_start(site)
    waited = clock.now() - placed_at
    assert waited >= MAX_CALL_DELAY_SECONDS
    assert waited <= MAX_CALL_DELAY_SECONDS + 1.25 + RESTART_SECONDS


@pytest.mark.parametrize("seconds", [1.0, 4.0, 7.3])
def test_run_with_a_late_start_is_held_until_the_start_can_not_come(seconds, lines):
    site, index, sent_at = site_with_a_late_start(11.9, seconds)
    site.lose_power(index)
    seconds_until_next_start(site)
    waited = clock.now() - sent_at
    assert waited >= MAX_CALL_DELAY_SECONDS
    assert waited <= MAX_CALL_DELAY_SECONDS + 1.25 + RESTART_SECONDS
    held = logged(lines, "loss withheld")
    assert [line["reason"] for line in held][-1].startswith(MACHINE_DOWN)
    assert 0.0 < held[-1]["left"] <= MAX_CALL_DELAY_SECONDS + 1.5
    assert_no_duplicate_runs(site.history)


@pytest.mark.parametrize("down_seconds", [5.0, 8.0, 10.0])
def test_machine_that_comes_back_and_carries_a_late_start_out_runs_alone(down_seconds):
    # The agent does not come back, so that nothing but its list shows the machine.
    site, index, sent_at = site_with_a_late_start(11.5, 1.0)
    site.lose_power(index)
    site.run_for(down_seconds - 1.1)
    site.machines.without_power.discard(index)
    site.workers[index].restore_power(same_id=True)
    site.run_for(40.0)
    late = [start for start in site.history.starts if start.late]
    assert [round(start.at - sent_at, 1) for start in late] == [11.5]
    assert len(site.history.starts) == 3
    assert_no_duplicate_runs(site.history)


def test_machine_that_is_cut_off_keeps_its_runs_until_their_leases_expire():
    site, index = site_with_a_run()
    cut_off(site, index)
    waited = seconds_until_next_start(site)
    assert waited >= LEASE_LIFETIME_SECONDS - 1.0
    assert waited <= LEASE_LIFETIME_SECONDS + RESTART_SECONDS
    [lapse] = site.history.ends
    assert lapse.outcome == "lapsed"
    reconnect(site, index)
    site.run_for(5.0)
    assert_no_duplicate_runs(site.history)


def make_incomplete(machines, index):
    machines.left_out.add((index + 1) % 4)


def make_unreadable(machines, index):
    machines.cannot_list = True


def make_empty(machines, index):
    machines.is_empty = True


def make_idless(machines, index):
    machines.has_no_ids = True


def make_slow(machines, index):
    machines.delay = 1e3


def make_nothing_listed(machines, index):
    machines.taken_away = set(range(4))


@pytest.mark.parametrize(
    "spoil",
    [
        make_incomplete,
        make_unreadable,
        make_empty,
        make_idless,
        make_slow,
        make_nothing_listed,
    ],
)
@pytest.mark.parametrize("is_down", [True, False])
def test_list_that_proves_nothing_changes_nothing(spoil, is_down):
    site, index = site_with_a_run()
    spoil(site.machines, index)
    (site.lose_power if is_down else lambda index: cut_off(site, index))(index)
    waited = seconds_until_next_start(site)
    assert waited >= LEASE_LIFETIME_SECONDS - 1.0
    assert waited <= LEASE_LIFETIME_SECONDS + RESTART_SECONDS
    assert site.machines.read_at
    assert_no_duplicate_runs(site.history)


def test_machine_that_is_up_without_a_worker_may_have_the_silent_one():
    # It counted as a machine that the worker is not on: two runs at a time.
    site, index = site_with_a_run()
    site.machines.without_id.add(index)
    cut_off(site, index)
    waited = seconds_until_next_start(site)
    assert waited >= LEASE_LIFETIME_SECONDS - 1.0
    assert waited <= LEASE_LIFETIME_SECONDS + RESTART_SECONDS
    assert_no_duplicate_runs(site.history)


def test_list_that_leaves_rows_out_still_shows_that_a_worker_is_there():
    # Between two whole lists that lack the worker, an incomplete one names it.
    site, index = site_with_a_run()
    cut_off(site, index)
    site.machines.taken_away.add(index)
    wait_for_readings(site, 1)
    site.machines.taken_away.clear()
    site.machines.left_out.add((index + 1) % 4)
    wait_for_readings(site, 2)
    site.machines.left_out.clear()
    site.machines.taken_away.add(index)
    wait_for_readings(site, 3)
    site.machines.taken_away.clear()
    assert seconds_until_next_start(site) > 3.0
    assert_no_duplicate_runs(site.history)


def test_slow_list_blocks_no_round():
    site, index = site_with_a_run()
    site.machines.delay = 5.0
    site.lose_power(index)
    site.run_for(4.0)
    accepted(site, 1.0)
    assert seconds_until_next_start(site) <= 0.5


@pytest.mark.parametrize("delay", [0.02, 0.7, 3.0])
def test_list_is_read_at_a_bounded_rate_and_only_while_it_is_needed(delay):
    site, index = site_with_a_run()
    site.machines.delay = delay
    site.run_for(5.0)
    assert site.machines.read_at == []
    cut_off(site, index)
    site.run_for(8.0)
    read_at = site.machines.read_at
    gaps = [after - at for at, after in zip(read_at, read_at[1:], strict=False)]
    assert len(gaps) >= 1
    assert min(gaps) >= max(delay, READ_INTERVAL_SECONDS) - 0.01
    reconnect(site, index)
    site.run_for(5.0)
    known = len(read_at)
    site.run_for(5.0)
    assert len(read_at) == known


def test_list_from_before_the_silence_of_a_host_is_no_evidence():
    # The list lacks both workers while one is heard of, and can't be read after that.
    site = ControlSite(lists_machines=True)
    accepted(site, 500.0, count=2, per_worker=1)
    site.run_for(SETTLED_SECONDS)
    down, cut = start_indices(site)
    site.machines.taken_away.add(cut)
    site.lose_power(down)
    site.run_for(DOWN_SECONDS)
    assert len(site.history.starts) == 3
    site.machines.cannot_list = True
    cut_off(site, cut)
    waited = seconds_until_next_start(site)
    assert waited >= LEASE_LIFETIME_SECONDS - 1.0
    assert_no_duplicate_runs(site.history)


def test_worker_that_one_list_lacks_keeps_its_runs():
    site, index = site_with_a_run()
    cut_off(site, index)
    site.machines.taken_away.add(index)
    wait_for_readings(site, 1)
    site.machines.taken_away.clear()
    assert seconds_until_next_start(site) > LEASE_LIFETIME_SECONDS - 3.0
    assert_no_duplicate_runs(site.history)


def test_leaving_machine_without_power_is_given_up_at_once():
    site, index = site_with_a_run()
    site.workers[index].leaving_seconds = 60.0
    site.run_for(1.0)
    starts = len(site.history.starts)
    assert starts == 1
    site.lose_power(index)
    assert seconds_until_next_start(site) <= DOWN_SECONDS
    assert_no_duplicate_runs(site.history)


@pytest.mark.parametrize("count", [1, 6])
@pytest.mark.parametrize("down_seconds", [0.5, 3.0, 20.0])
@pytest.mark.parametrize("kills_placer", [False, True])
def test_whole_site_without_power_and_back(kills_placer, down_seconds, count):
    site = ControlSite(workers=3, lists_machines=True)
    job = accepted(site, 20.0, count=count)
    site.run_for(SETTLED_SECONDS)
    for index in range(3):
        site.lose_power(index)
    if kills_placer:
        kill_placer(site)
    site.run_for(down_seconds)
    for index in range(3):
        site.restore_power(index)
        site.run_for(0.7)
    began = clock.now()
    complete(site, [job], 60)
    assert clock.now() - began <= 20.0 + TAKEOVER_SECONDS + DOWN_SECONDS


def test_machine_down_and_lost_run_are_logged_once(lines):
    site, index = site_with_a_run()
    worker_id = site.history.starts[0].worker_id
    site.lose_power(index)
    seconds_until_next_start(site)
    site.run_for(5.0)
    [line] = logged(lines, "worker of silent host on no machine")
    assert line["life"] == worker_id
    assert line["host"] == site.agents[index].address
    assert 1.0 < line["silent"] <= DOWN_SECONDS
    assert [line["reason"] for line in logged(lines, "run lost")] == [MACHINE_DOWN]


def test_list_that_can_not_be_read_is_logged_on_change(lines):
    site, index = site_with_a_run()
    site.machines.cannot_list = True
    cut_off(site, index)
    site.run_for(5.0)
    site.machines.cannot_list = False
    site.run_for(2.0)
    read = logged(lines, "reading of machines for silent hosts")
    assert [line["outcome"] for line in read] == ["failed", "whole"]


def test_crash_counts_after_its_run_was_given_up_by_the_list():
    # The agent runs on and reports the crash once the worker is back.
    site, index = site_with_a_run()
    worker = site.workers[index]
    worker.down_seconds = 8.0
    worker.crash()
    site.machines.without_power.add(index)
    assert seconds_until_next_start(site) <= DOWN_SECONDS + 0.5
    site.machines.without_power.clear()
    site.run_for(10.0)
    placer = site.entries[site.placer()].control
    [job] = site.jobs
    record = placer.ledger.progress(job).tasks["0.0.0"].crashes
    assert record is not None
    assert record.count == 1
    assert_no_duplicate_runs(site.history)


def test_present_run_keeps_the_time_at_which_it_was_first_placed():
    ledger = Ledger()
    task = TaskId("j", 0, 0, 0)
    placed = TaskState(1, "h", Lifetime("w", 1))
    times = []
    for state in (
        placed,
        placed._replace(lifetime=Lifetime("w", 2)),
        placed._replace(run=2),
        TaskState(2),
        placed._replace(run=3),
    ):
        progress = JobProgress("", {"0.0.0": state})
        ledger.apply("runs", StoredRecord(len(times), "j", encode(progress)))
        times.append(ledger.placed_at(task))
        clock.sleep(1.0)
    first, adopted, second, ended, third = times
    assert first == adopted
    assert second == pytest.approx(first + 2.0)
    assert ended == float("inf")
    assert third == pytest.approx(first + 4.0)


def test_upkeep_and_other_readers_share_one_list():
    site = WaveSite()
    read_at = []
    machines = site.machines.machines

    def read():
        read_at.append(clock.now())
        clock.sleep(0.3)
        return machines()

    def read_whenever_due():
        while True:
            clock.sleep(0.1)
            if site.machine_list.is_due:
                site.machine_list.read()

    site.machines.machines = read
    other = eventlet.spawn(read_whenever_due)
    site.run_for(30)
    other.kill()
    assert sorted(site.begun) == [f"m-{n}" for n in range(4)]
    assert site.machines.shown[-1] == (1, True)
    gaps = [after - at for at, after in zip(read_at, read_at[1:], strict=False)]
    assert min(gaps) >= READ_INTERVAL_SECONDS - 0.01
