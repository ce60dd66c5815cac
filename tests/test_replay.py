"""Days played through the placer on a clock of their own."""

import io
from pathlib import Path

import msgspec
import pytest

from sequoiachute.core import main
from sequoiachute.environment import Environment
from sequoiachute.errors import SettingsError
from sequoiachute.protocol.workload import JobGraph, Resources, StepSpec
from sequoiachute.replay.comparison import compare, mean, play_day
from sequoiachute.replay.day import Arrival, Day, Machine, Trouble, draw_day
from sequoiachute.replay.engine import Replay
from sequoiachute.replay.payoff import pay, reckon_debts
from sequoiachute.replay.policies import POLICIES, first_fit
from sequoiachute.replay.site import Kind, Site, Spread, Workers, load_site

ROOM = Resources(8000, 8000, 8)
KIND = Kind("k", 1.0, 4.0, 1.0, 1, 2.0, 1.0, Spread(4.0), Spread(1.0), 1.0)
SITE = Site("test", Workers(1, 1, 1, 8, 8000, 8), (KIND,), tail_seconds=60.0)
REPAIR = "examples/replay/repair.yaml"
ENGRAVE = "examples/replay/engrave.yaml"


def machine(name="w0", speed=1.0):
    return Machine(name, 0, "r0", (), ROOM, speed)


def arrival(job_id="j", at=1.0, count=1, seconds=4.0, kind=KIND, **fields):
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
    works = ((seconds,) * count,)
    return Arrival(at, job, kind, 0, works, **{**values, **fields})


def play(*arrivals, machines=None, troubles=(), site=SITE, policy=None):
    day = Day(tuple(machines or [machine()]), tuple(arrivals), tuple(troubles), (0,))
    replay = Replay(site, day)
    return replay.run(policy or POLICIES["ours"](replay))


def took(played):
    return {paid.debt.arrival.job.job_id: paid.took for paid in played.paid}


def test_job_takes_its_work_over_the_workers_speed():
    assert took(play(arrival()))["j"] == pytest.approx(4.0, abs=0.4)
    played = play(arrival(), machines=[machine(speed=2.0)])
    assert took(played)["j"] == pytest.approx(2.0, abs=0.4)


def test_gang_waits_until_all_its_tasks_fit():
    first = arrival("first", at=1.0)
    gang = arrival("gang", at=1.1, count=2, step={"gang": True})
    found = took(play(first, gang, machines=[machine("w0"), machine("w1")]))
    assert found["first"] == pytest.approx(4.0, abs=0.4)
    assert found["gang"] == pytest.approx(8.0, abs=0.6)


def test_work_of_a_lost_worker_is_thrown_away_and_done_again():
    lost = Trouble("lost", 3.0, 5.0, 0)
    played = play(arrival(), troubles=[lost])
    assert took(played)["j"] == pytest.approx(4.0 + 4.0, abs=0.8)
    # Two seconds of a core and of eight accelerators at eight cores each.
    assert played.worth.thrown == pytest.approx(2.0 * 65, rel=0.2)


def test_checkpoints_keep_work_of_a_lost_worker():
    lost = Trouble("lost", 4.0, 5.0, 0)
    plain = play(arrival(seconds=8.0), troubles=[lost])
    saving = play(arrival(seconds=8.0, step={"checkpoints": True}), troubles=[lost])
    assert took(saving)["j"] < took(plain)["j"] - 1.5
    assert saving.worth.thrown < plain.worth.thrown


def test_hopeless_job_earns_by_failing_and_others_by_being_complete():
    failing = arrival(failures={(0, 0): (0.5, 0.5)}, hopeless=True)
    played = play(failing)
    assert played.worth.whole == 1.0
    assert not pay(played.paid[0].debt, 1.0, False).earned


def test_nothing_is_decided_in_an_outage_and_callers_give_up():
    outage = Trouble("outages", 0.5, 6.0, 0)
    played = play(arrival("early", at=1.0), arrival("late", at=5.0), troubles=[outage])
    assert took(played)["early"] is None
    assert played.refused == 1
    assert took(played)["late"] == pytest.approx(5.0, abs=0.5)


def test_late_job_earns_its_late_worth_and_then_nothing():
    day = Day((machine(),), (arrival(),), (), (0,))
    debt = reckon_debts(SITE, day)["j"]
    assert debt.objective == pytest.approx(9.0)
    assert pay(debt, 9.0, True).earned == 4.0
    assert pay(debt, 9.1, True).earned == 1.0
    assert pay(debt, 27.1, True).earned == 0.0
    assert pay(debt, None, True).earned == 0.0


def test_same_seed_gives_the_same_day_and_play():
    site = load_site(REPAIR)
    assert draw_day(site, 3) == draw_day(site, 3)
    assert draw_day(site, 3) != draw_day(site, 4)
    plays = [play_day(site, 3, ["ours"]).played["ours"] for _ in range(2)]
    assert plays[0].worth == plays[1].worth


@pytest.mark.parametrize(
    ("path", "seed"),
    # 10,248 and 4,358 stops: urgent gangs past their use stopped what was placed
    # before them, round after round.
    [(REPAIR, 269), (ENGRAVE, 361)],
)
def test_urgent_gangs_past_their_use_do_not_stop_others_again_and_again(path, seed):
    played = play_day(load_site(path), seed, ["ours"]).played["ours"]
    assert played.stopped < 150


def test_ours_earns_more_than_first_fit_on_a_crowded_site():
    site = load_site(REPAIR)
    days = [play_day(site, seed, ["first-fit", "ours"]) for seed in range(6)]
    first, ours = compare(days)
    assert first.policy == "first-fit"
    assert ours.gain.value > 0.1
    assert ours.score.value <= 1.0


def test_first_fit_stops_nothing():
    played = play(arrival("a"), arrival("b", at=2.0), policy=first_fit)
    assert played.stopped == 0
    assert took(played)["b"] == pytest.approx(7.0, abs=0.6)


def test_mean_has_its_interval():
    assert mean([1.0, 3.0]).value == 2.0
    assert mean([1.0, 3.0]).error == pytest.approx(1.96)
    assert mean([1.0]).error == float("inf")


def run_command(*arguments):
    environment = Environment(io.StringIO(), io.StringIO(), io.StringIO(), {})
    status = main(["replay", *arguments], environment)
    return status, environment.stdout.getvalue(), environment.stderr.getvalue()


def test_command_prints_a_table_and_draws_a_plot(tmp_path):
    picture = tmp_path / "scores.svg"
    status, out, _ = run_command(REPAIR, "--days", "2", "--plot", str(picture))
    assert status == 0
    assert "| ours |" in out
    assert "| first-fit |" in out
    assert picture.read_text().startswith("<svg")


@pytest.mark.parametrize(
    "change", [{"load": -1}, {"kinds": [{"name": "x"}]}, {"worker": {}}]
)
def test_command_names_what_is_wrong_with_a_site(tmp_path, change):
    described = msgspec.yaml.decode(Path(REPAIR).read_bytes())
    described.update(change)
    path = tmp_path / "site.yaml"
    path.write_bytes(msgspec.yaml.encode(described))
    with pytest.raises(SettingsError, match="docs/design/replay.md"):
        load_site(str(path))
    status, _, err = run_command(str(path))
    assert status == 3
    assert "site" in err
