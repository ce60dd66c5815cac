"""Until when a job earns its full worth."""

import pytest

from sequoiachute.coordination.dispatch.views import chain_seconds, objective, waves
from sequoiachute.protocol.workload import JobGraph, Resources, StepSpec

ROOM = Resources(88_000, 88_000, 88)


def job(*steps):
    fields = {"accepted_at": 100.0, "stretch": 1.5, "slo_seconds": 0.25}
    return JobGraph("j", "a", "q", "s", "", steps, **fields)


def step(count, gpus, seconds, after=()):
    return StepSpec(count, Resources(1000, 1000, gpus), seconds, after=after)


def test_wide_step_is_granted_the_time_of_its_waves():
    """Twenty whole workers of eleven: eight waves on a quarter of the room."""
    wide = step(20, 8, 1.6)
    assert waves(wide, ROOM) == 8
    begins, deadline = objective(job(wide), 0, ROOM)
    assert begins == 100.0
    assert deadline == pytest.approx(100.0 + 1.5 * 8 * 1.6 + 0.25)


def test_narrow_steps_are_granted_their_longest_chain():
    steps = (step(2, 8, 2.0), step(1, 1, 3.0, after=(0,)), step(1, 1, 1.0))
    assert objective(job(*steps), 0, ROOM)[1] == pytest.approx(100 + 1.5 * 5 + 0.25)
    assert chain_seconds(job(*steps), 1) == 3.0


def test_site_without_workers_grants_one_wave_a_task():
    assert waves(step(3, 8, 1.0), Resources()) == 3
