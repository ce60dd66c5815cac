import pytest

from sequoiachute.protocol.service_levels import ObjectiveCount
from sequoiachute.report.burn import (
    BUDGET_PERIOD_SECONDS,
    DAY,
    HOUR,
    MINUTE,
    create_report,
    severity_of,
)
from sequoiachute.report.html import format_html
from sequoiachute.report.text import format_text
from sequoiachute.state.histograms import (
    create_histogram,
    encode_histogram,
    record_seconds,
)
from sequoiachute.state.service_levels import Period, ServiceLevelTable, merge_counts

NOW = 100 * DAY
CATALOGUE = {
    "classes": {
        "batch": {"priority": 1, "objective_seconds": 60.0, "objective_share": 0.99}
    },
    "accounts": {},
    "data_centres": {},
}


def count(good, bad, **causes) -> ObjectiveCount:
    return {
        "account": "brocach<&>",
        "job_class": "batch",
        "objective": "completion",
        "good": good,
        "bad": bad,
        "causes": causes,
    }


def period(ended_at, *counts, offset=0, histograms=(), fleet=()):
    return Period(
        offset, ended_at - 30, ended_at, counts, tuple(histograms), tuple(fleet), False
    )


def histogram_of(*seconds):
    histogram = create_histogram()
    for value in seconds:
        record_seconds(histogram, value)
    encoded = encode_histogram(histogram)
    return {"job_class": "batch", "work": "job", "encoded": encoded}


def report():
    use = {
        "seconds": 75.0,
        "free": 200.0,
        "unusable": 50.0,
        "work": {"dc-1": 300.0},
        "out": ["dc-2"],
    }
    periods = [
        period(NOW - 29 * DAY, count(0, 500, drain=500)),
        period(NOW - 10 * DAY, count(898, 2, drain=2)),
        period(NOW - 30 * MINUTE, count(49, 1, drain=1), histograms=[histogram_of(2)]),
        period(
            NOW - 10 * MINUTE,
            count(49, 1, fragmentation=1),
            histograms=[histogram_of(4, 4, 4)],
            fleet=[use, use],
        ),
    ]
    return create_report(periods, CATALOGUE, NOW)


def test_report_matches_hand_computed_example():
    # 1000 events in 28 days at 99 % allow 10 misses; 4 of them are spent.
    # The last hour missed 2 of 100: burn rate 2, so 60 % last 28 d * 0.6 / 2.
    burn = report().objectives[0]
    assert (burn.good, burn.bad) == (996, 4)
    assert burn.spent == pytest.approx(0.4)
    rates = {window.seconds: window.burn_rate for window in burn.windows}
    assert rates[HOUR] == pytest.approx(2.0)
    assert rates[5 * MINUTE] == 0.0
    assert rates[30 * MINUTE] == pytest.approx(2.0)
    assert burn.seconds_left == pytest.approx(BUDGET_PERIOD_SECONDS * 0.3)
    assert burn.severity == "ticket"
    assert burn.causes == (("drain", 3), ("fragmentation", 1))


def test_report_merges_histograms_and_fleet_use():
    merged = report()
    times = merged.completions[0]
    assert times.count == 4
    assert times.p50 == pytest.approx(4.0, rel=0.02)
    assert merged.fleet[0].out == ("dc-2",)
    assert merged.fleet[0].seconds == 150.0
    assert merged.fleet[0].unusable_share == 0.25
    assert merged.fleet[0].work == (("dc-1", 600.0),)


@pytest.mark.parametrize(
    ("hour", "five_minutes", "severity"),
    [(14.4, 14.4, "page"), (14.4, 14.3, ""), (14.3, 20.0, "")],
)
def test_alert_needs_both_windows(hour, five_minutes, severity):
    rates = {HOUR: hour, 5 * MINUTE: five_minutes}
    rates |= {30 * MINUTE: 0.0, 6 * HOUR: 0.0, 3 * DAY: 0.0}
    assert severity_of(rates) == severity


def test_text_and_page_show_figures_and_escape_names():
    text = format_text(report())
    assert "drain 3, fragmentation 1" in text
    assert "40.0%" in text
    page = format_html(report())
    assert "brocach&lt;&amp;&gt;" in page
    assert "{{" not in page
    assert "http" not in page


def summary(record_id, ended_at, *counts, **fields):
    return {
        "kind": "service-level-summary",
        "record_id": record_id,
        "entry": "entry-0",
        "began_at": ended_at - 30,
        "ended_at": ended_at,
        "counts": list(counts),
        "histograms": [],
        "fleet": [],
        **fields,
    }


def rollup(record_id, base, through, *counts):
    fields = {"kind": "service-level-rollup", "base": base, "through": through}
    fields |= {"began_at": 0.0, "ended_at": HOUR, "jobs_through": 7}
    return {**summary(record_id, 100.0, *counts), **fields}


def good_and_bad(table):
    return [(c["good"], c["bad"]) for c in merge_counts(table.periods)]


def test_repeated_summary_is_counted_once():
    table = ServiceLevelTable()
    assert table.apply(0, summary("a", 100.0, count(1, 0)))
    assert not table.apply(1, summary("a", 100.0, count(1, 0)))
    assert good_and_bad(table) == [(1, 0)]


def test_job_ends_are_counted_by_one_entry_only():
    table = ServiceLevelTable()
    first = summary("a", 100.0, count(1, 0), jobs_from=-1, jobs_through=7)
    second = summary("b", 100.0, count(1, 0), jobs_from=-1, jobs_through=7)
    assert table.apply(0, first)
    assert not table.apply(1, second)
    assert table.jobs_through == 7


def test_rollup_replaces_its_period_and_a_concurrent_one_is_ignored():
    table = ServiceLevelTable()
    table.apply(0, summary("a", 100.0, count(1, 0)))
    table.apply(1, summary("b", 200.0, count(2, 1, shed=1)))
    table.apply(2, summary("late", 300.0, count(4, 0)))
    merged = count(3, 1, shed=1)
    assert table.apply(3, rollup("c", -1, 1, merged))
    assert not table.apply(4, rollup("d", -1, 1, merged))
    assert good_and_bad(table) == [(7, 1)]
    restored = ServiceLevelTable()
    restored.apply(3, rollup("c", -1, 1, merged))
    assert good_and_bad(restored) == [(3, 1)]
    assert restored.jobs_through == 7
