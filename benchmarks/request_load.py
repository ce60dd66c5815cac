"""Offers open-loop load to a site in virtual time."""

from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple
from uuid import uuid4

import eventlet
from eventlet.semaphore import Semaphore
from result import Ok, Result

from sequoiachute import clock
from sequoiachute.coordination.entry import Entry
from sequoiachute.coordination.router import CallerRequest
from sequoiachute.errors import RpcError
from sequoiachute.transport.ports import BackendResponse
from standins.memory import MemoryBackend
from standins.paused import install_paused_clock
from standins.site import Site, create_catalogue

SERVER_SPEEDS = (0.5, 1.0, 2.0, 0.5, 1.0, 2.0, 1.0, 1.5, 2.0, 1.0, 1.5)
SERVER_CONCURRENCY = 8  # requests in progress on one backend server
MEAN_SERVICE_SECONDS = 0.2  # at speed 1
SERVICE_TIME_SIGMA = 0.5  # of the log-normal service time
# Requests per second of the whole site.
CAPACITY = SERVER_CONCURRENCY * sum(SERVER_SPEEDS) / MEAN_SERVICE_SECONDS
DEADLINE_SECONDS = 2.0
ENTRIES = 2
WARM_UP_SECONDS = 4.0
ACCOUNT = "brocach"


class QueueingBackend(MemoryBackend):
    """Serves ``SERVER_CONCURRENCY`` requests at once and queues the others."""

    def __init__(self, random: Random) -> None:
        super().__init__()
        self.fails = False
        self._random = random
        self._slots = Semaphore(SERVER_CONCURRENCY)

    def execute(
        self,
        request_id: str,
        attempt_id: str,
        content_type: str,
        body: bytes,
        timeout: float,
    ) -> Result[BackendResponse, RpcError]:
        """Answer with the body after a random service time."""
        self.runs.append((body.decode(), attempt_id))
        if self.fails:
            return Ok(BackendResponse(500, content_type, body))
        with self._slots:
            service_seconds = MEAN_SERVICE_SECONDS * self._random.lognormvariate(
                -(SERVICE_TIME_SIGMA**2) / 2, SERVICE_TIME_SIGMA
            )
            clock.sleep(service_seconds / self.speed)
        return Ok(BackendResponse(200, content_type, body))


class RequestSample(NamedTuple):
    """One call; ``began`` is in seconds since the load began.

    A call is ``good`` if it was answered with 200 before its deadline.
    ``own_answer`` is false if it was answered with another call's body.
    """

    began: float
    seconds: float
    outcome: str
    good: bool
    non_idempotent: bool
    own_answer: bool


class OfferedLoad(NamedTuple):
    """Load of ``share`` of ``CAPACITY`` during ``seconds``.

    ``non_idempotent`` is the share of calls that may run only once.
    """

    share: float
    seconds: float
    non_idempotent: float = 0.0


class RequestBench:
    """Offers open-loop load to a site of backend servers of different speeds."""

    def __init__(self, seed: int, create_router: Callable[[Entry, Any], Any] | None):
        install_paused_clock()
        self._random = Random(seed)
        self.samples: list[RequestSample] = []
        backend_random = Random(seed + 1)
        self.site = Site(
            len(SERVER_SPEEDS),
            ENTRIES,
            create_backend=lambda: QueueingBackend(backend_random),
        )
        for backend, speed in zip(self.site.backends, SERVER_SPEEDS, strict=True):
            backend.speed = speed
        if create_router is not None:
            for index, entry in enumerate(self.site.entries):
                caller = self.site.network.caller(f"10.1.0.{index}:7000")
                entry.router = create_router(entry, caller)
        limits = {"queued_requests": 4000, "running_requests": 4000}
        account = {"owner": "Brocach", "job_class": "batch", "limits": limits}
        self.site.publish(create_catalogue(brocach=account))
        clock.sleep(WARM_UP_SECONDS)

    def run(self, load: OfferedLoad, events: dict[float, Callable[[], None]]) -> None:
        """Offer ``load``; call each event at its time in seconds from the start."""
        load_began = clock.now()
        for at, event in events.items():
            eventlet.spawn_after(at, event)
        calls = []
        while clock.now() - load_began < load.seconds:
            clock.sleep(self._random.expovariate(load.share * CAPACITY))
            non_idempotent = self._random.random() < load.non_idempotent
            calls.append(
                eventlet.spawn(self._call, load_began, non_idempotent, len(calls))
            )
        for call in calls:
            call.wait()

    def count_double_runs(self) -> int:
        """Return how many non-idempotent requests ran more than once."""
        runs_by_body: dict[str, int] = {}
        for backend in self.site.backends:
            for body, _ in backend.runs:
                runs_by_body[body] = runs_by_body.get(body, 0) + 1
        return sum(
            runs > 1 for body, runs in runs_by_body.items() if body.startswith("once")
        )

    def _call(self, load_began: float, non_idempotent: bool, number: int) -> None:
        start = clock.now()
        body = f"once-{number}" if non_idempotent else f"call-{number}"
        request = CallerRequest(
            request_id=uuid4().hex,
            account=ACCOUNT,
            idempotent=not non_idempotent,
            idempotency_key=body if non_idempotent else "",
            content_type="text/plain",
            body=body.encode(),
            deadline=start + DEADLINE_SECONDS,
        )
        answer = self.site.entries[number % ENTRIES].router.serve(request)
        seconds = clock.now() - start
        answered = answer.outcome == "answered"
        self.samples.append(
            RequestSample(
                began=start - load_began,
                seconds=seconds,
                outcome=answer.outcome,
                good=answered and answer.status == 200 and seconds <= DEADLINE_SECONDS,
                non_idempotent=non_idempotent,
                own_answer=not answered or answer.body == request.body,
            )
        )
