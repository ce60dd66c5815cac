"""Workers that the placer avoids for a time, after refusals or failed tasks."""

from typing import NamedTuple

REFUSAL_BACKOFF_MIN_SECONDS = 0.25
REFUSAL_BACKOFF_MAX_SECONDS = 2.0
FAILURE_BACKOFF_SECONDS = 2.0  # so that a failed job is retried elsewhere
QUARANTINE_FAILURES = 3
QUARANTINE_MIN_SECONDS = 30.0
QUARANTINE_MAX_SECONDS = 600.0


class _Backoff(NamedTuple):
    until: float
    seconds: float


class RefusalBackoff:
    """Exponential back-off per worker after refused reservations."""

    def __init__(self) -> None:
        self._backoffs: dict[str, _Backoff] = {}

    def note_refused(self, worker_id: str, now: float) -> None:
        """Record a refusal; start a back-off unless one is in progress."""
        backoff = self._backoffs.get(worker_id)
        if backoff is not None and now < backoff.until:
            return
        seconds = REFUSAL_BACKOFF_MIN_SECONDS
        if backoff is not None:
            seconds = min(2 * backoff.seconds, REFUSAL_BACKOFF_MAX_SECONDS)
        self._backoffs[worker_id] = _Backoff(now + seconds, seconds)

    def note_accepted(self, worker_id: str) -> None:
        """Record an accepted reservation, which resets the back-off."""
        self._backoffs.pop(worker_id, None)

    def is_backing_off(self, worker_id: str, now: float) -> bool:
        """Return whether the worker must not be asked for reservations now."""
        backoff = self._backoffs.get(worker_id)
        return backoff is not None and now < backoff.until


class _Quarantine(NamedTuple):
    until: float
    seconds: float


class WorkerHealth:
    """Quarantine of workers that fail jobs which no other worker fails.

    A failure counts against the worker while its job has failed on no other
    worker, and against the job from then on. ``QUARANTINE_FAILURES`` failures in
    a row put the worker into quarantine. When that ends, one start is allowed as
    a probe and doubles the quarantine; a job that finishes there ends it.
    """

    def __init__(self) -> None:
        self._failures: dict[str, list[str]] = {}
        self._failed_on: dict[str, set[str]] = {}
        self._quarantines: dict[str, _Quarantine] = {}
        self._failed_at: dict[str, float] = {}

    def note_finished(self, job_id: str, worker_ids: tuple[str, ...]) -> None:
        """Record that a job finished; end the quarantine of its workers."""
        for worker_id in worker_ids:
            self._failures.pop(worker_id, None)
            self._quarantines.pop(worker_id, None)
        self._failed_on.pop(job_id, None)

    def note_failed(self, job_id: str, worker_id: str, now: float) -> bool:
        """Record a failure; return whether it puts the worker into quarantine."""
        self._failed_at[worker_id] = now
        failures = self._failures.setdefault(worker_id, [])
        failures.append(job_id)
        del failures[:-QUARANTINE_FAILURES]
        self._failed_on.setdefault(job_id, set()).add(worker_id)
        if worker_id in self._quarantines or not self._is_suspect(worker_id):
            return False
        until = now + QUARANTINE_MIN_SECONDS
        self._quarantines[worker_id] = _Quarantine(until, QUARANTINE_MIN_SECONDS)
        return True

    def note_started(self, worker_id: str, now: float) -> None:
        """Record a start; in quarantine it is the only probe until the next period."""
        quarantine = self._quarantines.get(worker_id)
        if quarantine is None:
            return
        seconds = min(2 * quarantine.seconds, QUARANTINE_MAX_SECONDS)
        self._quarantines[worker_id] = _Quarantine(now + seconds, seconds)

    def forget_job(self, job_id: str) -> None:
        """Forget a job, and its failures if it failed on several workers."""
        workers = self._failed_on.pop(job_id, set())
        if len(workers) <= 1:
            return
        for worker_id in workers:
            kept = [j for j in self._failures.get(worker_id, []) if j != job_id]
            self._failures[worker_id] = kept

    def is_quarantined(self, worker_id: str) -> bool:
        """Return whether the worker is in quarantine with failures of its own."""
        return worker_id in self._quarantines and self._is_suspect(worker_id)

    def is_excluded(self, worker_id: str, now: float) -> bool:
        """Return whether no job may start on the worker now."""
        if (
            now
            < self._failed_at.get(worker_id, float("-inf")) + FAILURE_BACKOFF_SECONDS
        ):
            return True
        if not self.is_quarantined(worker_id):
            return False
        return now < self._quarantines[worker_id].until

    def _is_suspect(self, worker_id: str) -> bool:
        attributed = 0
        for job_id in self._failures.get(worker_id, []):
            if len(self._failed_on.get(job_id, ())) <= 1:
                attributed += 1
        return attributed >= QUARANTINE_FAILURES
