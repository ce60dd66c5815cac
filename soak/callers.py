"""Callers that use what the system promises them, and keep what they saw."""

import random
import threading
import time
from typing import NamedTuple

import msgspec
import urllib3

from soak.histories import Call
from soak.proxy import Link

DEADLINE_SECONDS = 4.0
PATIENCE_SECONDS = 20.0  # past the longest fault and the deadline
PAUSE_SECONDS = 0.15  # between two calls of a caller
TRIES = 3
LONGEST_WAIT_SECONDS = 0.5
TASK = {"accelerators": 1, "within": "rack", "payload": ""}
JOB_SECONDS = (0.2, 2.0)
GANG_SHARE = 0.3


class Accepted(NamedTuple):
    """A job whose hand-in was acknowledged."""

    job_id: str
    key: str
    tasks: int


class Caller:
    """One client: its connections, its keys and its history.

    It uses open connections until they break and goes from one entry to the
    next when one gives no answer.

    Parameters
    ----------
    number : int
        Makes its keys its own and seeds its choices.
    entries : list of Link
        Ways to the entries, which stay when a process is replaced.
    """

    def __init__(self, number: int, entries: list[Link], api_key: str) -> None:
        self._number = number
        self._entries = entries
        self._authorization = {"Authorization": f"Bearer {api_key}"}
        self._rng = random.Random(number)
        self._http = urllib3.PoolManager(retries=False)
        self._entry = number % len(entries)
        self.calls: list[Call] = []
        self.accepted: list[Accepted] = []

    def run(self, over: threading.Event) -> None:
        """Call until ``over``."""
        count = 0
        while not over.is_set():
            count += 1
            if count % 4 == 0:
                self._submit(f"job-{self._number}-{count}")
            else:
                self._request(count)
            over.wait(PAUSE_SECONDS)

    def _request(self, count: int) -> None:
        key = f"key-{self._number}-{count}" if count % 2 else ""
        body = msgspec.json.encode({"seconds": 0.05, "id": f"{self._number}-{count}"})
        for _ in range(TRIES):
            call = self._call(key, body)
            self.calls.append(call)
            if call.outcome == "answered" or not key:
                return
            time.sleep(min(call.retry_after, LONGEST_WAIT_SECONDS))

    def _call(self, key: str, body: bytes) -> Call:
        headers = {"X-Deadline-Seconds": str(DEADLINE_SECONDS)}
        headers |= {"Idempotency-Key": key} if key else {"X-Idempotent": "true"}
        call = Call("", key, not key, body, "lost")
        link = self._entries[self._entry]
        began = time.monotonic() - link.disturbed_seconds
        answer = self._send("POST", "/v1/requests", body, headers)
        # What a link held is no one's promise.
        seconds = time.monotonic() - link.disturbed_seconds - began
        call = call._replace(seconds=seconds)
        if answer is None:
            return call
        request_id = answer.headers.get("X-Request-Id", "")
        if answer.status == 200:
            return call._replace(
                request_id=request_id, outcome="answered", answer=answer.data
            )
        refusal = msgspec.json.decode(answer.data)
        outcome = {False: "not-run", True: "ran", None: "unknown"}[refusal["ran"]]
        return call._replace(
            request_id=request_id,
            outcome=outcome,
            status=answer.status,
            retry_after=refusal.get("retry_after", 0.0),
            reason=refusal["title"],
        )

    def _submit(self, key: str) -> None:
        tasks = 2 if self._rng.random() < GANG_SHARE else 1
        seconds = self._rng.uniform(*JOB_SECONDS)
        body = msgspec.json.encode({**TASK, "tasks": tasks, "run_seconds": seconds})
        answer = self._send("POST", "/v1/jobs", body, {"Idempotency-Key": key})
        if answer is not None and answer.status == 202:
            job_id = msgspec.json.decode(answer.data)["job_id"]
            self.accepted.append(Accepted(job_id, key, tasks))

    def _send(self, method: str, path: str, body: bytes, headers: dict[str, str]):
        address = self._entries[self._entry].address
        try:
            return self._http.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers={**self._authorization, **headers},
                timeout=PATIENCE_SECONDS,
            )
        except urllib3.exceptions.HTTPError:
            self._entry = (self._entry + 1) % len(self._entries)
            return None
