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
    scene = load_site(site)
    if load is not None:
        scene = scene.with_load(load)
    progress = ProgressLine(environment)
    played = []
    try:
        for index in range(days):
            progress.show(f"day {index + 1} of {days}")
            played.append(play_day(scene, seed + index, POLICIES))
    finally:
        progress.end()
    rows = compare(played)
    if plot:
        Path(plot).write_text(draw_scores(rows, played), encoding="utf-8")
    write_line(environment, format_table(rows, played))
    return ExitStatus.OK
