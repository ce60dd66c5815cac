"""The deadline until which a job has its full worth."""

import pytest

from sequoiachute.coordination.dispatch.objectives import (
    chain_seconds,
    count_waves,
    objective,
)
from sequoiachute.protocol.workload import JobGraph, Resources, StepSpec

CAPACITY = Resources(88_000, 88_000, 88)


def job(*steps):
    fields = {"accepted_at": 100.0, "stretch": 1.5, "slo_seconds": 0.25}
    return JobGraph("j", "a", "q", "s", "", steps, **fields)


def step(count, gpus, seconds, after=()):
    return StepSpec(count, Resources(1000, 1000, gpus), seconds, after=after)


def test_deadline_of_a_wide_step_covers_its_waves():
    """Twenty tasks of 8 GPUs on a quarter of 88 GPUs run in eight waves."""
    wide = step(20, 8, 1.6)
    assert count_waves(wide, CAPACITY) == 8
    starts_at, deadline = objective(job(wide), 0, CAPACITY)
    assert starts_at == 100.0
    assert deadline == pytest.approx(100.0 + 1.5 * 8 * 1.6 + 0.25)


def test_deadline_of_narrow_steps_covers_the_longest_chain():
    steps = (step(2, 8, 2.0), step(1, 1, 3.0, after=(0,)), step(1, 1, 1.0))
    assert objective(job(*steps), 0, CAPACITY)[1] == pytest.approx(100 + 1.5 * 5 + 0.25)
    assert chain_seconds(job(*steps), 1) == 3.0


def test_step_has_one_wave_per_task_without_workers():
    assert count_waves(step(3, 8, 1.0), Resources()) == 3
