"""JSON responses of the HTTP interfaces for callers and workers."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class HttpReply(NamedTuple):
    """An HTTP response to a caller.

    ``retry_after`` is in seconds; 0 sends no ``Retry-After`` header.
    """

    status: int
    body: dict[str, Any] = {}
    retry_after: float = 0.0


_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def write_reply(reply: HttpReply, start_response: StartResponse) -> list[bytes]:
    """Start the response and return its body."""
    body = msgspec.json.encode(reply.body)
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    if reply.retry_after:
        headers.append(("Retry-After", str(max(1, round(reply.retry_after)))))
    start_response(f"{reply.status} {_REASON_PHRASES[reply.status]}", headers)
    return [body]
