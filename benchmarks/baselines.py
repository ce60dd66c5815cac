"""Simpler routers to measure against: no queue, no retries, no ejection."""

from typing import Protocol
from uuid import uuid4

from sequoiachute import clock
from sequoiachute.coordination.routing.answers import Answer, CallerRequest, refuse
from sequoiachute.coordination.routing.balancing import BalancingPolicy, Candidate
from sequoiachute.coordination.routing.pool import BackendPool
from sequoiachute.coordination.routing.sender import Sender
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.fleet import Fleet
from sequoiachute.transport.ports import RpcCaller


class RequestRouter(Protocol):
    """What the measurements need of a router."""

    backend_pool: BackendPool

    def serve(self, request: CallerRequest) -> Answer:
        """Run ``request`` and return its answer."""
        ...


class RoundRobin:
    """Picks the candidates in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the next candidate."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class LeastOutstanding:
    """Picks the candidate with the fewest requests in progress."""

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the least loaded candidate."""
        return min(candidates, key=lambda candidate: candidate.outstanding)


class PlainRouter:
    """Sends every request once, to whichever backend server is chosen."""

    def __init__(
        self,
        fleet: Fleet,
        configuration: Configuration,
        caller: RpcCaller,
        choice: BalancingPolicy,
    ) -> None:
        self.backend_pool = BackendPool(fleet, configuration)
        self.pending_records = 0
        self._fleet = fleet
        self._configuration = configuration
        self._choice = choice
        self._sender = Sender(fleet, configuration, self.backend_pool, caller)

    def serve(self, request: CallerRequest) -> Answer:
        """Run ``request`` and return its answer."""
        candidates = []
        for worker in self._fleet.live(clock.now()):
            if worker.leaving or not self._configuration.in_service(worker.data_centre):
                continue
            own = self.backend_pool.stats(worker).own_requests
            candidates.append(Candidate(worker, own, 0.0))
        if not candidates:
            return refuse("no backend server is available")
        worker = self._choice.choose(candidates).worker
        observed = self.backend_pool.begin_attempt(worker)
        try:
            return self._sender.attempt(request, worker, uuid4().hex)
        finally:
            self.backend_pool.end_attempt(observed)
