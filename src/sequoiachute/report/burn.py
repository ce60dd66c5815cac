"""Computes error budgets, burn rates and the causes of missed objectives.

The alert windows are those of multi-window, multi-burn-rate alerting: a long
window shows that a burn matters, a short one that it continues.
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

# Durations are in seconds.
MINUTE = 60.0
HOUR = 60 * MINUTE
DAY = 24 * HOUR

BUDGET_PERIOD_SECONDS = 28 * DAY
DEFAULT_COMPLETION_TARGET = 0.99
DEFAULT_GUARANTEE_TARGET = 0.999
DEFAULT_ANSWER_TARGET = 0.999


class AlertRule(NamedTuple):
    """Alerts if both windows, in seconds, burn at ``burn_rate`` or faster."""

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
RATE_WINDOW_SECONDS = HOUR  # its burn rate gives the time left


class WindowBurn(NamedTuple):
    """Burn over one window of ``seconds``.

    A burn rate of 1 spends the whole budget in the budget period.
    """

    seconds: float
    good: int
    bad: int
    burn_rate: float


class ObjectiveBurn(NamedTuple):
    """Burn of one objective of a client account and job class.

    ``spent`` is the share of the error budget used in the budget period.
    ``seconds_left`` is the time until the budget is used up at the burn rate
    of the last hour, ``None`` if that rate is 0.
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
    """Completion times of a job class in seconds."""

    job_class: str
    work: str
    count: int
    p50: float
    p99: float


class FleetUseRow(NamedTuple):
    """Use of accelerators during ``seconds`` with the same data centres out.

    ``out`` lists the data centres that were out of service.
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
    fleet: tuple[FleetUseRow, ...]


def create_report(
    periods: Sequence[Period], catalogue: Catalogue, now: float
) -> BurnReport:
    """Return the report on ``periods`` at wall time ``now``."""
    in_period = _ended_after(periods, now - BUDGET_PERIOD_SECONDS)
    by_window = {}
    for seconds in WINDOWS_SECONDS:
        counts = merge_counts(_ended_after(in_period, now - seconds))
        by_window[seconds] = {_objective_key(count): count for count in counts}
    objectives = []
    for count in merge_counts(in_period):
        job_class = catalogue["classes"].get(count["job_class"])
        target = _target_of(job_class, count["objective"])
        objectives.append(_objective_burn(count, target, by_window))
    return BurnReport(
        now,
        BUDGET_PERIOD_SECONDS,
        tuple(objectives),
        _completions(in_period),
        _fleet_rows(in_period),
    )


def burn_rate(good: int, bad: int, target: float) -> float:
    """Return how many times faster than allowed the error budget is spent."""
    if good + bad == 0:
        return 0.0
    return (bad / (good + bad)) / (1 - target)


def severity_of(rates: dict[float, float]) -> str:
    """Return the highest severity whose two windows both burn too fast.

    Parameters
    ----------
    rates : dict of float to float
        Burn rate by window in seconds.

    Returns
    -------
    str
        Empty if no alert rule applies.
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
        window_count = counts.get(_objective_key(count))
        good = window_count["good"] if window_count else 0
        bad = window_count["bad"] if window_count else 0
        rates[seconds] = burn_rate(good, bad, target)
        windows.append(WindowBurn(seconds, good, bad, rates[seconds]))
    spent = burn_rate(count["good"], count["bad"], target)
    recent_rate = rates[RATE_WINDOW_SECONDS]
    seconds_left = None
    if recent_rate > 0:
        seconds_left = max(0.0, 1 - spent) * BUDGET_PERIOD_SECONDS / recent_rate
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


def _target_of(job_class: JobClass | None, objective: str) -> float:
    settings = job_class or {}
    if objective == "guarantee":
        return settings.get("guarantee_share", DEFAULT_GUARANTEE_TARGET)
    if objective == "answer":
        return settings.get("answer_share", DEFAULT_ANSWER_TARGET)
    return settings.get("objective_share", DEFAULT_COMPLETION_TARGET)


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


def _fleet_rows(periods: Sequence[Period]) -> tuple[FleetUseRow, ...]:
    rows = []
    for use in merge_fleet_use(periods):
        share = use["unusable"] / use["free"] if use["free"] else 0.0
        work = tuple(sorted(use["work"].items()))
        rows.append(FleetUseRow(tuple(use["out"]), use["seconds"], share, work))
    return tuple(rows)


def _ended_after(periods: Sequence[Period], wall_time: float) -> list[Period]:
    return [period for period in periods if period.ended_at > wall_time]


def _objective_key(count: ObjectiveCount) -> tuple[str, str, str]:
    return (count["account"], count["job_class"], count["objective"])
