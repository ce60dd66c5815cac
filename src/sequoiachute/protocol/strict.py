"""Strict conversion of user input, which refuses unknown keys."""

from types import UnionType
from typing import Any, NotRequired, Union, get_args, get_origin, get_type_hints

import msgspec


def convert_strictly(value: Any, expected: Any) -> Any:
    """Convert ``value`` to the type ``expected``.

    Raises
    ------
    msgspec.ValidationError
        If a key is unknown or missing, or a value is of the wrong type or out of
        bounds. The message contains the path of the key.
    """
    _refuse_unknown_keys(value, expected, "$")
    return msgspec.convert(value, expected)


def _refuse_unknown_keys(value: Any, expected: Any, path: str) -> None:
    origin = get_origin(expected)
    arguments = get_args(expected)
    if origin is NotRequired:
        _refuse_unknown_keys(value, arguments[0], path)
        return
    if origin is list and isinstance(value, list):
        for index, item in enumerate(value):
            _refuse_unknown_keys(item, arguments[0], f"{path}[{index}]")
        return
    if origin is dict and isinstance(value, dict):
        for key, item in value.items():
            _refuse_unknown_keys(item, arguments[1], f"{path}.{key}")
        return
    if origin in (Union, UnionType) or not isinstance(value, dict):
        return
    if not hasattr(expected, "__required_keys__"):
        return
    hints = get_type_hints(expected, include_extras=True)
    for key, item in value.items():
        if key not in hints:
            remedy = f"use one of: {', '.join(hints)}"
            reason = f"unknown key `{key}`; {remedy} - at `{path}`"
            raise msgspec.ValidationError(reason)
        _refuse_unknown_keys(item, hints[key], f"{path}.{key}")
