"""HTTP client for the platform's services."""

from typing import Any, NamedTuple

import eventlet
import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from sequoiachute.protocol.decoder import decode_json
from sequoiachute.transport.address import ADDRESS_REMEDY, parse_address

# Connecting takes a few ms; TCP resends a lost SYN only after 1 s.
CONNECT_TIMEOUT_SECONDS = 0.5
DEFAULT_POOL_SIZE = 32


class HttpResponse(NamedTuple):
    """A complete HTTP response."""

    status: int
    headers: Any
    body: bytes


class HttpFailure(NamedTuple):
    """Why there is no complete response.

    ``sent`` is false if the request was certainly not sent.
    """

    reason: str
    sent: bool


class HttpClient:
    """Calls one address over pooled connections.

    Parameters
    ----------
    pool_size : int
        Number of connections kept open for reuse.
    """

    def __init__(self, address: str, pool_size: int = DEFAULT_POOL_SIZE) -> None:
        self._endpoint = parse_address(address)
        self._pool_size = pool_size
        self._pool = self._create_pool()

    def call(
        self,
        method: str,
        path: str,
        timeout: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> HttpResponse | HttpFailure:
        """Return the response, or why none was complete in time.

        Connecting takes at most ``CONNECT_TIMEOUT_SECONDS`` of its own; the
        response must be complete within ``timeout`` seconds of that.
        """
        if self._pool is None:
            return HttpFailure(f"no address; {ADDRESS_REMEDY}", False)
        connect = min(CONNECT_TIMEOUT_SECONDS, timeout)
        timeouts = urllib3.Timeout(connect=connect, read=timeout)
        pool = self._pool
        try:
            with eventlet.Timeout(timeout + connect, False):
                response = pool.urlopen(
                    method, path, body=body, headers=headers or {}, timeout=timeouts
                )
                return HttpResponse(response.status, response.headers, response.data)
        except (NewConnectionError, ConnectTimeoutError) as error:
            return HttpFailure(f"no connection: {type(error).__name__}", False)
        except HTTPError as error:
            self._replace(pool)
            return HttpFailure(type(error).__name__, True)
        self._replace(pool)
        return HttpFailure(f"no answer within {timeout:.2f} s", True)

    def _create_pool(self) -> urllib3.HTTPConnectionPool | None:
        if self._endpoint is None:
            return None
        return urllib3.HTTPConnectionPool(
            *self._endpoint, maxsize=self._pool_size, block=False, retries=False
        )

    def _replace(self, pool: urllib3.HTTPConnectionPool) -> None:
        """Drop idle connections: they may be as silent as the one that was used."""
        if pool is self._pool:
            self._pool = self._create_pool()
            pool.close()


def json_headers(**extra: str) -> dict[str, str]:
    """Return the headers of a request with a JSON body."""
    return {"Content-Type": "application/json", **extra}


def decode_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object; return an empty one if the body is anything else."""
    try:
        value = decode_json(body)
    except msgspec.DecodeError:
        return {}
    return value if isinstance(value, dict) else {}


def read_reason(body: bytes) -> str:
    """Return the field ``reason`` of a refusal, empty if it has none."""
    reason = decode_object(body).get("reason")
    return reason if isinstance(reason, str) else ""
