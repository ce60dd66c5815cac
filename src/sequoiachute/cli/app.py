"""The command-line interface and its subcommands."""

from typing import Annotated

import typer

from sequoiachute import __version__
from sequoiachute.cli import caller, daemons, operator, replay, report, settings
from sequoiachute.cli.options import environment_of
from sequoiachute.cli.output import write_line

HELP = "Scheduler for multi-accelerator jobs under client account guarantees."


def create_cli() -> typer.Typer:
    """Return the command-line application with every command."""
    cli = typer.Typer(
        add_completion=False,
        pretty_exceptions_enable=False,
        rich_markup_mode=None,
        help=HELP,
    )
    cli.callback(invoke_without_command=True)(_handle_global_options)
    cli.command()(daemons.entry)
    cli.command()(daemons.agent)
    cli.command()(caller.submit)
    cli.command()(caller.request)
    cli.command()(caller.status)
    cli.command()(caller.result)
    cli.command()(caller.cancel)
    cli.command()(operator.drain)
    cli.command()(operator.restore)
    cli.command()(replay.replay)
    cli.add_typer(_create_catalogue_cli(), name="catalogue")
    cli.add_typer(_create_report_cli(), name="report")
    cli.add_typer(_create_settings_cli(), name="settings")
    return cli


def _handle_global_options(
    context: typer.Context,
    version: Annotated[
        bool, typer.Option("--version", help="Print the version and exit.")
    ] = False,
) -> None:
    if version:
        write_line(environment_of(context), f"sequoiachute {__version__}")
        raise typer.Exit
    _require_command(context)


def _require_command(context: typer.Context) -> None:
    """Print the help and exit with a usage error if no command is given."""
    if context.invoked_subcommand is None:
        environment_of(context).stderr.write(context.get_help() + "\n")
        raise typer.Exit(2)


def _create_catalogue_cli() -> typer.Typer:
    cli = typer.Typer(help="Check, compare, publish and show catalogues.")
    cli.callback(invoke_without_command=True)(_require_command)
    cli.command()(operator.check)
    cli.command()(operator.diff)
    cli.command()(operator.publish)
    cli.command()(operator.show)
    return cli


def _create_report_cli() -> typer.Typer:
    cli = typer.Typer(help="Reports for operators.")
    cli.callback(invoke_without_command=True)(_require_command)
    cli.command()(report.burn)
    return cli


def _create_settings_cli() -> typer.Typer:
    cli = typer.Typer(help="Check settings files.")
    cli.callback(invoke_without_command=True)(_require_command)
    cli.command()(settings.check)
    return cli
