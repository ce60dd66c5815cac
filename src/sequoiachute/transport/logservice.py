"""HTTP client of the platform's log service."""

from typing import NamedTuple

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from sequoiachute.errors import LogUnavailableError
from sequoiachute.protocol.decoder import decode_json
from sequoiachute.transport.ports import LogEntry, LogPage

CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 2.0
MAX_POOLED_CONNECTIONS = 8
MAX_RECORDS_PER_READ = 1000


class _WireRecord(NamedTuple):
    offset: int
    appended_at: float
    data: str


class _WirePage(NamedTuple):
    first: int
    next: int
    records: tuple[_WireRecord, ...]


class LogServiceClient:
    """Appends to and reads from the log service at ``url``.

    Appends are never retried here: after a lost reply the append may have taken
    effect, and only the caller can find out, by reading the log back.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(maxsize=MAX_POOLED_CONNECTIONS, retries=False)

    def append(self, stream: str, records: list[bytes]) -> int:
        """Append ``records`` and return the offset of the first.

        Raises
        ------
        LogUnavailableError
            If there is no usable reply; ``maybe_applied`` is true if the append
            may have taken effect.
        """
        body = msgspec.json.encode([record.decode() for record in records])
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=READ_TIMEOUT_SECONDS
        )
        url = f"{self._url}/streams/{stream}"
        try:
            response = self._pool.request("POST", url, body=body, timeout=timeout)
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise LogUnavailableError(_describe_error(error)) from error
        except HTTPError as error:
            raise LogUnavailableError(
                _describe_error(error), maybe_applied=True
            ) from error
        if response.status >= 500:
            reason = f"append answered {response.status}"
            raise LogUnavailableError(reason, maybe_applied=True)
        if response.status != 200:
            raise LogUnavailableError(f"append answered {response.status}")
        try:
            return decode_json(response.data, int)
        except msgspec.DecodeError as error:
            raise LogUnavailableError("invalid reply", maybe_applied=True) from error

    def read(self, stream: str, offset: int, wait: float) -> LogPage:
        """Return at most ``MAX_RECORDS_PER_READ`` records from ``offset`` on.

        If there are none yet, wait up to ``wait`` seconds for one.

        Raises
        ------
        LogUnavailableError
            If there is no usable reply.
        """
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=READ_TIMEOUT_SECONDS + wait
        )
        url = f"{self._url}/streams/{stream}"
        fields = {
            "from": str(offset),
            "wait": str(wait),
            "limit": str(MAX_RECORDS_PER_READ),
        }
        try:
            response = self._pool.request("GET", url, fields=fields, timeout=timeout)
        except HTTPError as error:
            raise LogUnavailableError(_describe_error(error)) from error
        if response.status != 200:
            raise LogUnavailableError(f"read answered {response.status}")
        try:
            page = decode_json(response.data, _WirePage)
        except msgspec.DecodeError as error:
            raise LogUnavailableError("invalid reply") from error
        entries = []
        for record in page.records:
            entries.append(
                LogEntry(record.offset, record.appended_at, record.data.encode())
            )
        return LogPage(page.first, page.next, tuple(entries))


def _describe_error(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"
