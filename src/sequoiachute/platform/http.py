"""HTTP calls to one address of the platform."""

from typing import Any, NamedTuple

import eventlet
import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

CONNECT_SECONDS = 0.5  # a link takes some ms; the first packet is sent again after 1 s
POOL_SIZE = 32


class HttpAnswer(NamedTuple):
    """A whole answer."""

    status: int
    headers: Any
    body: bytes


class HttpFailure(NamedTuple):
    """No whole answer; ``sent`` is false if the call was certainly not made."""

    reason: str
    sent: bool


class HttpCaller:
    """Calls one address over pooled connections."""

    def __init__(self, address: str, size: int = POOL_SIZE) -> None:
        host, _, port = address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=size, block=False, retries=False
        )

    def call(
        self,
        method: str,
        path: str,
        timeout: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> HttpAnswer | HttpFailure:
        """Return the answer, if it is whole within ``timeout`` seconds."""
        connect = min(CONNECT_SECONDS, timeout)
        limits = urllib3.Timeout(connect=connect, read=timeout)
        late = HttpFailure(f"no answer within {timeout:.2f} s", True)
        try:
            with eventlet.Timeout(timeout + connect, False):
                answer = self._pool.urlopen(
                    method, path, body=body, headers=headers or {}, timeout=limits
                )
                return HttpAnswer(answer.status, answer.headers, answer.data)
        except (NewConnectionError, ConnectTimeoutError) as error:
            return HttpFailure(f"no connection: {type(error).__name__}", False)
        except HTTPError as error:
            return HttpFailure(type(error).__name__, True)
        return late


def json_headers(**more: str) -> dict[str, str]:
    """Return the headers of a call with a JSON body."""
    return {"Content-Type": "application/json", **more}


def decode_object(body: bytes) -> dict[str, Any]:
    """Return a JSON object, empty if the body is none."""
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return {}
    return value if isinstance(value, dict) else {}
