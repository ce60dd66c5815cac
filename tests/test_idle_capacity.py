"""Work does not wait beside idle workers."""

import pytest

from sequoiachute.coordination.scheduling import SchedulingView, decide
from sequoiachute.coordination.scheduling.capacity import GPU_CORES
from sequoiachute.protocol.workload import Resources
from standins.control_site import ControlSite
from tests.control_checks import accepted
from tests.test_scheduling_policy import CAPACITY, NOW, host, running, unit

pytestmark = pytest.mark.usefixtures("paused_clock")

MAX_IDLE_START_SECONDS = 3.0  # where work fits twice over in a half idle service


def test_same_rack_gang_starts_though_no_rack_holds_it():
    site = ControlSite(workers=5, gpus=8)
    for number, worker in enumerate(site.workers):
        worker.rack = f"rack-{number}"
    site.run_for(1)
    gang = accepted(site, 2.0, count=12, gang=True, same_rack=True)
    site.run_for(MAX_IDLE_START_SECONDS)
    started = {start.task for start in site.history.starts}
    assert len(started) == 12, f"{len(started)} tasks of {gang} started"


def racks(*sizes, **fields):
    """Return hosts in racks of the given sizes."""
    hosts = []
    for rack, size in enumerate(sizes):
        for index in range(size):
            hosts.append(host(f"{rack}-{index}", rack=f"r-{rack}", **fields))
    return tuple(hosts)


def same_rack_gang(count, **fields):
    step = {"gang": True, "same_rack": True, "estimate_seconds": 20.0}
    return unit(count, gpus=4, step=step, chain_seconds=20.0, **fields)


def test_same_rack_gang_waits_for_a_rack_that_is_free_before_a_split_run_would_end():
    first, second, other, third = racks(2, 1, 1)
    busy = first._replace(running=(running(gpus=8, remaining_seconds=8.0),))
    used = running("used", gpus=8, remaining_seconds=60.0)
    hosts = (busy, second, other, third._replace(running=(used,)))
    gang = same_rack_gang(3, waiting_seconds=5.0)
    assert not decide(SchedulingView(NOW, hosts, (gang,))).placements
    busy = first._replace(running=(running(gpus=8, remaining_seconds=45.0),))
    decision = decide(SchedulingView(NOW, (busy, *hosts[1:]), (gang,)))
    assert len(decision.placements) == 3


def test_split_gang_moves_to_a_rack_in_which_it_is_in_time():
    step = same_rack_gang(2).step
    gang = {"job": "g", "gpus": 4, "gang": True, "step": step, "measured": True}
    gang |= {"remaining_seconds": 50.0, "percent": 10, "priority": 1}
    away, apart, *free = racks(1, 1, 2)
    hosts = (
        away._replace(running=(running(index=0, **gang),)),
        apart._replace(running=(running(index=1, **gang),)),
        *free,
    )
    deadline = {"deadline": NOW + 40, "accepted_at": NOW - 20}
    late = []
    for split in hosts:
        runs = tuple(run._replace(**deadline) for run in split.running)
        late.append(split._replace(running=runs))
    stops = decide(SchedulingView(NOW, tuple(late), ())).stops
    assert {stop.host for stop in stops} == {"0-0", "1-0"}
    assert all(stop.is_migration for stop in stops)
    assert not decide(SchedulingView(NOW, hosts, ())).stops


def test_lesser_work_does_not_wait_for_what_is_held_beside_idle_capacity():
    busy, *idle = racks(5)
    worked = running("worked", gpus=8, unsaved_seconds=1000.0, remaining_seconds=900.0)
    hosts = (busy._replace(running=(worked,)), *idle)
    held = unit(5, gpus=8, job="held", priority=0, step={"gang": True})
    small = unit(job="small", priority=2)
    assert not decide(SchedulingView(NOW, hosts, (held, small))).placements
    small = small._replace(waiting_seconds=2.0)
    placements = decide(SchedulingView(NOW, hosts, (held, small))).placements
    assert {placement.task.job_id for placement in placements} == {"small"}


def test_wide_urgent_step_starts_whole_beside_idle_capacity():
    wide = unit(8, priority=0, waves=4)
    hosts = racks(4)
    assert len(decide(SchedulingView(NOW, hosts, (wide,))).placements) == 4
    wide = wide._replace(waiting_seconds=2.0)
    assert len(decide(SchedulingView(NOW, hosts, (wide,))).placements) == 8


def test_workers_that_wait_for_upkeep_get_what_would_wait_too_long():
    hosts = racks(4, is_reserved=True)
    assert not decide(SchedulingView(NOW, hosts, (unit(),))).placements
    overdue = unit(waiting_seconds=2.0)
    assert len(decide(SchedulingView(NOW, hosts, (overdue,))).placements) == 1


def test_guaranteed_same_rack_gang_reclaims_though_no_rack_holds_it():
    hosts = []
    for empty in racks(1, 1, 1):
        runs = [running(empty.name, index, gpus=4) for index in range(2)]
        hosts.append(empty._replace(running=tuple(runs)))
    gang = same_rack_gang(3, priority=0, guaranteed=True)
    decision = decide(SchedulingView(NOW, tuple(hosts), (gang,)))
    assert len(decision.stops) == 3


def test_urgent_gang_is_split_at_once_if_no_rack_could_hold_it():
    gang = same_rack_gang(3, priority=0)
    decision = decide(SchedulingView(NOW, racks(1, 1, 1), (gang,)))
    assert len(decision.placements) == 3


def test_overdue_urgent_work_takes_an_idle_host_instead_of_stopping_a_run():
    worked = running(gpus=8, unsaved_seconds=0.5, remaining_seconds=50.0)
    busy = host("busy", running=(worked,))
    idle = [host(f"{n}", recent_failures=2, doubt_age=0.5) for n in range(4)]
    urgent = unit(priority=0, waiting_seconds=2.5)
    decision = decide(SchedulingView(NOW, (busy, *idle), (urgent,)))
    assert len(decision.placements) == 1
    assert not decision.stops


def test_lesser_work_leaves_what_guaranteed_work_waits_for():
    busy, *idle = racks(6)
    hosts = (busy._replace(running=(running(gpus=8, stopping=True),)), *idle)
    gang = unit(6, gpus=8, priority=0, guaranteed=True, step={"gang": True})
    lesser = unit(40, job="lesser", priority=2, waiting_seconds=2.0)
    assert not decide(SchedulingView(NOW, hosts, (gang, lesser))).placements


def test_overdue_work_takes_any_host_only_until_its_service_is_half_used():
    doubtful = racks(6, recent_failures=2, doubt_age=0.5)
    sound = host("sound", running=(running(need=CAPACITY),))
    overdue = unit(40, waiting_seconds=2.0)
    view = SchedulingView(NOW, (sound, *doubtful), (overdue,))
    cores = 32 + 8 * GPU_CORES
    used_cores = cores + len(decide(view).placements) * (1 + GPU_CORES)
    assert 0 <= used_cores - 7 * cores / 2 < 1 + GPU_CORES


def test_lasting_work_takes_any_host_however_full_its_service_is():
    full = running(need=CAPACITY, priority=1, remaining_seconds=500.0)
    sound = [host(f"s{n}", running=(full,)) for n in range(4)]
    idle = [host(f"d{n}", recent_failures=2, doubt_age=1.0) for n in range(2)]
    hosts = (*sound, *idle)
    lasting = unit(step={"lasting": True}, waiting_seconds=2.0)
    assert len(decide(SchedulingView(NOW, hosts, (lasting,))).placements) == 1
    other = unit(waiting_seconds=2.0)
    assert not decide(SchedulingView(NOW, hosts, (other,))).placements


def test_lasting_work_on_the_only_worker_counts_as_fitting_twice_over():
    lasting = unit(step={"lasting": True, "gang": True}, waiting_seconds=2.0)
    hosts = racks(1, recent_failures=2, doubt_age=0.5)
    view = SchedulingView(NOW, hosts, (lasting,))
    assert len(decide(view).placements) == 1


def test_overdue_work_prefers_workers_that_do_not_wait_for_upkeep():
    reserved = host("a", is_reserved=True)
    for priority in (0, 1, 2):
        overdue = unit(priority=priority, waiting_seconds=2.0)
        view = SchedulingView(NOW, (reserved, host("b")), (overdue,))
        assert {placement.host for placement in decide(view).placements} == {"b"}


@pytest.mark.parametrize("priority", [0, 1, 2])
def test_work_does_not_wait_on_while_every_worker_fails_anew(priority):
    """One job's failures keep all workers in doubt, in a service that is well used."""
    used = running(need=Resources(20_000, 1000, 6), priority=0, guaranteed=True)
    hosts = []
    for number in range(8):
        fields = {"recent_failures": 2, "doubt_age": 0.5, "running": (used,)}
        hosts.append(host(f"{number}", **fields))
    other = unit(priority=priority)
    assert not decide(SchedulingView(NOW, tuple(hosts), (other,))).placements
    other = other._replace(waiting_seconds=2.0)
    assert len(decide(SchedulingView(NOW, tuple(hosts), (other,))).placements) == 1


@pytest.mark.parametrize("groups", [1, 2, 4])
def test_wave_of_a_step_is_not_stopped_for_once_per_group_of_its_tasks(groups):
    run = running(gpus=8, priority=2, unsaved_seconds=0.1)
    hosts = [host(f"{number}", running=(run,)) for number in range(30)]
    wide = unit(24, gpus=8, priority=0, waves=8)
    units = []
    for number in range(groups):
        units.append(wide._replace(tasks=wide.tasks[number::groups]))
    decision = decide(SchedulingView(NOW, tuple(hosts), tuple(units)))
    assert len(decision.stops) == 6
