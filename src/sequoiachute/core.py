"""Runs one command line and maps every error to an exit status."""

from collections.abc import Sequence
from traceback import format_exc

import typer
from typer.exceptions import Abort, TyperException

from sequoiachute.cli.app import create_cli
from sequoiachute.cli.client import (
    CallRefusedError,
    EntryUnreachableError,
    OutcomeUnknownError,
)
from sequoiachute.environment import Environment
from sequoiachute.errors import (
    CatalogueError,
    SequoiachuteError,
    SettingsError,
    describe_failure,
)
from sequoiachute.status import ExitStatus

PROGRAM_NAME = "sequoiachute"
TRACEBACK_VARIABLE = "SEQUOIACHUTE_TRACEBACK"


def main(arguments: Sequence[str], environment: Environment) -> ExitStatus:
    """Run the command line ``arguments`` and return the exit status."""
    command = typer.main.get_command(create_cli())
    try:
        status = command.main(
            args=list(arguments),
            prog_name=PROGRAM_NAME,
            standalone_mode=False,
            obj=environment,
        )
    except Exception as error:
        if environment.variables.get(TRACEBACK_VARIABLE):
            environment.stderr.write(format_exc())
        message, exit_status = _describe_error(error)
        environment.stderr.write(f"{PROGRAM_NAME}: error: {message}\n")
        return exit_status
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    return ExitStatus(status or ExitStatus.OK)


def _describe_error(error: Exception) -> tuple[str, ExitStatus]:
    """Return the message and exit status that an error is reported with."""
    if isinstance(error, Abort):
        return "interrupted", ExitStatus.INTERRUPTED
    if isinstance(error, TyperException):
        return str(error), ExitStatus.USAGE
    if isinstance(error, SettingsError | CatalogueError):
        return str(error), ExitStatus.INVALID_INPUT
    if isinstance(error, EntryUnreachableError):
        return str(error), ExitStatus.UNAVAILABLE
    if isinstance(error, OutcomeUnknownError):
        return str(error), ExitStatus.UNKNOWN_OUTCOME
    if isinstance(error, CallRefusedError):
        return str(error), error.exit_status
    if isinstance(error, SequoiachuteError | OSError):
        return str(error), ExitStatus.ERROR
    remedy = f"report it, with {TRACEBACK_VARIABLE}=1 for its traceback"
    return f"internal error: {describe_failure(error)}; {remedy}", ExitStatus.INTERNAL
