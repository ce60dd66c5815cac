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
from sequoiachute.protocol.records import JobSpec
from sequoiachute.status import ExitStatus

CALL_SECONDS = 20.0
DEADLINE_MARGIN_SECONDS = 5.0
JSON = "application/json"
READ = "GET"


class EntryUnreachableError(SequoiachuteError):
    """No entry instance answered, and nothing can have come of the call."""


class OutcomeUnknownError(SequoiachuteError):
    """A call may have taken effect, but its answer did not arrive."""


class CallRefusedError(SequoiachuteError):
    """The entry refused a call.

    Parameters
    ----------
    problem : ProblemView
        What the entry said.
    """

    def __init__(self, problem: ProblemView) -> None:
        remedy = problem["remedy"]
        super().__init__(f"{problem['title']} (HTTP {problem['status']}); {remedy}")
        self.problem = problem

    @property
    def exit_status(self) -> ExitStatus:
        """The exit status that tells a script what happened."""
        if self.problem["ran"] is None:
            return ExitStatus.UNKNOWN_OUTCOME
        if self.problem["status"] in (429, 503):
            return ExitStatus.UNAVAILABLE
        return ExitStatus.REFUSED


class Reply(NamedTuple):
    """A whole answer."""

    status: int
    headers: Any
    body: bytes


class Request(NamedTuple):
    """A request for a backend server; ``deadline`` is in seconds."""

    body: bytes
    content_type: str
    idempotent: bool
    idempotency_key: str
    deadline: float


class EntryClient:
    """Calls one entry instance, or the balancer before several."""

    def __init__(self, url: str, key: str) -> None:
        self._url = url.rstrip("/")
        self._key = key
        self._pool = urllib3.PoolManager(retries=False)

    def submit(self, spec: JobSpec, idempotency_key: str) -> JobView:
        """Submit a job; the same key submits it once."""
        headers = {"Content-Type": JSON, "Idempotency-Key": idempotency_key}
        reply = self.call("POST", "/v1/jobs", msgspec.json.encode(spec), headers)
        return self._decode(reply, JobView)

    def job(self, job_id: str) -> JobView:
        """Return how a job stands."""
        return self._decode(self.call(READ, _job_path(job_id)), JobView)

    def jobs(self) -> list[JobView]:
        """Return every job of the account."""
        return self._decode(self.call(READ, "/v1/jobs"), JobsView)["jobs"]

    def cancel(self, job_id: str) -> JobView:
        """Cancel a job."""
        return self._decode(self.call("DELETE", _job_path(job_id)), JobView)

    def request(self, request: Request) -> Reply:
        """Send a request and return the backend server's whole answer."""
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
        return self._decode(self.call(READ, "/v1/catalogue"), CatalogueView)

    def publish(self, catalogue: Catalogue, base: int) -> int:
        """Publish a catalogue based on the offset ``base``; return its offset."""
        headers = {"Content-Type": JSON, "If-Match": str(base)}
        body = msgspec.json.encode(catalogue)
        reply = self.call("PUT", "/v1/catalogue", body, headers)
        return self._decode(reply, ChangeView)["offset"]

    def switch(self, data_centre: str, verb: str) -> int:
        """Drain or restore a data centre; return the offset of the change."""
        path = f"/v1/data-centres/{quote(data_centre, safe='')}/{verb}"
        return self._decode(self.call("POST", path), ChangeView)["offset"]

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float = CALL_SECONDS,
    ) -> Reply:
        """Call ``path`` and return the whole answer.

        Raises
        ------
        CallRefusedError
            If the entry refused the call.
        EntryUnreachableError
            If no entry took the call.
        OutcomeUnknownError
            If a call that changes something was sent but not answered.
        """
        sent = {"Authorization": f"Bearer {self._key}", **(headers or {})}
        limits = urllib3.Timeout(connect=CALL_SECONDS, read=timeout)
        try:
            response = self._pool.request(
                method, self._url + path, body=body, headers=sent, timeout=limits
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise self._unreachable(error) from error
        except HTTPError as error:
            if method == READ:
                raise self._unreachable(error) from error
            reason = f"{self._url} took the call, but its answer did not arrive"
            remedy = "repeat the command with the same --idempotency-key, or look"
            raise OutcomeUnknownError(f"{reason}; {remedy} how it stands") from error
        self._refuse(response)
        return Reply(response.status, response.headers, response.data)

    def _refuse(self, response: Any) -> None:
        """Raise the entry's refusal; a backend server's answer is none."""
        kind = response.headers.get("Content-Type", "")
        answered = "X-Attempt-Id" in response.headers
        if answered or not kind.startswith("application/problem+json"):
            return
        try:
            problem = msgspec.json.decode(response.data, type=ProblemView)
        except msgspec.DecodeError as error:
            raise self._unreachable("no valid refusal") from error
        raise CallRefusedError(problem)

    def _decode(self, reply: Reply, expected: Any) -> Any:
        try:
            return msgspec.json.decode(reply.body, type=expected)
        except msgspec.DecodeError as error:
            raise self._unreachable(f"HTTP {reply.status}, no entry's") from error

    def _unreachable(self, reason: object) -> EntryUnreachableError:
        remedy = "check --entry and that an entry instance runs"
        return EntryUnreachableError(f"{self._url} gave no answer: {reason}; {remedy}")


def _job_path(job_id: str) -> str:
    return f"/v1/jobs/{quote(job_id, safe='')}"
