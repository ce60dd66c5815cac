"""The scores of each policy, day by day, as an SVG picture."""

from html import escape

from sequoiachute.replay.comparison import Day, Row

WIDTH = 640
ROW_HEIGHT = 56
LEFT = 110
MARGIN = 24
DOT_RADIUS = 2.5
LOWEST = -0.5  # scores below it, where prices exceed worth, stand at the edge


def draw_scores(rows: list[Row], days: list[Day]) -> str:
    """Return a picture: a dot for each day, a bar for the mean's interval."""
    height = MARGIN * 2 + ROW_HEIGHT * len(rows)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
        f'viewBox="0 0 {WIDTH} {height}" font-family="sans-serif" font-size="13">',
        f'<rect width="{WIDTH}" height="{height}" fill="white"/>',
    ]
    for tick in (-0.5, 0.0, 0.5, 1.0):
        x = _place(tick)
        parts.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{MARGIN}" y2="{height - MARGIN}" '
            f'stroke="#ddd"/><text x="{x:.1f}" y="{height - 6}" '
            f'text-anchor="middle" fill="#555">{tick:g}</text>'
        )
    for number, row in enumerate(rows):
        parts += _draw_row(row, days, MARGIN + ROW_HEIGHT * (number + 0.5))
    parts.append("</svg>")
    return "\n".join(parts) + "\n"


def _draw_row(row: Row, days: list[Day], y: float) -> list[str]:
    parts = [f'<text x="8" y="{y + 4:.1f}">{escape(row.policy)}</text>']
    for number, day in enumerate(days):
        x = _place(day.played[row.policy].worth.score)
        shift = (number % 7 - 3) * 4  # so that equal scores don't cover each other
        parts.append(
            f'<circle cx="{x:.1f}" cy="{y + shift:.1f}" r="{DOT_RADIUS}" '
            f'fill="#1f6f8b" fill-opacity="0.35"/>'
        )
    error = min(row.score.error, 1.0)
    low, high = _place(row.score.value - error), _place(row.score.value + error)
    middle = _place(row.score.value)
    parts.append(
        f'<rect x="{low:.1f}" y="{y - 16:.1f}" width="{max(1.0, high - low):.1f}" '
        f'height="32" fill="#d1495b" fill-opacity="0.5"/>'
        f'<text x="{middle:.1f}" y="{y - 18:.1f}" text-anchor="middle" '
        f'fill="#a02c3d">{row.score.value:.3f}</text>'
    )
    return parts


def _place(score: float) -> float:
    share = (min(1.0, max(LOWEST, score)) - LOWEST) / (1.0 - LOWEST)
    return LEFT + share * (WIDTH - LEFT - MARGIN)
