"""Error budgets, burn rates and what spent them.

The alert windows are those of multi-window, multi-burn-rate alerting: a long
window shows that a burn matters, a short one that it still goes on.
"""

from collections.abc import Sequence
from typing import NamedTuple

from sequoiachute.protocol.catalogue import Catalogue, JobClass
from sequoiachute.protocol.service_levels import ObjectiveCount
from sequoiachute.state.histograms import quantile_seconds
from sequoiachute.state.service_levels import (
    Period,
    merge_counts,
    merge_fleet_use,
    merge_histograms,
)

MINUTE = 60.0
HOUR = 60 * MINUTE
DAY = 24 * HOUR
BUDGET_PERIOD_SECONDS = 28 * DAY
DEFAULT_COMPLETION_SHARE = 0.99
DEFAULT_GUARANTEE_SHARE = 0.999
DEFAULT_ANSWER_SHARE = 0.999


class AlertRule(NamedTuple):
    """Both windows must burn faster than ``burn_rate``; times in seconds."""

    severity: str
    long_window: float
    short_window: float
    burn_rate: float


ALERT_RULES = (
    AlertRule("page", HOUR, 5 * MINUTE, 14.4),
    AlertRule("page", 6 * HOUR, 30 * MINUTE, 6.0),
    AlertRule("ticket", 3 * DAY, 6 * HOUR, 1.0),
)
WINDOWS_SECONDS = (5 * MINUTE, 30 * MINUTE, HOUR, 6 * HOUR, 3 * DAY)
RATE_WINDOW_SECONDS = HOUR  # burn rate that the time left is worked out from


class WindowBurn(NamedTuple):
    """Burn over one window; a rate of 1 spends the budget in its period."""

    seconds: float
    good: int
    bad: int
    burn_rate: float


class ObjectiveBurn(NamedTuple):
    """One objective of a client account and class.

    ``spent`` is the share of the error budget used in the budget period and
    ``seconds_left`` the time until it is used up at the rate of the last
    hour, ``None`` if nothing burns.
    """

    account: str
    job_class: str
    objective: str
    target: float
    good: int
    bad: int
    spent: float
    seconds_left: float | None
    severity: str
    windows: tuple[WindowBurn, ...]
    causes: tuple[tuple[str, int], ...]


class CompletionTimes(NamedTuple):
    """Completion times of a class in seconds."""

    job_class: str
    work: str
    count: int
    p50: float
    p99: float


class FleetLine(NamedTuple):
    """Use of accelerators in the ``seconds`` while ``out`` were out of service.

    ``unusable_share`` is the share of free accelerator time that the largest
    waiting gang could not use; ``work`` is in accelerator-seconds.
    """

    out: tuple[str, ...]
    seconds: float
    unusable_share: float
    work: tuple[tuple[str, float], ...]


class BurnReport(NamedTuple):
    """The whole report at wall time ``at``."""

    at: float
    period_seconds: float
    objectives: tuple[ObjectiveBurn, ...]
    completions: tuple[CompletionTimes, ...]
    fleet: tuple[FleetLine, ...]


def create_report(
    periods: Sequence[Period], catalogue: Catalogue, now: float
) -> BurnReport:
    """Return the report on ``periods`` at wall time ``now``."""
    within = _ended_after(periods, now - BUDGET_PERIOD_SECONDS)
    by_window = {}
    for seconds in WINDOWS_SECONDS:
        counts = merge_counts(_ended_after(within, now - seconds))
        by_window[seconds] = {_key(count): count for count in counts}
    objectives = []
    for count in merge_counts(within):
        job_class = catalogue["classes"].get(count["job_class"])
        target = _target(job_class, count["objective"])
        objectives.append(_objective_burn(count, target, by_window))
    return BurnReport(
        now,
        BUDGET_PERIOD_SECONDS,
        tuple(objectives),
        _completions(within),
        _fleet_lines(within),
    )


def burn_rate(good: int, bad: int, target: float) -> float:
    """Return how many times faster than allowed the budget burns."""
    if good + bad == 0:
        return 0.0
    return (bad / (good + bad)) / (1 - target)


def severity_of(rates: dict[float, float]) -> str:
    """Return the gravest severity whose two windows both burn too fast.

    Parameters
    ----------
    rates : dict of float to float
        Burn rate by window in seconds.
    """
    for rule in ALERT_RULES:
        lowest = min(rates[rule.long_window], rates[rule.short_window])
        if lowest >= rule.burn_rate:
            return rule.severity
    return ""


def _objective_burn(
    count: ObjectiveCount,
    target: float,
    by_window: dict[float, dict[tuple[str, str, str], ObjectiveCount]],
) -> ObjectiveBurn:
    windows = []
    rates = {}
    for seconds, counts in by_window.items():
        inside = counts.get(_key(count))
        good = inside["good"] if inside else 0
        bad = inside["bad"] if inside else 0
        rates[seconds] = burn_rate(good, bad, target)
        windows.append(WindowBurn(seconds, good, bad, rates[seconds]))
    spent = burn_rate(count["good"], count["bad"], target)
    rate = rates[RATE_WINDOW_SECONDS]
    seconds_left = None
    if rate > 0:
        seconds_left = max(0.0, 1 - spent) * BUDGET_PERIOD_SECONDS / rate
    causes = sorted(count["causes"].items(), key=lambda item: (-item[1], item[0]))
    return ObjectiveBurn(
        account=count["account"],
        job_class=count["job_class"],
        objective=count["objective"],
        target=target,
        good=count["good"],
        bad=count["bad"],
        spent=spent,
        seconds_left=seconds_left,
        severity=severity_of(rates),
        windows=tuple(windows),
        causes=tuple(causes),
    )


def _target(job_class: JobClass | None, objective: str) -> float:
    fields = job_class or {}
    if objective == "guarantee":
        return fields.get("guarantee_share", DEFAULT_GUARANTEE_SHARE)
    if objective == "answer":
        return fields.get("answer_share", DEFAULT_ANSWER_SHARE)
    return fields.get("objective_share", DEFAULT_COMPLETION_SHARE)


def _completions(periods: Sequence[Period]) -> tuple[CompletionTimes, ...]:
    completions = []
    for (job_class, work), histogram in sorted(merge_histograms(periods).items()):
        completions.append(
            CompletionTimes(
                job_class,
                work,
                histogram.get_total_count(),
                quantile_seconds(histogram, 0.5),
                quantile_seconds(histogram, 0.99),
            )
        )
    return tuple(completions)


def _fleet_lines(periods: Sequence[Period]) -> tuple[FleetLine, ...]:
    lines = []
    for use in merge_fleet_use(periods):
        share = use["unusable"] / use["free"] if use["free"] else 0.0
        work = tuple(sorted(use["work"].items()))
        lines.append(FleetLine(tuple(use["out"]), use["seconds"], share, work))
    return tuple(lines)


def _ended_after(periods: Sequence[Period], wall_time: float) -> list[Period]:
    return [period for period in periods if period.ended_at > wall_time]


def _key(count: ObjectiveCount) -> tuple[str, str, str]:
    return (count["account"], count["job_class"], count["objective"])
