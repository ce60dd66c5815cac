"""Reads what callers and operators send; refusals name the remedy."""

import re
from typing import Any

import falcon
import msgspec

from sequoiachute.protocol.strict import convert_strictly
from sequoiachute.transport.web import problem, read_body

MAX_KEY_LENGTH = 256

_KEY = re.compile(r"[!-~]+")
_ETAG = re.compile(r'"?(-?\d{1,18})"?')


def read_json(request: falcon.Request, limit: int, expected: Any) -> tuple[Any, bytes]:
    """Return the JSON body as ``expected``, and its bytes; raise a 4xx."""
    body = read_body(request, limit)
    try:
        return convert_strictly(msgspec.json.decode(body), expected), body
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        remedy = "mend the body; see /openapi.json"
        raise problem(400, f"the body is refused: {error}", remedy) from error


def require_idempotency_key(request: falcon.Request) -> str:
    """Return the idempotency key; raise a 400 if there is none."""
    key = read_idempotency_key(request)
    if not key:
        remedy = "send Idempotency-Key, the same for each repetition"
        raise problem(400, "no idempotency key", remedy)
    return key


def read_idempotency_key(request: falcon.Request) -> str:
    """Return the idempotency key, empty if none was sent; raise a 400."""
    key = request.get_header("Idempotency-Key", default="")
    if key and (len(key) > MAX_KEY_LENGTH or not _KEY.fullmatch(key)):
        remedy = f"send 1 to {MAX_KEY_LENGTH} visible ASCII characters"
        raise problem(400, "Idempotency-Key is refused", remedy)
    return key


def read_base_offset(request: falcon.Request, default: int) -> int:
    """Return the offset in ``If-Match``, or ``default``; raise a 400."""
    text = request.get_header("If-Match")
    if text is None:
        return default
    match = _ETAG.fullmatch(text)
    if match is None:
        remedy = "send the offset that the catalogue was shown with"
        raise problem(400, "If-Match is refused", remedy)
    return int(match[1])
