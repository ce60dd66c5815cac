"""Formats the burn report as one self-contained HTML page."""

from datetime import UTC, datetime
from html import escape
from importlib.resources import files

from sequoiachute.report.burn import BurnReport, FleetUseRow, ObjectiveBurn
from sequoiachute.report.text import format_duration

# Lengths are in pixels.
BAR_WIDTH = 160
PLOT_HEIGHT = 44
COLUMN_WIDTH = 26

FULL_COLUMN_BURN_RATE = 14.4  # higher burn rates are cut off in the plot
WINDOW_NAMES = ("5m", "30m", "1h", "6h", "3d")


def format_html(report: BurnReport) -> str:
    """Return the report as an HTML page that loads no other resources."""
    template = files("sequoiachute.report").joinpath("page.html").read_text("utf-8")
    at = datetime.fromtimestamp(report.at, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
    fields = {
        "at": at,
        "days": f"{report.period_seconds / 86400:g}",
        "objectives": "\n".join(_objective_row(burn) for burn in report.objectives),
        "completions": "\n".join(_completion_rows(report)),
        "fleet": "\n".join(_fleet_row(use) for use in report.fleet),
    }
    page = template
    for name, text in fields.items():
        page = page.replace("{{" + name + "}}", text)
    return page


def _objective_row(burn: ObjectiveBurn) -> str:
    causes = ", ".join(f"{cause} {number}" for cause, number in burn.causes)
    cells = (
        escape(burn.account),
        escape(burn.job_class),
        escape(burn.objective),
        f"{burn.target:.2%}",
        f"{burn.bad} of {burn.good + burn.bad}",
        _budget_bar(burn.spent),
        _rate_plot(burn),
        format_duration(burn.seconds_left),
        f'<b class="{burn.severity}">{burn.severity or "ok"}</b>',
        escape(causes) or "–",
    )
    return _table_row(cells)


def _budget_bar(spent: float) -> str:
    filled = min(1.0, spent) * BAR_WIDTH
    style = "over" if spent >= 1 else "spent"
    return (
        f'<svg width="{BAR_WIDTH}" height="16" role="img" '
        f'aria-label="{spent:.0%} of the budget spent">'
        f'<rect width="{BAR_WIDTH}" height="16" class="budget"/>'
        f'<rect width="{filled:.1f}" height="16" class="{style}"/></svg> {spent:.0%}'
    )


def _rate_plot(burn: ObjectiveBurn) -> str:
    width = COLUMN_WIDTH * len(burn.windows)
    parts = [f'<svg width="{width}" height="{PLOT_HEIGHT + 14}" role="img">']
    for index, window in enumerate(burn.windows):
        height = min(1.0, window.burn_rate / FULL_COLUMN_BURN_RATE) * PLOT_HEIGHT
        x = index * COLUMN_WIDTH
        style = "over" if window.burn_rate >= 1 else "spent"
        parts.append(
            f'<rect x="{x + 4}" y="{PLOT_HEIGHT - height:.1f}" width="18" '
            f'height="{height:.1f}" class="{style}">'
            f"<title>{window.burn_rate:.2f}</title></rect>"
        )
        parts.append(
            f'<text x="{x + 13}" y="{PLOT_HEIGHT + 11}">{WINDOW_NAMES[index]}</text>'
        )
    parts.append(f'<path d="M0 {PLOT_HEIGHT}H{width}"/></svg>')
    return "".join(parts)


def _completion_rows(report: BurnReport) -> list[str]:
    longest = max((times.p99 for times in report.completions), default=0.0)
    rows = []
    for times in report.completions:
        scale = BAR_WIDTH / longest if longest else 0.0
        bar = (
            f'<svg width="{BAR_WIDTH}" height="16">'
            f'<rect width="{times.p99 * scale:.1f}" height="16" class="budget"/>'
            f'<rect width="{times.p50 * scale:.1f}" height="16" class="median"/></svg>'
        )
        cells = (
            escape(times.job_class),
            times.work,
            str(times.count),
            f"{times.p50:.3f} s",
            f"{times.p99:.3f} s",
            bar,
        )
        rows.append(_table_row(cells))
    return rows


def _fleet_row(use: FleetUseRow) -> str:
    total = sum(seconds for _, seconds in use.work)
    parts = []
    for name, seconds in use.work:
        share = seconds / total if total else 0.0
        parts.append(f"{escape(name)} {seconds:.0f} s ({share:.0%})")
    cells = (
        escape(", ".join(use.out)) or "none",
        format_duration(use.seconds),
        f"{use.unusable_share:.1%}",
        ", ".join(parts) or "–",
    )
    return _table_row(cells)


def _table_row(cells: tuple[str, ...]) -> str:
    return "<tr>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>"
