"""Compares policies on the same simulated days, with confidence intervals."""

from collections.abc import Iterable
from math import sqrt
from typing import NamedTuple

from sequoiachute.replay.day import draw_day
from sequoiachute.replay.engine import DayResult, Replay
from sequoiachute.replay.payoff import score_upper_bound
from sequoiachute.replay.policies import POLICIES
from sequoiachute.replay.site import ReplaySite

Z_95 = 1.96  # half-width of a normal 95 % interval, in standard errors


class DayComparison(NamedTuple):
    """The results of each policy on the day of one seed.

    ``upper_bound`` is the share of the total value that no policy can exceed.
    """

    seed: int
    upper_bound: float
    results: dict[str, DayResult]


class Mean(NamedTuple):
    """A mean and half the width of its 95 % confidence interval."""

    value: float
    error: float


class PolicySummary(NamedTuple):
    """A policy's means over all days.

    ``gain`` is the score less that of the first policy, ``stopped`` the runs
    stopped a day, ``lost_core_seconds`` the work lost a day and
    ``decision_p99`` the 99th percentile of the decision times in seconds.
    """

    policy: str
    score: Mean
    gain: Mean
    overall: float
    worst_windows: float
    worst_kind: float
    worst_zone: float
    worst_accounts: float
    lost_core_seconds: float
    stopped: float
    decision_p99: float


def play_day(site: ReplaySite, seed: int, policies: Iterable[str]) -> DayComparison:
    """Simulate the day of one seed under each policy."""
    day = draw_day(site, seed)
    results = {}
    for name in policies:
        replay = Replay(site, day)
        results[name] = replay.run(POLICIES[name](replay))
    return DayComparison(seed, score_upper_bound(site, day), results)


def mean(values: list[float]) -> Mean:
    """Return the mean of ``values`` with its 95 % confidence interval."""
    count = len(values)
    average = sum(values) / count
    if count < 2:
        return Mean(average, float("inf"))
    variance = sum((value - average) ** 2 for value in values) / (count - 1)
    return Mean(average, Z_95 * sqrt(variance / count))


def compare(days: list[DayComparison]) -> list[PolicySummary]:
    """Return a summary of each policy, in the order of the first day's results."""
    rows = []
    names = list(days[0].results)
    for name in names:
        results = [day.results[name] for day in days]
        scores = [item.scores for item in results]
        gains = []
        for day in days:
            baseline = day.results[names[0]].scores.score
            gains.append(day.results[name].scores.score - baseline)
        decisions = sorted(s for item in results for s in item.decision_seconds)
        rows.append(
            PolicySummary(
                name,
                mean([score.score for score in scores]),
                mean(gains),
                mean([score.overall for score in scores]).value,
                mean([score.worst_windows for score in scores]).value,
                mean([score.worst_kind for score in scores]).value,
                mean([score.worst_zone for score in scores]).value,
                mean([score.worst_accounts for score in scores]).value,
                mean([score.lost_core_seconds for score in scores]).value,
                mean([float(item.stopped) for item in results]).value,
                decisions[int(0.99 * len(decisions))] if decisions else 0.0,
            )
        )
    return rows


def format_table(rows: list[PolicySummary], days: list[DayComparison]) -> str:
    """Return the rows as a Markdown table, followed by the mean upper bound."""
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
            *(
                f"{v:.3f}"
                for v in (
                    row.overall,
                    row.worst_windows,
                    row.worst_kind,
                    row.worst_zone,
                )
            ),
            f"{row.worst_accounts:.3f}",
            f"{row.lost_core_seconds:.0f}",
            f"{row.stopped:.1f}",
            f"{row.decision_p99 * 1000:.1f} ms",
        ]
        lines.append("| " + " | ".join(cells) + " |")
    upper_bound = mean([day.upper_bound for day in days]).value
    lines += [
        "",
        f"Days: {len(days)}. No policy earns over {upper_bound:.3f} of what is owed:",
    ]
    lines.append("each job alone on the quickest workers.")
    return "\n".join(lines)
