"""Decoding of JSON and MessagePack that another writer may have sent or stored."""

from collections.abc import Callable
from typing import Any

import msgspec


def decode_json(data: bytes | str, expected: Any = Any) -> Any:
    """Return the JSON value in ``data``, converted to the type ``expected``.

    Raises
    ------
    msgspec.DecodeError
        If the data is anything else, or is nested too deeply.
    """
    return _decode(msgspec.json.decode, data, expected)


def decode_msgpack(data: bytes, expected: Any = Any) -> Any:
    """Return the MessagePack value in ``data``, converted to the type ``expected``.

    Raises
    ------
    msgspec.DecodeError
        If the data is anything else, or is nested too deeply.
    """
    return _decode(msgspec.msgpack.decode, data, expected)


def _decode(decode: Callable[..., Any], data: bytes | str, expected: Any) -> Any:
    try:
        return decode(data, type=expected)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply; send fewer levels") from error
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError("invalid text; send UTF-8") from error
