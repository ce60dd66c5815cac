"""Policies side by side on the same days, with confidence intervals."""

from collections.abc import Iterable
from math import sqrt
from typing import NamedTuple

from sequoiachute.replay.day import draw_day
from sequoiachute.replay.engine import Played, Replay
from sequoiachute.replay.payoff import best_case
from sequoiachute.replay.policies import POLICIES
from sequoiachute.replay.site import Site

NORMAL_95 = 1.96  # standard errors on either side that hold 95 of 100 means


class Day(NamedTuple):
    """One seed played under each policy; ``best`` is what none can exceed."""

    seed: int
    best: float
    played: dict[str, Played]


class Mean(NamedTuple):
    """A mean and half the width of its 95 % confidence interval."""

    value: float
    error: float


class Row(NamedTuple):
    """A policy's means over all days; ``gain`` is its score less the first's.

    ``whole`` is the share of what was owed, ``thrown`` in core-seconds a day,
    ``decision_p99`` in seconds.
    """

    policy: str
    score: Mean
    gain: Mean
    whole: float
    windows: float
    kind: float
    zone: float
    accounts: float
    thrown: float
    stopped: float
    decision_p99: float


def play_day(site: Site, seed: int, policies: Iterable[str]) -> Day:
    """Play one seed under each policy."""
    day = draw_day(site, seed)
    played = {}
    for name in policies:
        replay = Replay(site, day)
        played[name] = replay.run(POLICIES[name](replay))
    return Day(seed, best_case(site, day), played)


def mean(values: list[float]) -> Mean:
    """Return the mean with its confidence interval."""
    count = len(values)
    middle = sum(values) / count
    if count < 2:
        return Mean(middle, float("inf"))
    variance = sum((value - middle) ** 2 for value in values) / (count - 1)
    return Mean(middle, NORMAL_95 * sqrt(variance / count))


def compare(days: list[Day]) -> list[Row]:
    """Return a row for each policy, in the order in which they were played."""
    rows = []
    names = list(days[0].played)
    for name in names:
        played = [day.played[name] for day in days]
        worths = [item.worth for item in played]
        gains = []
        for day in days:
            first = day.played[names[0]].worth.score
            gains.append(day.played[name].worth.score - first)
        decisions = sorted(s for item in played for s in item.decision_seconds)
        rows.append(
            Row(
                name,
                mean([worth.score for worth in worths]),
                mean(gains),
                mean([worth.whole for worth in worths]).value,
                mean([worth.windows for worth in worths]).value,
                mean([worth.kind for worth in worths]).value,
                mean([worth.zone for worth in worths]).value,
                mean([worth.accounts for worth in worths]).value,
                mean([worth.thrown for worth in worths]).value,
                mean([float(item.stopped) for item in played]).value,
                decisions[int(0.99 * len(decisions))] if decisions else 0.0,
            )
        )
    return rows


def format_table(rows: list[Row], days: list[Day]) -> str:
    """Return the rows as a Markdown table, with the bound below it."""
    lines = [
        "| policy | score | less the first's | of what is owed | worst windows |"
        " worst kind | worst zone | worst accounts | thrown away, core-s |"
        " runs stopped | decision p99 |",
        "|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        cells = [
            row.policy,
            f"{row.score.value:.3f} ± {row.score.error:.3f}",
            f"{row.gain.value:+.3f} ± {row.gain.error:.3f}",
            *(f"{v:.3f}" for v in (row.whole, row.windows, row.kind, row.zone)),
            f"{row.accounts:.3f}",
            f"{row.thrown:.0f}",
            f"{row.stopped:.1f}",
            f"{row.decision_p99 * 1000:.1f} ms",
        ]
        lines.append("| " + " | ".join(cells) + " |")
    best = mean([day.best for day in days]).value
    lines += [
        "",
        f"Days: {len(days)}. No policy earns over {best:.3f} of what is owed:",
    ]
    lines.append("each job alone on the quickest workers.")
    return "\n".join(lines)
