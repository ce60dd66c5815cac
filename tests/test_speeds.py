"""What progress tells of workers and of declared times."""

from math import log

import pytest

from sequoiachute.coordination.dispatch.evidence import Evidence
from sequoiachute.coordination.dispatch.speeds import Sample, SpeedEstimate
from sequoiachute.protocol.supervision import RunReport
from sequoiachute.protocol.workload import Lifetime

QUICK, SLOW, NEW = Lifetime("quick", 1), Lifetime("slow", 1), Lifetime("new", 1)


def estimate(*samples, earlier=None):
    found = SpeedEstimate()
    rows = [Sample(life, step, log(ratio), 1.0) for life, step, ratio in samples]
    # Errors of steps widen what later fits take for likely.
    for _ in range(3):
        found.renew(rows, earlier or {})
    return found


def test_step_declared_too_short_makes_no_worker_slow():
    steps = [(life, "long", 0.3) for life in (QUICK, SLOW) for _ in range(3)]
    found = estimate(*steps, (QUICK, "other", 1.0), (SLOW, "other", 1.0))
    assert found.speed(QUICK) == pytest.approx(found.speed(SLOW))
    assert found.speed(QUICK) > 0.75


def test_workers_are_told_apart_on_a_step_declared_wrongly():
    found = estimate((QUICK, "long", 0.48), (SLOW, "long", 0.18))
    assert found.speed(QUICK) > 1.4 * found.speed(SLOW)
    assert found.speed(SLOW) < 1.0 < found.speed(QUICK)


def test_worker_that_is_slow_for_every_step_is_slow():
    samples = [(SLOW, f"step-{number}", 0.6) for number in range(6)]
    samples += [(QUICK, f"step-{number}", 1.0) for number in range(6)]
    found = estimate(*samples)
    assert found.speed(SLOW) < 0.75 * found.speed(QUICK)


def test_worker_without_samples_keeps_what_was_learned_earlier():
    found = estimate(earlier={SLOW: 0.6})
    assert found.speed(SLOW) == pytest.approx(0.6)
    assert found.speed(NEW) == 1.0


def read(evidence, percents, life, task, estimate_seconds=10.0):
    for number, percent in enumerate(percents):
        run = RunReport(task, 1, "", percent)
        evidence.see_run(run, life, estimate_seconds, 1.0, number * 0.5)
    return evidence.speed(life, len(percents) * 0.5)


def test_member_that_waits_for_its_gang_is_not_slow():
    begun = [10, 20, 30, 40, 50, 60]
    working = read(Evidence({}), begun, QUICK, "job.0.0.0")
    waits_after = [*begun, 100, 100, 100, 100, 100, 100]
    assert read(Evidence({}), waits_after, QUICK, "job.0.0.0") > 0.95 * working
    waits_before = [0, 0, 0, 0, 0, 0]
    assert read(Evidence({}), waits_before, QUICK, "job.0.0.0") == 1.0
    assert working > 1.3
