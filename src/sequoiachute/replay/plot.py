"""Draws the scores of each policy, day by day, as an SVG plot."""

from html import escape

from sequoiachute.replay.comparison import DayComparison, PolicySummary

# Lengths are in pixels.
WIDTH = 640
ROW_HEIGHT = 56
LABEL_WIDTH = 110
MARGIN = 24
DOT_RADIUS = 2.5

MIN_SCORE = -0.5  # lower scores, where lost work costs more, are drawn at the edge


def draw_scores(rows: list[PolicySummary], days: list[DayComparison]) -> str:
    """Return an SVG with a dot for each day and a bar for the mean's interval."""
    height = MARGIN * 2 + ROW_HEIGHT * len(rows)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
        f'viewBox="0 0 {WIDTH} {height}" font-family="sans-serif" font-size="13">',
        f'<rect width="{WIDTH}" height="{height}" fill="white"/>',
    ]
    for tick in (-0.5, 0.0, 0.5, 1.0):
        x = _x_of(tick)
        parts.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{MARGIN}" y2="{height - MARGIN}" '
            f'stroke="#ddd"/><text x="{x:.1f}" y="{height - 6}" '
            f'text-anchor="middle" fill="#555">{tick:g}</text>'
        )
    for number, row in enumerate(rows):
        parts += _draw_row(row, days, MARGIN + ROW_HEIGHT * (number + 0.5))
    parts.append("</svg>")
    return "\n".join(parts) + "\n"


def _draw_row(row: PolicySummary, days: list[DayComparison], y: float) -> list[str]:
    parts = [f'<text x="8" y="{y + 4:.1f}">{escape(row.policy)}</text>']
    for number, day in enumerate(days):
        x = _x_of(day.results[row.policy].scores.score)
        shift = (number % 7 - 3) * 4  # keeps equal scores apart
        parts.append(
            f'<circle cx="{x:.1f}" cy="{y + shift:.1f}" r="{DOT_RADIUS}" '
            f'fill="#1f6f8b" fill-opacity="0.35"/>'
        )
    error = min(row.score.error, 1.0)
    low_x, high_x = _x_of(row.score.value - error), _x_of(row.score.value + error)
    mean_x = _x_of(row.score.value)
    parts.append(
        f'<rect x="{low_x:.1f}" y="{y - 16:.1f}" '
        f'width="{max(1.0, high_x - low_x):.1f}" '
        f'height="32" fill="#d1495b" fill-opacity="0.5"/>'
        f'<text x="{mean_x:.1f}" y="{y - 18:.1f}" text-anchor="middle" '
        f'fill="#a02c3d">{row.score.value:.3f}</text>'
    )
    return parts


def _x_of(score: float) -> float:
    share = (min(1.0, max(MIN_SCORE, score)) - MIN_SCORE) / (1.0 - MIN_SCORE)
    return LABEL_WIDTH + share * (WIDTH - LABEL_WIDTH - MARGIN)
