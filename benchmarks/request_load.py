"""Open-loop load on a site in virtual time, for the measurement of requests."""

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

SPEEDS = (0.5, 1.0, 2.0, 0.5, 1.0, 2.0, 1.0, 1.5, 2.0, 1.0, 1.5)
PARALLEL = 8  # requests that a backend server works on at once
MEAN_SECONDS = 0.2  # at speed 1
SPREAD = 0.5  # sigma of the lognormal service time
CAPACITY = PARALLEL * sum(SPEEDS) / MEAN_SECONDS  # requests a second
DEADLINE_SECONDS = 2.0
ENTRIES = 2
WARM_SECONDS = 4.0
ACCOUNT = "brocach"


class QueueingBackend(MemoryBackend):
    """Works on ``PARALLEL`` requests at once; the others wait in order."""

    def __init__(self, random: Random) -> None:
        super().__init__()
        self.fails = False
        self._random = random
        self._places = Semaphore(PARALLEL)

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
        with self._places:
            work = MEAN_SECONDS * self._random.lognormvariate(-(SPREAD**2) / 2, SPREAD)
            clock.sleep(work / self.speed)
        return Ok(BackendResponse(200, content_type, body))


class Sample(NamedTuple):
    """One call: when it began, how long it took and whether it was good."""

    began: float
    seconds: float
    outcome: str
    good: bool
    once: bool
    own: bool


class Load(NamedTuple):
    """What is offered; ``share`` is of ``CAPACITY``, ``once`` of the calls."""

    share: float
    seconds: float
    once: float = 0.0


class RequestBench:
    """A site of uneven backend servers under open-loop load."""

    def __init__(self, seed: int, create_router: Callable[[Entry, Any], Any] | None):
        install_paused_clock()
        self._random = Random(seed)
        self.samples: list[Sample] = []
        backends = Random(seed + 1)
        self.site = Site(
            len(SPEEDS), ENTRIES, create_backend=lambda: QueueingBackend(backends)
        )
        for backend, speed in zip(self.site.backends, SPEEDS, strict=True):
            backend.speed = speed
        if create_router is not None:
            for index, entry in enumerate(self.site.entries):
                caller = self.site.network.caller(f"10.1.0.{index}:7000")
                entry.router = create_router(entry, caller)
        limits = {"queued_requests": 4000, "running_requests": 4000}
        account = {"owner": "Brocach", "job_class": "batch", "limits": limits}
        self.site.publish(create_catalogue(brocach=account))
        clock.sleep(WARM_SECONDS)

    def run(self, load: Load, events: dict[float, Callable[[], None]]) -> None:
        """Offer ``load``; call each event at its time in seconds."""
        began = clock.now()
        for at, event in events.items():
            eventlet.spawn_after(at, event)
        tasks = []
        while clock.now() - began < load.seconds:
            clock.sleep(self._random.expovariate(load.share * CAPACITY))
            once = self._random.random() < load.once
            tasks.append(eventlet.spawn(self._call, began, once, len(tasks)))
        for task in tasks:
            task.wait()

    def doubled(self) -> int:
        """Return how many non-idempotent requests ran more than once."""
        seen: dict[str, int] = {}
        for backend in self.site.backends:
            for body, _ in backend.runs:
                seen[body] = seen.get(body, 0) + 1
        return sum(n > 1 for body, n in seen.items() if body.startswith("once"))

    def _call(self, began: float, once: bool, number: int) -> None:
        start = clock.now()
        body = f"once-{number}" if once else f"call-{number}"
        request = CallerRequest(
            request_id=uuid4().hex,
            account=ACCOUNT,
            idempotent=not once,
            idempotency_key=body if once else "",
            content_type="text/plain",
            body=body.encode(),
            deadline=start + DEADLINE_SECONDS,
        )
        answer = self.site.entries[number % ENTRIES].router.serve(request)
        seconds = clock.now() - start
        answered = answer.outcome == "answered"
        self.samples.append(
            Sample(
                began=start - began,
                seconds=seconds,
                outcome=answer.outcome,
                good=answered and answer.status == 200 and seconds <= DEADLINE_SECONDS,
                once=once,
                own=not answered or answer.body == request.body,
            )
        )
