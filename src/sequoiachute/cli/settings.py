"""Commands for settings files."""

from typing import Annotated, Literal

import typer

from sequoiachute.cli.options import environment_of
from sequoiachute.settings import AgentSettings, EntrySettings, load_settings
from sequoiachute.status import ExitStatus

_TYPES = {"entry": EntrySettings, "agent": AgentSettings}


def check(
    context: typer.Context,
    role: Annotated[Literal["entry", "agent"], typer.Argument(help="Whose settings.")],
    file: Annotated[str, typer.Argument(help="Settings file in YAML.")],
) -> ExitStatus:
    """Check a settings file and name what is wrong with it."""
    load_settings(file, _TYPES[role])
    environment_of(context).stdout.write(f"{file}: valid\n")
    return ExitStatus.OK
