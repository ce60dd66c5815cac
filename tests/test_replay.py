"""Tests of days simulated with the real placer on a virtual clock."""

import io
from pathlib import Path

import msgspec
import pytest

from sequoiachute.core import main
from sequoiachute.environment import Environment
from sequoiachute.errors import SettingsError
from sequoiachute.protocol.workload import JobGraph, Resources, StepSpec
from sequoiachute.replay.comparison import compare, mean, play_day
from sequoiachute.replay.day import (
    Fault,
    JobArrival,
    SimulatedDay,
    SimulatedMachine,
    draw_day,
)
from sequoiachute.replay.engine import Replay
from sequoiachute.replay.payoff import compute_job_values, score_job
from sequoiachute.replay.policies import POLICIES, first_fit
from sequoiachute.replay.site import (
    JobKind,
    LogNormal,
    ReplaySite,
    WorkerPool,
    load_site,
)

CAPACITY = Resources(8000, 8000, 8)
JOB_KIND = JobKind("k", 1.0, 4.0, 1.0, 1, 2.0, 1.0, LogNormal(4.0), LogNormal(1.0), 1.0)
SITE = ReplaySite(
    "test", WorkerPool(1, 1, 1, 8, 8000, 8), (JOB_KIND,), tail_seconds=60.0
)
REPAIR = "examples/replay/repair.yaml"
ENGRAVE = "examples/replay/engrave.yaml"


def machine(name="w0", speed=1.0):
    return SimulatedMachine(name, 0, "r0", (), CAPACITY, speed)


def arrival(job_id="j", at=1.0, count=1, seconds=4.0, kind=JOB_KIND, **fields):
    step = {"gpus": 8, **fields.pop("step", {})}
    need = Resources(1000, 1000, step.pop("gpus"))
    spec = StepSpec(count, need, seconds, **step)
    job = JobGraph(
        job_id,
        "a0",
        kind.name,
        "replayed",
        "",
        (spec,),
        priority=kind.priority,
        attempts=2,
        stretch=kind.stretch,
        slo_seconds=kind.slo_seconds,
    )
    values = {"failures": {}, "hopeless": False, "cancel_at": None}
    task_seconds = ((seconds,) * count,)
    return JobArrival(at, job, kind, 0, task_seconds, **{**values, **fields})


def simulate(*arrivals, machines=None, faults=(), site=SITE, policy=None):
    day = SimulatedDay(
        tuple(machines or [machine()]), tuple(arrivals), tuple(faults), (0,)
    )
    replay = Replay(site, day)
    return replay.run(policy or POLICIES["ours"](replay))


def first_site(path):
    """Return the site as it was when the seeds of known faults were found."""
    site = load_site(path)
    kinds = [
        msgspec.structs.replace(kind, uneven=0.3, standing=0) for kind in site.kinds
    ]
    return msgspec.structs.replace(
        site,
        workers=msgspec.structs.replace(site.workers, speeds=(0.6, 1.0, 1.6)),
        kinds=tuple(kinds),
        lead_seconds=0.0,
        stop_seconds=0.7 if path == ENGRAVE else 0.3,
    )


def completion_times(result):
    return {
        outcome.job_value.arrival.job.job_id: outcome.completion_seconds
        for outcome in result.outcomes
    }


def test_run_time_is_work_divided_by_worker_speed():
    assert completion_times(simulate(arrival()))["j"] == pytest.approx(4.0, abs=0.4)
    result = simulate(arrival(), machines=[machine(speed=2.0)])
    assert completion_times(result)["j"] == pytest.approx(2.0, abs=0.4)


def test_gang_waits_until_all_its_tasks_fit():
    first = arrival("first", at=1.0)
    gang = arrival("gang", at=1.1, count=2, step={"gang": True})
    times = completion_times(
        simulate(first, gang, machines=[machine("w0"), machine("w1")])
    )
    assert times["first"] == pytest.approx(4.0, abs=0.4)
    assert times["gang"] == pytest.approx(8.0, abs=0.6)


def test_standing_jobs_arrive_before_the_others():
    kind = msgspec.structs.replace(JOB_KIND, standing=3)
    site = msgspec.structs.replace(SITE, kinds=(kind,), lead_seconds=5.0)
    times = [arrival.at for arrival in draw_day(site, 1).arrivals]
    assert times[:3] == [0.0, 0.0, 0.0]
    assert times[3] > 5.0


def test_work_of_a_lost_worker_is_lost_and_repeated():
    fault = Fault("lost", 3.0, 5.0, 0)
    result = simulate(arrival(), faults=[fault])
    assert completion_times(result)["j"] == pytest.approx(4.0 + 4.0, abs=0.8)
    # Two seconds of a core and of eight accelerators at eight cores each.
    assert result.scores.lost_core_seconds == pytest.approx(2.0 * 65, rel=0.2)


def test_checkpoints_preserve_work_of_a_lost_worker():
    fault = Fault("lost", 4.0, 5.0, 0)
    without_checkpoints = simulate(arrival(seconds=8.0), faults=[fault])
    with_checkpoints = simulate(
        arrival(seconds=8.0, step={"checkpoints": True}), faults=[fault]
    )
    assert (
        completion_times(with_checkpoints)["j"]
        < completion_times(without_checkpoints)["j"] - 1.5
    )
    assert (
        with_checkpoints.scores.lost_core_seconds
        < without_checkpoints.scores.lost_core_seconds
    )


def test_speed_of_a_machine_is_known_after_its_worker_has_lost_power():
    machines = [machine("w0", speed=0.5), machine("w1", speed=2.0)]
    faults = [Fault("lost", 5.0, 6.0, number) for number in range(2)]
    urgent = msgspec.structs.replace(JOB_KIND, name="u", priority=0)
    result = simulate(
        arrival("a", seconds=9.0),
        arrival("b", seconds=9.0),
        arrival("urgent", at=5.5, seconds=4.0, kind=urgent),
        machines=machines,
        faults=faults,
        site=msgspec.structs.replace(SITE, kinds=(JOB_KIND, urgent)),
    )
    assert completion_times(result)["urgent"] == pytest.approx(0.5 + 2.0, abs=0.6)


def test_urgent_job_does_not_start_on_a_slow_worker_that_was_never_used():
    speeds = [1.43, 0.59, 0.59, 1.43, 1.43, 1.43]
    urgent = msgspec.structs.replace(JOB_KIND, name="u", priority=0, stretch=1.5)
    result = simulate(
        arrival("batch", at=0.0, count=6, seconds=20.0, step={"gpus": 1}),
        arrival("urgent", at=5.0, seconds=4.0, kind=urgent, step={"gpus": 4}),
        machines=[machine(f"w{n}", speed=speed) for n, speed in enumerate(speeds)],
        site=msgspec.structs.replace(SITE, kinds=(JOB_KIND, urgent)),
    )
    assert completion_times(result)["urgent"] == pytest.approx(2.8, abs=0.6)


def test_hopeless_job_earns_its_value_only_by_failing():
    hopeless_job = arrival(failures={(0, 0): (0.5, 0.5)}, hopeless=True)
    result = simulate(hopeless_job)
    assert result.scores.overall == 1.0
    assert not score_job(result.outcomes[0].job_value, 1.0, False).earned


def test_store_outage_blocks_decisions_and_submissions_time_out():
    outage = Fault("outages", 0.5, 6.0, 0)
    result = simulate(
        arrival("early", at=1.0), arrival("late", at=5.0), faults=[outage]
    )
    assert completion_times(result)["early"] is None
    assert result.refused == 1
    assert completion_times(result)["late"] == pytest.approx(5.0, abs=0.5)


def test_late_job_earns_late_worth_then_nothing():
    day = SimulatedDay((machine(),), (arrival(),), (), (0,))
    job_value = compute_job_values(SITE, day)["j"]
    assert job_value.objective_seconds == pytest.approx(9.0)
    assert score_job(job_value, 9.0, True).earned == 4.0
    assert score_job(job_value, 9.1, True).earned == 1.0
    assert score_job(job_value, 27.1, True).earned == 0.0
    assert score_job(job_value, None, True).earned == 0.0


def test_same_seed_gives_the_same_day_and_scores():
    site = load_site(REPAIR)
    assert draw_day(site, 3) == draw_day(site, 3)
    assert draw_day(site, 3) != draw_day(site, 4)
    results = [play_day(site, 3, ["ours"]).results["ours"] for _ in range(2)]
    assert results[0].scores == results[1].scores


@pytest.mark.parametrize(
    ("path", "seed"),
    # Urgent gangs that could no longer earn anything stopped, in every round,
    # what had been placed before them: 10,248 and 4,358 stops.
    [(REPAIR, 269), (ENGRAVE, 361)],
)
def test_worthless_urgent_gangs_do_not_stop_others_repeatedly(path, seed):
    result = play_day(first_site(path), seed, ["ours"]).results["ours"]
    assert result.stopped < 150


def test_ours_earns_more_than_first_fit_on_a_crowded_site():
    site = load_site(REPAIR)
    days = [play_day(site, seed, ["first-fit", "ours"]) for seed in range(6)]
    first, ours = compare(days)
    assert first.policy == "first-fit"
    assert ours.gain.value > 0.1
    assert ours.score.value <= 1.0


def test_first_fit_stops_nothing():
    result = simulate(arrival("a"), arrival("b", at=2.0), policy=first_fit)
    assert result.stopped == 0
    assert completion_times(result)["b"] == pytest.approx(7.0, abs=0.6)


def test_mean_has_a_confidence_interval():
    assert mean([1.0, 3.0]).value == 2.0
    assert mean([1.0, 3.0]).error == pytest.approx(1.96)
    assert mean([1.0]).error == float("inf")


def run_command(*arguments):
    environment = Environment(io.StringIO(), io.StringIO(), io.StringIO(), {})
    status = main(["replay", *arguments], environment)
    return status, environment.stdout.getvalue(), environment.stderr.getvalue()


def test_command_prints_a_table_and_draws_a_plot(tmp_path):
    plot_path = tmp_path / "scores.svg"
    status, out, _ = run_command(REPAIR, "--days", "2", "--plot", str(plot_path))
    assert status == 0
    assert "| ours |" in out
    assert "| first-fit |" in out
    assert plot_path.read_text().startswith("<svg")


@pytest.mark.parametrize(
    "change", [{"load": -1}, {"kinds": [{"name": "x"}]}, {"worker": {}}]
)
def test_command_reports_an_invalid_site(tmp_path, change):
    mapping = msgspec.yaml.decode(Path(REPAIR).read_bytes())
    mapping.update(change)
    path = tmp_path / "site.yaml"
    path.write_bytes(msgspec.yaml.encode(mapping))
    with pytest.raises(SettingsError, match="docs/design/replay.md"):
        load_site(str(path))
    status, _, err = run_command(str(path))
    assert status == 3
    assert "site" in err
