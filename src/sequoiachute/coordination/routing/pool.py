"""Tracks the load, latency and failures of backend servers, and ejects outliers."""

from sequoiachute import clock
from sequoiachute.coordination.routing.balancing import Candidate
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.fleet import Fleet, Worker

DEFAULT_UNIT_SECONDS = 0.05  # until the first answer has been timed
SMOOTHING = 0.2  # weight of the newest sample in moving averages
LATENCY_HALF_LIFE_SECONDS = 10.0
EJECT_FAILURE_RATE = 0.5
FIRST_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 60.0
MAX_EJECTED_SHARE = 0.5


class BackendStats:
    """Load, latency and failure rate of a backend server, seen from this entry.

    ``unit_seconds`` is the mean answer time divided by the requests in
    progress, which makes backend servers under different load comparable.
    ``recent_seconds`` is the mean answer time itself. Both means, and
    ``failure_rate``, are exponentially weighted.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.own_requests = 0
        self.other_requests = 0
        self.unit_seconds = 0.0
        self.recent_seconds = 0.0
        self.measured_at = 0.0
        self.failure_rate = 0.0
        self.ejected_until = 0.0
        self.ejections = 0
        self.probing = False

    @property
    def outstanding(self) -> int:
        """Requests in progress: this entry's own and the others last reported."""
        return self.own_requests + self.other_requests


class BackendPool:
    """Statistics of every backend server, and the candidates for a request."""

    def __init__(self, fleet: Fleet, configuration: Configuration) -> None:
        self._fleet = fleet
        self._configuration = configuration
        self._stats: dict[str, BackendStats] = {}

    def stats(self, worker: Worker) -> BackendStats:
        """Return the statistics of ``worker``, empty for a new incarnation."""
        found = self._stats.get(worker.worker_id)
        if found is None or found.incarnation != worker.incarnation:
            found = BackendStats(worker.incarnation)
            self._stats[worker.worker_id] = found
        return found

    def update_open_connections(
        self, worker_id: str, open_connections: int, ended: int = 0
    ) -> None:
        """Store the number of requests that an agent reports as in progress.

        ``ended`` is the number of this entry's own requests that the report no
        longer includes, although ``end_attempt`` has yet to be called for them.
        """
        worker = self._fleet.get(worker_id)
        if worker is None:
            return
        stats = self.stats(worker)
        stats.other_requests = max(0, open_connections - stats.own_requests + ended)

    def candidates(self, tried: set[str], may_probe: bool) -> list[Candidate]:
        """Return the backend servers that may take a request now.

        Those in ``tried`` are left out. With ``may_probe``, an ejected one
        whose ejection has expired is returned alone, as a probe. Ejected ones
        are also returned where no healthy one is left.
        """
        now = clock.now()
        eligible = self._eligible(now)
        median_seconds = self._median_unit_seconds(eligible)
        healthy = []
        ejected = []
        for worker in eligible:
            stats = self.stats(worker)
            if worker.worker_id in tried:
                continue
            if stats.outstanding >= worker.connections:
                continue
            expected = self._expected_seconds(worker, stats, median_seconds, now)
            candidate = Candidate(
                worker, stats.outstanding, expected, stats.recent_seconds
            )
            if not stats.ejected_until:
                healthy.append(candidate)
                continue
            if may_probe and stats.ejected_until <= now and not stats.probing:
                return [candidate]
            ejected.append(candidate)
        return healthy or ejected

    def capacity(self) -> int:
        """Return how many requests this entry may have in progress."""
        total = 0
        for worker in self._eligible(clock.now()):
            total += max(0, worker.connections - self.stats(worker).other_requests)
        return total

    def fair_share(self) -> int:
        """Return this entry's equal share of all connections.

        Other entries may hold more than theirs for a moment; over the length
        of a wait it evens out.
        """
        total = 0
        for worker in self._eligible(clock.now()):
            total += worker.connections
        return total // self.entry_count()

    def entry_count(self) -> int:
        """Return how many entry instances share the backend servers."""
        count = 1
        for worker in self._fleet.live(clock.now()):
            count = max(count, worker.entry_count)
        return count

    def begin_attempt(self, worker: Worker) -> BackendStats:
        """Count an attempt as in progress; return the statistics of ``worker``.

        Each call must be followed by one of ``end_attempt``.
        """
        stats = self.stats(worker)
        stats.own_requests += 1
        if stats.ejected_until:
            stats.probing = True
        return stats

    def end_attempt(self, stats: BackendStats) -> None:
        """Count an attempt as no longer in progress."""
        stats.own_requests -= 1
        if stats.ejected_until:
            stats.probing = False

    def record_success(
        self, stats: BackendStats, seconds: float, outstanding: int
    ) -> None:
        """Record an answer that took ``seconds`` with ``outstanding`` in progress.

        A success ends an ejection.
        """
        self._update_unit_seconds(stats, seconds / max(1, outstanding))
        recent = stats.recent_seconds or seconds
        stats.recent_seconds = recent + SMOOTHING * (seconds - recent)
        stats.failure_rate *= 1 - SMOOTHING
        if stats.ejected_until:
            stats.ejected_until = 0.0
            stats.failure_rate = 0.0
            stats.ejections = max(0, stats.ejections - 1)

    def record_failure(self, stats: BackendStats, weight: float = SMOOTHING) -> None:
        """Record a failure; eject the backend server if its failure rate is high.

        Each further ejection lasts twice as long, up to a limit.
        """
        stats.failure_rate += weight * (1 - stats.failure_rate)
        if stats.failure_rate < EJECT_FAILURE_RATE:
            return
        if stats.ejected_until or self._may_eject(stats):
            delay = FIRST_EJECTION_SECONDS * 2**stats.ejections
            stats.ejected_until = clock.now() + min(MAX_EJECTION_SECONDS, delay)
            stats.ejections = min(stats.ejections + 1, 8)

    def _update_unit_seconds(self, stats: BackendStats, sample: float) -> None:
        mean = stats.unit_seconds or sample
        stats.unit_seconds = mean + SMOOTHING * (sample - mean)
        stats.measured_at = clock.now()

    def _may_eject(self, stats: BackendStats) -> bool:
        """Return whether the others fail less and enough of them would remain.

        Their mean failure rate must be at most half of this one's.
        """
        eligible = self._eligible(clock.now())
        ejected = 0
        failure_rates = 0.0
        for worker in eligible:
            other = self.stats(worker)
            ejected += bool(other.ejected_until)
            failure_rates += 0.0 if other is stats else other.failure_rate
        others = max(1, len(eligible) - 1)
        if failure_rates / others > stats.failure_rate / 2:
            return False
        return ejected + 1 <= MAX_EJECTED_SHARE * len(eligible)

    def _eligible(self, now: float) -> list[Worker]:
        workers = []
        for worker in self._fleet.live(now):
            if worker.leaving or not self._configuration.in_service(worker.data_centre):
                continue
            workers.append(worker)
        return workers

    def _median_unit_seconds(self, workers: list[Worker]) -> float:
        """Return the median ``unit_seconds``, scaled to a declared speed of 1."""
        samples = []
        for worker in workers:
            stats = self.stats(worker)
            if stats.unit_seconds:
                samples.append(stats.unit_seconds * worker.speed)
        if not samples:
            return DEFAULT_UNIT_SECONDS
        return sorted(samples)[len(samples) // 2]

    def _expected_seconds(
        self, worker: Worker, stats: BackendStats, median_seconds: float, now: float
    ) -> float:
        unit_seconds = median_seconds / worker.speed
        if stats.unit_seconds:
            # A slow backend server gets no requests and hence no new samples.
            # Its measured latency decays towards the median, so that it is
            # tried again.
            halvings = (now - stats.measured_at) / LATENCY_HALF_LIFE_SECONDS
            unit_seconds += (stats.unit_seconds - unit_seconds) * 0.5**halvings
        return unit_seconds * (stats.outstanding + 1)
