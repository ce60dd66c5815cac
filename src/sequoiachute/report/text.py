"""Formats the burn report as plain text for a terminal."""

from datetime import UTC, datetime

from sequoiachute.report.burn import BurnReport, ObjectiveBurn

_HEADINGS = (
    "account",
    "class",
    "objective",
    "target",
    "good",
    "bad",
    "spent",
    "burn 1h",
    "left",
    "alert",
    "spent by",
)
RATE_WINDOW_INDEX = 2  # of the one-hour window


def format_text(report: BurnReport) -> str:
    """Return the report as aligned text tables."""
    at = datetime.fromtimestamp(report.at, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
    days = report.period_seconds / 86400
    lines = [f"Service-level burn at {at}, error budgets over {days:g} days", ""]
    rows = [_HEADINGS]
    for burn in report.objectives:
        rows.append(_objective_row(burn))
    lines += _align(rows)
    lines += ["", "Completion time in seconds", ""]
    rows = [("class", "work", "count", "p50", "p99")]
    for times in report.completions:
        rows.append(
            (
                times.job_class,
                times.work,
                str(times.count),
                f"{times.p50:.3f}",
                f"{times.p99:.3f}",
            )
        )
    lines += _align(rows)
    lines += ["", "Accelerators", ""]
    rows = [
        ("out of service", "for", "unusable of free", "work in accelerator-seconds")
    ]
    for line in report.fleet:
        work = ", ".join(f"{name} {seconds:.0f}" for name, seconds in line.work)
        out = ", ".join(line.out) or "none"
        unusable = f"{line.unusable_share:.1%}"
        rows.append((out, format_duration(line.seconds), unusable, work))
    lines += _align(rows)
    return "\n".join(lines) + "\n"


def format_duration(seconds: float | None) -> str:
    """Return a duration in the largest unit of which it is at least one."""
    if seconds is None:
        return "-"
    for unit, length in (("d", 86400), ("h", 3600), ("min", 60)):
        if seconds >= length:
            return f"{seconds / length:.1f} {unit}"
    return f"{seconds:.0f} s"


def _objective_row(burn: ObjectiveBurn) -> tuple[str, ...]:
    causes = ", ".join(f"{cause} {number}" for cause, number in burn.causes)
    return (
        burn.account,
        burn.job_class,
        burn.objective,
        f"{burn.target:.3%}",
        str(burn.good),
        str(burn.bad),
        f"{burn.spent:.1%}",
        f"{burn.windows[RATE_WINDOW_INDEX].burn_rate:.1f}",
        format_duration(burn.seconds_left),
        burn.severity or "-",
        causes or "-",
    )


def _align(rows: list[tuple[str, ...]]) -> list[str]:
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return lines
