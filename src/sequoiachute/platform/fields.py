"""Checks of decoded fields, which another writer may have filled with anything."""

from typing import Any

MAX_WHOLE = 2**53 - 1  # largest whole number that every JSON reader keeps exactly


class FieldError(ValueError):
    """A field is missing or invalid; the message names the remedy."""


def whole(value: Any) -> int:
    """Return ``value`` if it is a whole number from 0 to ``MAX_WHOLE``."""
    if type(value) is not int or not 0 <= value <= MAX_WHOLE:
        raise FieldError(f"send a whole number from 0 to {MAX_WHOLE}")
    return value


def number(value: Any) -> float:
    """Return ``value`` if it is a number from 0 to ``MAX_WHOLE``."""
    if type(value) not in (int, float) or not 0 <= value <= MAX_WHOLE:
        raise FieldError(f"send a number from 0 to {MAX_WHOLE}")
    return float(value)


def text(value: Any) -> str:
    """Return ``value`` if it is a string."""
    if not isinstance(value, str):
        raise FieldError("send a string")
    return value


def texts(value: Any) -> tuple[str, ...]:
    """Return the items of ``value`` if it is a list of strings."""
    return tuple(text(item) for item in items(value))


def items(value: Any) -> list[Any]:
    """Return ``value`` if it is a list."""
    if not isinstance(value, list):
        raise FieldError("send a list")
    return value


def fields(value: Any) -> dict[str, Any]:
    """Return ``value`` if it is an object."""
    if not isinstance(value, dict):
        raise FieldError("send an object")
    return value


def required(body: dict[str, Any], name: str) -> Any:
    """Return the field ``name`` of ``body``."""
    if name not in body:
        raise FieldError(f"send {name}")
    return body[name]
