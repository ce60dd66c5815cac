"""The command line."""

import typer

from sequoiachute.cli import caller, daemons, operator, report, settings


def create_cli() -> typer.Typer:
    """Return the command line with every command."""
    cli = typer.Typer(
        no_args_is_help=True,
        add_completion=False,
        pretty_exceptions_enable=False,
        rich_markup_mode=None,
        help="Scheduler for multi-accelerator jobs under client account guarantees.",
    )
    cli.command()(daemons.entry)
    cli.command()(daemons.agent)
    cli.command()(caller.submit)
    cli.command()(caller.request)
    cli.command()(caller.status)
    cli.command()(caller.result)
    cli.command()(caller.cancel)
    cli.command()(operator.drain)
    cli.command()(operator.restore)
    cli.add_typer(_create_catalogue_cli(), name="catalogue")
    cli.add_typer(_create_report_cli(), name="report")
    cli.add_typer(_create_settings_cli(), name="settings")
    return cli


def _create_catalogue_cli() -> typer.Typer:
    cli = typer.Typer(no_args_is_help=True, help="Check, publish and show catalogues.")
    cli.command()(operator.check)
    cli.command()(operator.publish)
    cli.command()(operator.show)
    return cli


def _create_report_cli() -> typer.Typer:
    cli = typer.Typer(no_args_is_help=True, help="Reports for operators.")
    cli.callback()(lambda: None)
    cli.command()(report.burn)
    return cli


def _create_settings_cli() -> typer.Typer:
    cli = typer.Typer(no_args_is_help=True, help="Check settings files.")
    cli.callback()(lambda: None)
    cli.command()(settings.check)
    return cli
