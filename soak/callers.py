"""Callers that send requests and jobs and record the responses."""

import random
import threading
import time
from typing import NamedTuple

import msgspec
import urllib3

from soak.histories import Call
from soak.proxy import Link

DEADLINE_SECONDS = 4.0
HTTP_TIMEOUT_SECONDS = 20.0  # longer than the longest fault and the deadline
CALL_INTERVAL_SECONDS = 0.15  # between two calls of a caller
MAX_ATTEMPTS = 3
MAX_RETRY_DELAY_SECONDS = 0.5
JOB_SPEC = {"accelerators": 1, "within": "rack", "payload": ""}
RUN_SECONDS = (0.2, 2.0)  # range of the run times of jobs
GANG_SHARE = 0.3  # of jobs


class AcceptedJob(NamedTuple):
    """A job whose submission was acknowledged with 202."""

    job_id: str
    key: str
    tasks: int


class Caller:
    """A client with its connections, idempotency keys and recorded history.

    It keeps connections open until they break, and switches to the next entry
    when one does not respond.

    Parameters
    ----------
    number : int
        Makes the caller's idempotency keys unique and seeds its choices.
    entries : list of Link
        Links to the entries; they stay when an entry process is replaced.
    api_key : str
        Key of the client account.

    Attributes
    ----------
    calls : list of Call
        Every attempt at a request.
    accepted : list of AcceptedJob
        Every acknowledged job.
    """

    def __init__(self, number: int, entries: list[Link], api_key: str) -> None:
        self._number = number
        self._entries = entries
        self._authorization = {"Authorization": f"Bearer {api_key}"}
        self._rng = random.Random(number)
        self._http = urllib3.PoolManager(retries=False)
        self._entry = number % len(entries)
        self.calls: list[Call] = []
        self.accepted: list[AcceptedJob] = []

    def run(self, stop: threading.Event) -> None:
        """Send requests, and a job as every fourth call, until ``stop`` is set."""
        count = 0
        while not stop.is_set():
            count += 1
            if count % 4 == 0:
                self.submit_job(f"job-{self._number}-{count}")
            else:
                self._send_request(count)
            stop.wait(CALL_INTERVAL_SECONDS)

    def _send_request(self, count: int) -> None:
        key = f"key-{self._number}-{count}" if count % 2 else ""
        body = msgspec.json.encode({"seconds": 0.05, "id": f"{self._number}-{count}"})
        for _ in range(MAX_ATTEMPTS):
            call = self._attempt(key, body)
            self.calls.append(call)
            if call.outcome == "answered" or not key:
                return
            time.sleep(min(call.retry_after, MAX_RETRY_DELAY_SECONDS))

    def _attempt(self, key: str, body: bytes) -> Call:
        headers = {"X-Deadline-Seconds": str(DEADLINE_SECONDS)}
        headers |= {"Idempotency-Key": key} if key else {"X-Idempotent": "true"}
        call = Call("", key, not key, body, "lost")
        link = self._entries[self._entry]
        # Time during which the caller's link is disturbed does not count: the
        # time bound of a call does not cover it.
        began = time.monotonic() - link.disturbed_seconds
        response = self._send("POST", "/v1/requests", body, headers)
        seconds = time.monotonic() - link.disturbed_seconds - began
        call = call._replace(seconds=seconds)
        if response is None:
            return call
        request_id = response.headers.get("X-Request-Id", "")
        if response.status == 200:
            return call._replace(
                request_id=request_id, outcome="answered", answer=response.data
            )
        refusal = msgspec.json.decode(response.data)
        outcome = {False: "not-run", True: "ran", None: "unknown"}[refusal["ran"]]
        return call._replace(
            request_id=request_id,
            outcome=outcome,
            status=response.status,
            retry_after=refusal.get("retry_after", 0.0),
            reason=refusal["title"],
        )

    def submit_job(self, key: str) -> None:
        """Submit a job under an idempotency key."""
        tasks = 2 if self._rng.random() < GANG_SHARE else 1
        seconds = self._rng.uniform(*RUN_SECONDS)
        body = msgspec.json.encode({**JOB_SPEC, "tasks": tasks, "run_seconds": seconds})
        response = self._send("POST", "/v1/jobs", body, {"Idempotency-Key": key})
        if response is not None and response.status == 202:
            job_id = msgspec.json.decode(response.data)["job_id"]
            self.accepted.append(AcceptedJob(job_id, key, tasks))

    def _send(self, method: str, path: str, body: bytes, headers: dict[str, str]):
        address = self._entries[self._entry].address
        try:
            return self._http.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers={**self._authorization, **headers},
                timeout=HTTP_TIMEOUT_SECONDS,
            )
        except urllib3.exceptions.HTTPError:
            self._entry = (self._entry + 1) % len(self._entries)
            return None
