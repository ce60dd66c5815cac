"""Commands that print operators' reports."""

from pathlib import Path
from typing import Annotated, Literal

import typer

from sequoiachute.cli.options import (
    DEFAULT_ENTRY,
    EntryOption,
    JsonOption,
    KeyOption,
    connect,
    environment_of,
)
from sequoiachute.status import ExitStatus


def burn(
    context: typer.Context,
    key: KeyOption,
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
    html: Annotated[str, typer.Option(help="Write an HTML page to FILE.")] = "",
) -> ExitStatus:
    """Report error budgets, burn rates and their causes."""
    client = connect(entry, key)
    if html:
        Path(html).write_bytes(_fetch_report(client, "html"))
        return ExitStatus.OK
    text = _fetch_report(client, "json" if as_json else "text").decode()
    environment_of(context).stdout.write(text.rstrip("\n") + "\n")
    return ExitStatus.OK


def _fetch_report(client, report_format: Literal["json", "text", "html"]) -> bytes:
    return client.call("GET", f"/v1/report/burn?format={report_format}").body
