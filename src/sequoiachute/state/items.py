"""Conversion of ``NamedTuple`` state to snapshot items, by field name, and back."""

from typing import Any, TypeVar

import msgspec

State = TypeVar("State")


def to_item(state: Any) -> dict[str, Any]:
    """Return the fields of a ``NamedTuple`` by name."""
    return state._asdict()


def from_item(state_type: type[State], item: Any) -> State:
    """Return ``item`` as ``state_type``; raise ``msgspec.ValidationError``.

    Fields that this version does not know are ignored; missing fields take their
    default.
    """
    values = []
    for name in state_type._fields:
        if name in item:
            values.append(item[name])
            continue
        if name not in state_type._field_defaults:
            raise msgspec.ValidationError(f"field {name!r} is missing")
        values.append(state_type._field_defaults[name])
    return msgspec.convert(values, state_type)
