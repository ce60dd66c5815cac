"""Reads YAML settings files into typed settings."""

from typing import Annotated, Any, Literal, get_args, get_origin, get_type_hints

import msgspec
from msgspec import Meta

from sequoiachute.errors import SettingsError
from sequoiachute.settings import SECRET
from sequoiachute.yamlfile import YamlFileError, read_yaml_mapping


def load_settings(path: str, settings_type: Any) -> Any:
    """Return the settings in the YAML file ``path``.

    Parameters
    ----------
    path : str
        Settings file in YAML.
    settings_type : NamedTuple type
        Its fields are the keys; fields with a default are optional.

    Raises
    ------
    SettingsError
        If the file is no YAML mapping, or a key is unknown, missing, of a wrong
        type or out of bounds.
    """
    try:
        mapping = read_yaml_mapping(path)
    except YamlFileError as error:
        raise SettingsError(path, "file", error.reason, error.remedy) from error
    return build_settings(path, "", mapping, settings_type)


def build_settings(path: str, prefix: str, mapping: Any, settings_type: Any) -> Any:
    """Return ``mapping`` as ``settings_type``; raise ``SettingsError`` if invalid.

    ``prefix`` is the path of the mapping in the file, ending in a dot.
    """
    if not isinstance(mapping, dict):
        reason = f"expected a mapping, got a {type(mapping).__name__}"
        key = prefix.rstrip(".")
        raise SettingsError(path, key, reason, "write key: value lines")
    field_names = settings_type._fields
    for key in mapping:
        if key not in field_names:
            remedy = f"use one of: {', '.join(field_names)}"
            raise SettingsError(path, f"{prefix}{key}", "unknown key", remedy)
    hints = get_type_hints(settings_type, include_extras=True)
    values = {}
    for key in field_names:
        if key not in mapping:
            if key not in settings_type._field_defaults:
                remedy = f"add the line {key}: …"
                raise SettingsError(path, f"{prefix}{key}", "missing", remedy)
            continue
        values[key] = _build_value(path, f"{prefix}{key}", mapping[key], hints[key])
    return settings_type(**values)


def describe_type(hint: Any) -> str:
    """Describe the values that a key accepts."""
    origin = get_origin(hint)
    arguments = get_args(hint)
    if origin is Annotated:
        for argument in arguments[1:]:
            if isinstance(argument, Meta) and argument.description:
                return argument.description
        return describe_type(arguments[0])
    if origin is Literal:
        return f"one of {', '.join(str(value) for value in arguments)}"
    if origin is tuple:
        return f"a list, each item {describe_type(arguments[0])}"
    if hasattr(hint, "_fields"):
        return f"a mapping of {', '.join(hint._fields)}"
    if hint is bool:
        return "true or false"
    return f"a value of type {getattr(hint, '__name__', hint)}"


def _build_value(path: str, key: str, value: Any, hint: Any) -> Any:
    if hasattr(hint, "_fields"):
        return build_settings(path, f"{key}.", value, hint)
    item_type = _get_item_type(hint)
    if item_type is not None:
        return _build_items(path, key, value, item_type)
    try:
        return msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        reason = "not a valid value" if _is_secret(hint) else f"{value!r} is not valid"
        remedy = f"write {describe_type(hint)}"
        raise SettingsError(path, key, reason, remedy) from error


def _is_secret(hint: Any) -> bool:
    if get_origin(hint) is not Annotated:
        return False
    for argument in get_args(hint)[1:]:
        if isinstance(argument, Meta) and argument.extra == SECRET:
            return True
    return False


def _get_item_type(hint: Any) -> Any:
    """Return the item type of a tuple type, ``None`` for other types."""
    arguments = get_args(hint)
    if get_origin(hint) is tuple and len(arguments) == 2:
        return arguments[0]
    return None


def _build_items(path: str, key: str, value: Any, item_type: Any) -> tuple[Any, ...]:
    if not isinstance(value, list):
        raise SettingsError(path, key, "not a list", "write one item per line after -")
    items = []
    for index, item in enumerate(value):
        items.append(_build_value(path, f"{key}[{index}]", item, item_type))
    return tuple(items)
