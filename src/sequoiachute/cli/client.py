"""HTTP client of an entry instance for the command line."""

from typing import Any, NamedTuple
from urllib.parse import quote

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from sequoiachute.errors import SequoiachuteError
from sequoiachute.protocol.api import (
    CatalogueView,
    ChangeView,
    JobsView,
    JobView,
    ProblemView,
)
from sequoiachute.protocol.catalogue import Catalogue
from sequoiachute.protocol.decoder import decode_json
from sequoiachute.protocol.records import JobSpec
from sequoiachute.status import ExitStatus

CALL_TIMEOUT_SECONDS = 20.0
DEADLINE_MARGIN_SECONDS = 5.0
JSON = "application/json"
READ_METHOD = "GET"


class EntryUnreachableError(SequoiachuteError):
    """No entry instance answered, and the call had no effect."""


class OutcomeUnknownError(SequoiachuteError):
    """A call may have taken effect, but no response arrived."""


class CallRefusedError(SequoiachuteError):
    """The entry refused a call.

    Parameters
    ----------
    problem : ProblemView
        Body of the refusal.
    """

    def __init__(self, problem: ProblemView) -> None:
        remedy = problem["remedy"]
        super().__init__(f"{problem['title']} (HTTP {problem['status']}); {remedy}")
        self.problem = problem

    @property
    def exit_status(self) -> ExitStatus:
        """Exit status of a command whose call was refused."""
        if self.problem["ran"] is None:
            return ExitStatus.UNKNOWN_OUTCOME
        if self.problem["status"] in (429, 503):
            return ExitStatus.UNAVAILABLE
        return ExitStatus.REFUSED


class EntryReply(NamedTuple):
    """A complete HTTP response from an entry."""

    status: int
    headers: Any
    body: bytes


class BackendRequest(NamedTuple):
    """A request for a backend server; ``deadline`` is in seconds from now."""

    body: bytes
    content_type: str
    idempotent: bool
    idempotency_key: str
    deadline: float


class EntryClient:
    """Calls one entry instance, or a load balancer in front of several."""

    def __init__(self, url: str, key: str) -> None:
        self._url = url.rstrip("/")
        self._key = key
        self._pool = urllib3.PoolManager(retries=False)

    def submit(self, spec: JobSpec, idempotency_key: str) -> JobView:
        """Submit a job; repeats with the same key return the same job."""
        headers = {"Content-Type": JSON, "Idempotency-Key": idempotency_key}
        reply = self.call("POST", "/v1/jobs", msgspec.json.encode(spec), headers)
        return self._decode(reply, JobView)

    def job(self, job_id: str) -> JobView:
        """Return the state of a job."""
        return self._decode(self.call(READ_METHOD, _job_path(job_id)), JobView)

    def jobs(self) -> list[JobView]:
        """Return every job of the account."""
        return self._decode(self.call(READ_METHOD, "/v1/jobs"), JobsView)["jobs"]

    def cancel(self, job_id: str) -> JobView:
        """Cancel a job."""
        return self._decode(self.call("DELETE", _job_path(job_id)), JobView)

    def request(self, request: BackendRequest) -> EntryReply:
        """Send a request and return the backend server's complete answer."""
        headers = {
            "Content-Type": request.content_type,
            "X-Idempotent": "true" if request.idempotent else "false",
            "X-Deadline-Seconds": str(request.deadline),
            "Idempotency-Key": request.idempotency_key,
        }
        timeout = request.deadline + DEADLINE_MARGIN_SECONDS
        return self.call("POST", "/v1/requests", request.body, headers, timeout)

    def catalogue(self) -> CatalogueView:
        """Return the catalogue in force."""
        return self._decode(self.call(READ_METHOD, "/v1/catalogue"), CatalogueView)

    def publish(self, catalogue: Catalogue, base: int) -> int:
        """Publish a catalogue that replaces the one at ``base``; return its offset."""
        headers = {"Content-Type": JSON, "If-Match": str(base)}
        body = msgspec.json.encode(catalogue)
        reply = self.call("PUT", "/v1/catalogue", body, headers)
        return self._decode(reply, ChangeView)["offset"]

    def switch(self, data_centre: str, action: str) -> int:
        """Drain or restore a data centre; return the offset of the change."""
        path = f"/v1/data-centres/{quote(data_centre, safe='')}/{action}"
        return self._decode(self.call("POST", path), ChangeView)["offset"]

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> EntryReply:
        """Call ``path`` and return the complete response; ``timeout`` in seconds.

        Raises
        ------
        CallRefusedError
            If the entry refused the call.
        EntryUnreachableError
            If no entry received the call, or a read got no valid response.
        OutcomeUnknownError
            If a call that may change state was sent but got no response.
        """
        all_headers = {"Authorization": f"Bearer {self._key}", **(headers or {})}
        timeouts = urllib3.Timeout(connect=CALL_TIMEOUT_SECONDS, read=timeout)
        try:
            response = self._pool.request(
                method,
                self._url + path,
                body=body,
                headers=all_headers,
                timeout=timeouts,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise self._unreachable(error) from error
        except HTTPError as error:
            if method == READ_METHOD:
                raise self._unreachable(error) from error
            reason = f"{self._url} received the call, but no response arrived"
            remedy = "retry with the same --idempotency-key, or check the state"
            raise OutcomeUnknownError(f"{reason}; {remedy}") from error
        self._raise_if_refused(response)
        return EntryReply(response.status, response.headers, response.data)

    def _raise_if_refused(self, response: Any) -> None:
        """Raise if the entry refused the call.

        A backend server's own problem document is an answer, not a refusal.
        """
        media_type = response.headers.get("Content-Type", "")
        is_answer = "X-Attempt-Id" in response.headers
        if is_answer or not media_type.startswith("application/problem+json"):
            return
        try:
            problem = decode_json(response.data, ProblemView)
        except msgspec.DecodeError as error:
            raise self._unreachable(
                f"HTTP {response.status} without a valid problem document"
            ) from error
        raise CallRefusedError(problem)

    def _decode(self, reply: EntryReply, expected: Any) -> Any:
        try:
            return decode_json(reply.body, expected)
        except msgspec.DecodeError as error:
            raise self._unreachable(
                f"HTTP {reply.status} without the expected JSON"
            ) from error

    def _unreachable(self, reason: object) -> EntryUnreachableError:
        remedy = "check --entry and that an entry instance is running"
        return EntryUnreachableError(f"{self._url} gave no answer: {reason}; {remedy}")


def _job_path(job_id: str) -> str:
    return f"/v1/jobs/{quote(job_id, safe='')}"
