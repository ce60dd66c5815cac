"""Options that several commands share."""

from typing import Annotated

import typer

from sequoiachute.cli.client import EntryClient
from sequoiachute.environment import Environment

EntryOption = Annotated[
    str,
    typer.Option("--entry", envvar="SEQUOIACHUTE_ENTRY", help="URL of an entry."),
]
KeyOption = Annotated[
    str,
    typer.Option("--key", envvar="SEQUOIACHUTE_KEY", help="API key."),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
SettingsOption = Annotated[
    str, typer.Option("--settings", help="Settings file in YAML.")
]

DEFAULT_ENTRY = "http://127.0.0.1:8470"


def environment_of(context: typer.Context) -> Environment:
    """Return the environment passed to ``core.main``."""
    return context.obj


def connect(entry: str, key: str) -> EntryClient:
    """Return a client of the entry at the URL ``entry``."""
    return EntryClient(entry, key)
