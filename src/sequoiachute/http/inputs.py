"""Parses and validates the bodies and headers of HTTP requests."""

import re
from typing import Any

import falcon
import msgspec

from sequoiachute.protocol.decoder import decode_json
from sequoiachute.protocol.strict import convert_strictly
from sequoiachute.transport.web import problem, read_body

MAX_IDEMPOTENCY_KEY_LENGTH = 256

_IDEMPOTENCY_KEY = re.compile(r"[!-~]+")
_ETAG = re.compile(r'"?(-?\d{1,18})"?')


def read_json(request: falcon.Request, limit: int, expected: Any) -> tuple[Any, bytes]:
    """Return the JSON body as type ``expected``, and its raw bytes.

    Raises a 4xx if the body is larger than ``limit`` bytes or doesn't match.
    """
    body = read_body(request, limit)
    try:
        return convert_strictly(decode_json(body), expected), body
    except (msgspec.DecodeError, RecursionError) as error:
        remedy = "correct the body; see /openapi.json"
        raise problem(400, f"the body is not valid: {error}", remedy) from error


def require_idempotency_key(request: falcon.Request) -> str:
    """Return the idempotency key; raise a 400 if it is missing or malformed."""
    key = read_idempotency_key(request)
    if not key:
        remedy = "send Idempotency-Key, with the same value on every retry"
        raise problem(400, "no idempotency key", remedy)
    return key


def read_idempotency_key(request: falcon.Request) -> str:
    """Return the idempotency key, empty if absent; raise a 400 if malformed."""
    key = request.get_header("Idempotency-Key", default="")
    if key and (
        len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not _IDEMPOTENCY_KEY.fullmatch(key)
    ):
        remedy = f"send 1 to {MAX_IDEMPOTENCY_KEY_LENGTH} visible ASCII characters"
        raise problem(400, "Idempotency-Key is not valid", remedy)
    return key


def read_base_offset(request: falcon.Request, default: int) -> int:
    """Return the offset in ``If-Match``, or ``default`` if absent.

    Raises a 400 if the header isn't an offset.
    """
    text = request.get_header("If-Match")
    if text is None:
        return default
    match = _ETAG.fullmatch(text)
    if match is None:
        remedy = "send the offset returned with the catalogue"
        raise problem(400, f"If-Match {text!r} is not an offset", remedy)
    return int(match[1])
