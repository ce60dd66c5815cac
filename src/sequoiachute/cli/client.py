"""HTTP client of an entry instance for the command line."""

from typing import Any, NamedTuple

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from sequoiachute.errors import SequoiachuteError
from sequoiachute.status import ExitStatus

CALL_SECONDS = 15.0


class EntryUnreachableError(SequoiachuteError):
    """No entry instance answered."""


class CallRefusedError(SequoiachuteError):
    """The entry refused a call.

    Parameters
    ----------
    status : int
        HTTP status.
    title, remedy : str
        What the entry said.
    ran : bool or None
        Whether anything ran, ``None`` if that is not known.
    """

    def __init__(self, status: int, title: str, remedy: str, ran: bool | None) -> None:
        super().__init__(f"{title} (HTTP {status}); {remedy}")
        self.status = status
        self.ran = ran

    @property
    def exit_status(self) -> ExitStatus:
        """The exit status that tells a script what happened."""
        if self.ran is None:
            return ExitStatus.UNKNOWN_OUTCOME
        if self.status in (429, 503):
            return ExitStatus.UNAVAILABLE
        return ExitStatus.REFUSED


class Reply(NamedTuple):
    """A whole answer."""

    status: int
    headers: Any
    body: bytes

    def json(self) -> Any:
        """Return the body decoded."""
        return msgspec.json.decode(self.body)


class EntryClient:
    """Calls one entry instance, or the balancer before several."""

    def __init__(self, url: str, key: str) -> None:
        self._url = url.rstrip("/")
        self._key = key
        self._pool = urllib3.PoolManager(retries=False)

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float = CALL_SECONDS,
    ) -> Reply:
        """Call ``path``; raise ``CallRefusedError`` or ``EntryUnreachableError``."""
        sent = {"Authorization": f"Bearer {self._key}", **(headers or {})}
        try:
            response = self._pool.request(
                method, self._url + path, body=body, headers=sent, timeout=timeout
            )
        except HTTPError as error:
            reason = f"{self._url} does not answer: {error}"
            remedy = "check --entry and that an entry instance runs"
            raise EntryUnreachableError(f"{reason}; {remedy}") from error
        kind = response.headers.get("Content-Type", "")
        if kind.startswith("application/problem+json"):
            fields = msgspec.json.decode(response.data)
            raise CallRefusedError(
                response.status, fields["title"], fields["remedy"], fields["ran"]
            )
        return Reply(response.status, response.headers, response.data)
