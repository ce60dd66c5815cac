"""Estimates of workers' speeds from the progress of runs."""

from math import log

import pytest

from sequoiachute.coordination.dispatch.run_statistics import RunStatistics
from sequoiachute.coordination.dispatch.speeds import SpeedEstimator, SpeedSample
from sequoiachute.protocol.supervision import RunReport
from sequoiachute.protocol.workload import Machine, MachineSpeed

FAST, SLOW, NEW = Machine("quick"), Machine("slow"), Machine("new")


def estimate(*samples, earlier=None):
    found = SpeedEstimator()
    rows = [
        SpeedSample(machine, step, log(ratio), 1.0) for machine, step, ratio in samples
    ]
    # Each fit updates the error variance that the next one uses.
    for _ in range(3):
        found.fit(rows, earlier or {})
    return found


def test_step_declared_too_short_does_not_lower_speeds():
    steps = [(machine, "long", 0.3) for machine in (FAST, SLOW) for _ in range(3)]
    found = estimate(*steps, (FAST, "other", 1.0), (SLOW, "other", 1.0))
    assert found.speed(FAST) == pytest.approx(found.speed(SLOW))
    assert found.speed(FAST) > 0.75


def test_speeds_differ_between_workers_on_a_step_declared_wrongly():
    found = estimate((FAST, "long", 0.48), (SLOW, "long", 0.18))
    assert found.speed(FAST) > 1.4 * found.speed(SLOW)
    assert found.speed(SLOW) < 1.0 < found.speed(FAST)


def test_worker_that_is_slow_on_every_step_has_a_low_speed():
    samples = [(SLOW, f"step-{number}", 0.6) for number in range(6)]
    samples += [(FAST, f"step-{number}", 1.0) for number in range(6)]
    found = estimate(*samples)
    assert found.speed(SLOW) < 0.75 * found.speed(FAST)


def test_worker_without_samples_keeps_its_inherited_speed():
    found = estimate(earlier={SLOW: MachineSpeed(0.6, 0.24)})
    assert found.speed(SLOW) == pytest.approx(0.6)
    assert found.speed(NEW) == 1.0


def test_step_on_one_worker_tells_little_of_its_speed():
    found = estimate(*[(SLOW, "long", 0.3)] * 8)
    assert found.speed(SLOW) > 0.65
    assert found.speed_error(SLOW) > 0.3


def test_step_on_several_workers_tells_their_speeds():
    ratios = [(FAST, 0.48), (NEW, 0.48), (SLOW, 0.18)]
    found = estimate(*[(machine, "long", ratio) for machine, ratio in ratios * 2])
    assert found.speed_error(SLOW) < 0.3
    assert found.speed(SLOW) < 0.75 < 1.0 < found.speed(FAST)


def speed_after(run_statistics, percents, machine, task, estimate_seconds=10.0):
    """Return the speed after readings of a run beside another of its step, on NEW."""
    others = range(5, 100, 5)
    for number, readings in enumerate(zip(percents, others, strict=False)):
        now = number * 0.5
        runs = ((machine, task), (NEW, "job.0.0.9"))
        for (where, key), percent in zip(runs, readings, strict=True):
            run = RunReport(key, 1, "", percent)
            run_statistics.record_progress(run, where, estimate_seconds, 1.0, now)
    return run_statistics.speed(machine, len(percents) * 0.5)


def test_waiting_for_the_gang_does_not_lower_a_members_speed():
    begun = [10, 20, 30, 40, 50, 60]
    working = speed_after(RunStatistics({}), begun, FAST, "job.0.0.0")
    waits_after = [*begun, 100, 100, 100, 100, 100, 100]
    assert (
        speed_after(RunStatistics({}), waits_after, FAST, "job.0.0.0") > 0.95 * working
    )
    waits_before = [0, 0, 0, 0, 0, 0]
    assert speed_after(RunStatistics({}), waits_before, FAST, "job.0.0.0") == 1.0
    assert working > 1.3


def test_speed_of_an_idle_worker_is_not_forgotten():
    run_statistics = RunStatistics({})
    used = speed_after(run_statistics, range(10, 100, 10), FAST, "job.0.0.0")
    assert log(run_statistics.speed(FAST, 60.0)) > 0.7 * log(used)
