"""Command that replays generated load through the placement policies."""

from pathlib import Path
from typing import Annotated

import typer

from sequoiachute.cli.options import environment_of
from sequoiachute.cli.output import ProgressLine, write_line
from sequoiachute.replay.comparison import compare, format_table, play_day
from sequoiachute.replay.plot import draw_scores
from sequoiachute.replay.policies import POLICIES
from sequoiachute.replay.site import load_site
from sequoiachute.status import ExitStatus


def replay(
    context: typer.Context,
    site: Annotated[str, typer.Argument(help="Site and load file in YAML.")],
    days: Annotated[
        int, typer.Option(min=1, help="Number of days, each with its own seed.")
    ] = 40,
    seed: Annotated[int, typer.Option(min=0, help="First seed.")] = 0,
    load: Annotated[
        float | None, typer.Option(min=0.01, help="Replaces the load of the site file.")
    ] = None,
    plot: Annotated[str, typer.Option(help="Write an SVG plot to FILE.")] = "",
) -> ExitStatus:
    """Simulate seeded days under each policy and compare the service levels."""
    environment = environment_of(context)
    loaded_site = load_site(site)
    if load is not None:
        loaded_site = loaded_site.with_load(load)
    progress = ProgressLine(environment)
    results = []
    try:
        for index in range(days):
            progress.show(f"day {index + 1} of {days}")
            results.append(play_day(loaded_site, seed + index, POLICIES))
    finally:
        progress.end()
    rows = compare(results)
    if plot:
        Path(plot).write_text(draw_scores(rows, results), encoding="utf-8")
    write_line(environment, format_table(rows, results))
    return ExitStatus.OK
