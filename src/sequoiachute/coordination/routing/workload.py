"""What an entry instance observes of each backend server."""

from sequoiachute import clock
from sequoiachute.coordination.routing.choice import Candidate
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.fleet import Fleet, Worker

UNMEASURED_SECONDS = 0.05
SMOOTHING = 0.2  # weight of the newest observation
FORGET_HALF_LIFE_SECONDS = 10.0
EJECT_FAILURE_SHARE = 0.5
EJECT_SECONDS = 2.0
MAX_EJECT_SECONDS = 60.0
MAX_EJECTED_SHARE = 0.5


class Observation:
    """One backend server's load, speed and failures, as observed here.

    ``unit_seconds`` is the answer time divided by the requests in progress,
    so that it compares backend servers under any load. ``recent_seconds`` is
    the answer time as it was lately.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.own = 0
        self.others = 0
        self.unit_seconds = 0.0
        self.recent_seconds = 0.0
        self.observed_at = 0.0
        self.failures = 0.0
        self.ejected_until = 0.0
        self.ejections = 0
        self.probing = False

    @property
    def outstanding(self) -> int:
        """Requests in progress, as far as known."""
        return self.own + self.others


class Workload:
    """Observations of every backend server, and which may take a request."""

    def __init__(self, fleet: Fleet, configuration: Configuration) -> None:
        self._fleet = fleet
        self._configuration = configuration
        self._observations: dict[str, Observation] = {}

    def observation(self, worker: Worker) -> Observation:
        """Return the observation of ``worker``; a new incarnation starts anew."""
        found = self._observations.get(worker.worker_id)
        if found is None or found.incarnation != worker.incarnation:
            found = Observation(worker.incarnation)
            self._observations[worker.worker_id] = found
        return found

    def hear(self, worker_id: str, open_connections: int, ended: int = 0) -> None:
        """Take the number of requests that the agent has in progress now.

        ``ended`` of those counted in here are no longer among them.
        """
        worker = self._fleet.get(worker_id)
        if worker is None:
            return
        observed = self.observation(worker)
        observed.others = max(0, open_connections - observed.own + ended)

    def candidates(self, tried: set[str], may_probe: bool) -> list[Candidate]:
        """Return the backend servers that may take a request now.

        Those in ``tried`` are left out. An ejected one is offered alone, as a
        probe, once its time is over and ``may_probe``.
        """
        now = clock.now()
        eligible = self._eligible(now)
        typical = self._typical(eligible)
        healthy = []
        ejected = []
        for worker in eligible:
            observed = self.observation(worker)
            if worker.worker_id in tried:
                continue
            if observed.outstanding >= worker.connections:
                continue
            expected = self._expected(worker, observed, typical, now)
            candidate = Candidate(
                worker, observed.outstanding, expected, observed.recent_seconds
            )
            if not observed.ejected_until:
                healthy.append(candidate)
                continue
            if may_probe and observed.ejected_until <= now and not observed.probing:
                return [candidate]
            ejected.append(candidate)
        return healthy or ejected

    def capacity(self) -> int:
        """Return how many requests this entry may have in progress."""
        total = 0
        for worker in self._eligible(clock.now()):
            total += max(0, worker.connections - self.observation(worker).others)
        return total

    def share(self) -> int:
        """Return this entry's equal part of all connections.

        Others may hold more of them for a moment; over a wait it evens out.
        """
        total = 0
        for worker in self._eligible(clock.now()):
            total += worker.connections
        return total // self.entries()

    def entries(self) -> int:
        """Return how many entry instances share the backend servers."""
        count = 1
        for worker in self._fleet.live(clock.now()):
            count = max(count, worker.entry_count)
        return count

    def begin(self, worker: Worker) -> Observation:
        """Count an attempt in."""
        observed = self.observation(worker)
        observed.own += 1
        if observed.ejected_until:
            observed.probing = True
        return observed

    def end(self, observed: Observation) -> None:
        """Count an attempt out."""
        observed.own -= 1
        if observed.ejected_until:
            observed.probing = False

    def succeed(self, observed: Observation, seconds: float, outstanding: int) -> None:
        """Learn from an answer that took ``seconds`` among ``outstanding``."""
        self._learn(observed, seconds / max(1, outstanding))
        recent = observed.recent_seconds or seconds
        observed.recent_seconds = recent + SMOOTHING * (seconds - recent)
        observed.failures *= 1 - SMOOTHING
        if observed.ejected_until:
            observed.ejected_until = 0.0
            observed.failures = 0.0
            observed.ejections = max(0, observed.ejections - 1)

    def fail(self, observed: Observation, weight: float = SMOOTHING) -> None:
        """Learn from a failure; eject the backend server if it has many."""
        observed.failures += weight * (1 - observed.failures)
        if observed.failures < EJECT_FAILURE_SHARE:
            return
        if observed.ejected_until or self._may_eject(observed):
            delay = EJECT_SECONDS * 2**observed.ejections
            observed.ejected_until = clock.now() + min(MAX_EJECT_SECONDS, delay)
            observed.ejections = min(observed.ejections + 1, 8)

    def _learn(self, observed: Observation, unit: float) -> None:
        known = observed.unit_seconds or unit
        observed.unit_seconds = known + SMOOTHING * (unit - known)
        observed.observed_at = clock.now()

    def _may_eject(self, observed: Observation) -> bool:
        """Whether the others do better and enough of them would be left."""
        eligible = self._eligible(clock.now())
        ejected = 0
        failures = 0.0
        for worker in eligible:
            other = self.observation(worker)
            ejected += bool(other.ejected_until)
            failures += 0.0 if other is observed else other.failures
        others = max(1, len(eligible) - 1)
        if failures / others > observed.failures / 2:
            return False
        return ejected + 1 <= MAX_EJECTED_SHARE * len(eligible)

    def _eligible(self, now: float) -> list[Worker]:
        workers = []
        for worker in self._fleet.live(now):
            if worker.leaving or not self._configuration.in_service(worker.data_centre):
                continue
            workers.append(worker)
        return workers

    def _typical(self, workers: list[Worker]) -> float:
        """Return the median unit time at declared speed 1."""
        units = []
        for worker in workers:
            observed = self.observation(worker)
            if observed.unit_seconds:
                units.append(observed.unit_seconds * worker.speed)
        if not units:
            return UNMEASURED_SECONDS
        return sorted(units)[len(units) // 2]

    def _expected(
        self, worker: Worker, observed: Observation, typical: float, now: float
    ) -> float:
        unit = typical / worker.speed
        if observed.unit_seconds:
            # A slow one gets no requests and so no news: what is known of it
            # loses weight until it is tried again.
            halvings = (now - observed.observed_at) / FORGET_HALF_LIFE_SECONDS
            unit += (observed.unit_seconds - unit) * 0.5**halvings
        return unit * (observed.outstanding + 1)
