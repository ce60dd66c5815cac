"""Which workers are spared for a while: those that refuse, those that fail."""

from typing import NamedTuple

REFUSED_FIRST_SECONDS = 0.25
REFUSED_LAST_SECONDS = 2.0
FAILED_SECONDS = 2.0  # lets a job that failed go elsewhere
QUARANTINE_FAILURES = 3
QUARANTINE_FIRST_SECONDS = 30.0
QUARANTINE_LAST_SECONDS = 600.0


class _Refusal(NamedTuple):
    until: float
    seconds: float


class RefusalBackoff:
    """Workers that refused a reservation lately, left alone with back-off."""

    def __init__(self) -> None:
        self._refusals: dict[str, _Refusal] = {}

    def note_refused(self, worker_id: str, now: float) -> None:
        """Spare a worker for a while, longer each time."""
        known = self._refusals.get(worker_id)
        if known is not None and now < known.until:
            return
        seconds = REFUSED_FIRST_SECONDS
        if known is not None:
            seconds = min(2 * known.seconds, REFUSED_LAST_SECONDS)
        self._refusals[worker_id] = _Refusal(now + seconds, seconds)

    def note_accepted(self, worker_id: str) -> None:
        """Take a worker back."""
        self._refusals.pop(worker_id, None)

    def is_backing_off(self, worker_id: str, now: float) -> bool:
        """Return whether the worker is to be left alone now."""
        known = self._refusals.get(worker_id)
        return known is not None and now < known.until


class _Quarantine(NamedTuple):
    until: float
    seconds: float


class WorkerHealth:
    """Quarantines a worker that fails what other workers do not.

    A failure counts against the worker while its job has failed nowhere else;
    else it counts against the job. Failures in a row put the worker into
    quarantine; after a while it gets one start as a probe, and each failed
    probe doubles the while.
    """

    def __init__(self) -> None:
        self._failures: dict[str, list[str]] = {}
        self._failed_on: dict[str, set[str]] = {}
        self._quarantines: dict[str, _Quarantine] = {}
        self._failed_at: dict[str, float] = {}

    def note_finished(self, job_id: str, worker_ids: tuple[str, ...]) -> None:
        """Take a success, which ends a quarantine."""
        for worker_id in worker_ids:
            self._failures.pop(worker_id, None)
            self._quarantines.pop(worker_id, None)
        self._failed_on.pop(job_id, None)

    def note_failed(self, job_id: str, worker_id: str, now: float) -> bool:
        """Take a failure; return whether it puts the worker into quarantine."""
        self._failed_at[worker_id] = now
        failures = self._failures.setdefault(worker_id, [])
        failures.append(job_id)
        del failures[:-QUARANTINE_FAILURES]
        self._failed_on.setdefault(job_id, set()).add(worker_id)
        if worker_id in self._quarantines or not self._is_suspect(worker_id):
            return False
        until = now + QUARANTINE_FIRST_SECONDS
        self._quarantines[worker_id] = _Quarantine(until, QUARANTINE_FIRST_SECONDS)
        return True

    def note_started(self, worker_id: str, now: float) -> None:
        """Take a start: in quarantine it is a probe, and the only one."""
        known = self._quarantines.get(worker_id)
        if known is None:
            return
        seconds = min(2 * known.seconds, QUARANTINE_LAST_SECONDS)
        self._quarantines[worker_id] = _Quarantine(now + seconds, seconds)

    def forget_job(self, job_id: str) -> None:
        """Forget a failed job, and its failures if it was at fault itself."""
        workers = self._failed_on.pop(job_id, set())
        if len(workers) <= 1:
            return
        for worker_id in workers:
            kept = [j for j in self._failures.get(worker_id, []) if j != job_id]
            self._failures[worker_id] = kept

    def is_quarantined(self, worker_id: str) -> bool:
        """Return whether the worker itself is held to be at fault."""
        return worker_id in self._quarantines and self._is_suspect(worker_id)

    def is_excluded(self, worker_id: str, now: float) -> bool:
        """Return whether nothing may start on the worker now."""
        if now < self._failed_at.get(worker_id, float("-inf")) + FAILED_SECONDS:
            return True
        if not self.is_quarantined(worker_id):
            return False
        return now < self._quarantines[worker_id].until

    def _is_suspect(self, worker_id: str) -> bool:
        own = 0
        for job_id in self._failures.get(worker_id, []):
            if len(self._failed_on.get(job_id, ())) <= 1:
                own += 1
        return own >= QUARANTINE_FAILURES
