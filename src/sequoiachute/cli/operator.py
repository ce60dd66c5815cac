"""Operators' commands: the catalogue and the data centres in service."""

from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
import yaml

from sequoiachute.cli.options import (
    DEFAULT_ENTRY,
    EntryOption,
    JsonOption,
    KeyOption,
    connect,
    environment_of,
)
from sequoiachute.errors import CatalogueError
from sequoiachute.protocol.catalogue import Catalogue
from sequoiachute.status import ExitStatus

FileArgument = Annotated[str, typer.Argument(help="Catalogue in YAML.")]


def read_catalogue(path: str) -> Catalogue:
    """Return the catalogue in the file; raise ``CatalogueError``."""
    try:
        loaded = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
        return msgspec.convert(loaded, Catalogue)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        raise CatalogueError(f"{path}: {error}; mend the file") from error


def check(context: typer.Context, file: FileArgument) -> ExitStatus:
    """Check a catalogue file without publishing it."""
    read_catalogue(file)
    environment_of(context).stdout.write(f"{file}: valid\n")
    return ExitStatus.OK


def publish(
    context: typer.Context,
    key: KeyOption,
    file: FileArgument,
    base: Annotated[str, typer.Option(help="Offset it was based on.")] = "",
    entry: EntryOption = DEFAULT_ENTRY,
) -> ExitStatus:
    """Publish a catalogue; nothing changes if it is refused."""
    body = msgspec.json.encode(read_catalogue(file))
    headers = {"If-Match": base} if base else {}
    reply = connect(entry, key).call("PUT", "/v1/catalogue", body, headers).json()
    environment_of(context).stdout.write(f"published at offset {reply['offset']}\n")
    return ExitStatus.OK


def show(
    context: typer.Context,
    key: KeyOption,
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Show the catalogue in force."""
    reply: dict[str, Any] = connect(entry, key).call("GET", "/v1/catalogue").json()
    text = yaml.safe_dump(reply, sort_keys=False)
    if as_json:
        text = msgspec.json.encode(reply).decode() + "\n"
    environment_of(context).stdout.write(text)
    return ExitStatus.OK


def drain(
    context: typer.Context,
    key: KeyOption,
    data_centre: str,
    entry: EntryOption = DEFAULT_ENTRY,
) -> ExitStatus:
    """Take a data centre out of service."""
    return _switch(context, connect(entry, key), data_centre, "drain")


def restore(
    context: typer.Context,
    key: KeyOption,
    data_centre: str,
    entry: EntryOption = DEFAULT_ENTRY,
) -> ExitStatus:
    """Bring a data centre back into service."""
    return _switch(context, connect(entry, key), data_centre, "restore")


def _switch(
    context: typer.Context, client: Any, data_centre: str, verb: str
) -> ExitStatus:
    reply = client.call("POST", f"/v1/data-centres/{data_centre}/{verb}").json()
    text = f"{verb} of {data_centre} recorded at offset {reply['offset']}\n"
    environment_of(context).stdout.write(text)
    return ExitStatus.OK
