"""Commands for settings files."""

from typing import Annotated, Literal

import typer

from sequoiachute.cli.options import environment_of
from sequoiachute.settings_checks import load_agent_settings, load_entry_settings
from sequoiachute.status import ExitStatus

_LOADERS = {"entry": load_entry_settings, "agent": load_agent_settings}


def check(
    context: typer.Context,
    role: Annotated[
        Literal["entry", "agent"], typer.Argument(help="Process that reads the file.")
    ],
    file: Annotated[str, typer.Argument(help="Settings file in YAML.")],
) -> ExitStatus:
    """Check a settings file and report the first error."""
    _LOADERS[role](file)
    environment_of(context).stdout.write(f"{file}: valid\n")
    return ExitStatus.OK
