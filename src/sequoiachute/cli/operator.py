"""Operators' commands for the catalogue and the data centres in service."""

from typing import Annotated

import typer
import yaml

from sequoiachute.cli.difference import Change, compare_catalogues, format_change
from sequoiachute.cli.options import (
    DEFAULT_ENTRY,
    EntryOption,
    JsonOption,
    KeyOption,
    connect,
    environment_of,
)
from sequoiachute.cli.output import write_json, write_line, write_note
from sequoiachute.environment import Environment
from sequoiachute.errors import CatalogueError
from sequoiachute.protocol.catalogue import Catalogue
from sequoiachute.protocol.catalogue_check import check_catalogue
from sequoiachute.status import ExitStatus
from sequoiachute.yamlfile import YamlFileError, read_yaml_mapping

FileArgument = Annotated[str, typer.Argument(help="Catalogue in YAML.")]
DataCentreArgument = Annotated[str, typer.Argument(help="Name of the data centre.")]
BASE_IN_FORCE = -2  # not a log offset; -1 is before the first record


def read_catalogue(path: str) -> Catalogue:
    """Return the catalogue in the file; raise ``CatalogueError`` if invalid."""
    try:
        return check_catalogue(read_yaml_mapping(path))
    except (YamlFileError, CatalogueError) as error:
        raise CatalogueError(f"{path}: {error}") from error


def check(
    context: typer.Context, file: FileArgument, as_json: JsonOption = False
) -> ExitStatus:
    """Check a catalogue file without publishing it."""
    catalogue = read_catalogue(file)
    if as_json:
        write_json(environment_of(context), catalogue)
    else:
        write_line(environment_of(context), f"{file}: valid")
    return ExitStatus.OK


def diff(
    context: typer.Context,
    key: KeyOption,
    file: FileArgument,
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Show the changes that publishing a file would make."""
    environment = environment_of(context)
    catalogue = read_catalogue(file)
    current = connect(entry, key).catalogue()
    changes = compare_catalogues(current["catalogue"], catalogue)
    if as_json:
        body = [change._asdict() for change in changes]
        write_json(environment, {"offset": current["offset"], "changes": body})
        return ExitStatus.OK
    _write_changes(environment, changes)
    write_note(environment, f"publish with --base {current['offset']}")
    return ExitStatus.OK


def publish(
    context: typer.Context,
    key: KeyOption,
    file: FileArgument,
    base: Annotated[
        int, typer.Option(help="Offset shown by diff; the current one if absent.")
    ] = BASE_IN_FORCE,
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Publish a catalogue; nothing changes if it is refused."""
    environment = environment_of(context)
    catalogue = read_catalogue(file)
    client = connect(entry, key)
    if base == BASE_IN_FORCE:
        current = client.catalogue()
        base = current["offset"]
        if not as_json:
            _write_changes(
                environment, compare_catalogues(current["catalogue"], catalogue)
            )
    offset = client.publish(catalogue, base)
    if as_json:
        write_json(environment, {"offset": offset, "base": base})
    else:
        write_line(environment, f"published at offset {offset}")
    return ExitStatus.OK


def show(
    context: typer.Context,
    key: KeyOption,
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Show the catalogue in force, in the format that publish accepts."""
    environment = environment_of(context)
    current = connect(entry, key).catalogue()
    if as_json:
        write_json(environment, current)
        return ExitStatus.OK
    out_of_service = ", ".join(current["out_of_service"]) or "none"
    write_line(
        environment, f"# offset {current['offset']}, out of service: {out_of_service}"
    )
    environment.stdout.write(yaml.safe_dump(current["catalogue"], sort_keys=False))
    return ExitStatus.OK


def drain(
    context: typer.Context,
    key: KeyOption,
    data_centre: DataCentreArgument,
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Take a data centre out of service."""
    offset = connect(entry, key).switch(data_centre, "drain")
    return _write_switch(context, data_centre, "out of service", offset, as_json)


def restore(
    context: typer.Context,
    key: KeyOption,
    data_centre: DataCentreArgument,
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Return a data centre to service."""
    offset = connect(entry, key).switch(data_centre, "restore")
    return _write_switch(context, data_centre, "in service", offset, as_json)


def _write_switch(
    context: typer.Context, data_centre: str, state: str, offset: int, as_json: bool
) -> ExitStatus:
    environment = environment_of(context)
    if as_json:
        body = {"data_centre": data_centre, "state": state, "offset": offset}
        write_json(environment, body)
    else:
        write_line(environment, f"{data_centre} is {state} from offset {offset}")
    return ExitStatus.OK


def _write_changes(environment: Environment, changes: list[Change]) -> None:
    for change in changes:
        write_line(environment, format_change(change))
    if not changes:
        write_line(environment, "no change")
