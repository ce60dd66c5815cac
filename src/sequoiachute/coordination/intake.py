"""Accepts and cancels jobs at an entry instance and returns their state."""

from collections.abc import Callable
from typing import Any, NamedTuple

from loguru import logger
from result import Result

from sequoiachute import clock
from sequoiachute.coordination.store.availability import PROBE_INTERVAL_SECONDS
from sequoiachute.coordination.store.follower import Follower
from sequoiachute.coordination.store.race import Race, RecordPosition, topic_appends
from sequoiachute.coordination.store.relay import RelayedStore
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.workload import JobGraph, encode
from sequoiachute.state.job_records import CANCEL_PREFIX, JOB_PREFIX, JOB_TOPICS
from sequoiachute.state.ledger import Ledger
from sequoiachute.state.metrics import Metrics
from sequoiachute.transport.store import AppendError, record_bytes

REPLY_MARGIN_SECONDS = 0.012  # for the reply to reach the caller in time
# The same where an append is waited for, whose outcome would be unknown without it.
LAST_REPLY_SECONDS = 0.006
APPEND_SECONDS_MARGIN = 1.25  # of the time that an append lately took
ATTEMPT_SECONDS = 0.7  # without an answer, further appends follow
APPEND_RETRY_SECONDS = 0.05
RETRY_AFTER_SECONDS = 1.0
REFUSED_RETRY_SECONDS = 0.2  # between appends that the store refuses
MAX_WAIT_SHARE = 0.5  # of a caller's time, so that it can go elsewhere afterwards
MAX_WAITING_SUBMISSIONS = 32  # so that they don't flood a store that returns
# Progress takes some 0.7 kB a task in each entry, also of tasks that are done.
MAX_OPEN_TASKS_PER_ACCOUNT = 30_000
FULL_RETRY_AFTER_SECONDS = 5.0
MAX_VIEW_AGE_SECONDS = 2.0  # an older view cannot prove that a job is unknown

ACCEPTED = "accepted"
REFUSED = "refused"
UNKNOWN = "unknown"
ABSENT = "absent"
TOO_LARGE = "too large"

SILENT = "the store answers nobody"


class IntakeOutcome(NamedTuple):
    """Outcome of a caller's request; ``retry_after`` is in seconds.

    ``refused`` means that nothing has been or will be stored; ``unknown`` that the
    store did not answer in time, ``too large`` that the store never takes the job.
    ``appends`` is the number of attempts to store it.
    """

    kind: str
    reason: str = ""
    retry_after: float = 0.0
    appends: int = 0


class Intake:
    """Writes jobs and cancellations to the store.

    A record has the same content whichever entry writes it, so repeats are harmless.
    """

    def __init__(
        self,
        store: RelayedStore,
        ledger: Ledger,
        followers: tuple[Follower, ...],
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._store = store
        self._ledger = ledger
        self._followers = followers
        self._races: dict[str, Race[RecordPosition]] = {}
        self._waiting = 0
        store.availability.call_on_return(self._interrupt_races)
        metrics.gauge("submissions_waiting", lambda: self._waiting)

    def submit(self, job: JobGraph, deadline: float) -> IntakeOutcome:
        """Store a job before ``deadline`` in clock time; a repeat is accepted."""
        existing = self._ledger.job(job.job_id)
        if existing is not None:
            return self._repeat_outcome(existing, job)
        arrived_at = clock.now()
        record = (JOB_PREFIX + job.job_id, encode(job))
        open_tasks = self._ledger.open_tasks(job.account)
        if record_bytes(record) > self._store.limits.record_bytes:
            outcome = IntakeOutcome(TOO_LARGE, "send fewer or shorter steps")
        elif open_tasks + job.task_count > MAX_OPEN_TASKS_PER_ACCOUNT:
            reason = f"the account has {open_tasks} open tasks, wait for some to end"
            outcome = IntakeOutcome(REFUSED, reason, FULL_RETRY_AFTER_SECONDS)
        else:
            outcome = self._store_record(*record, deadline)
        self._metrics.count("jobs_submitted_total", outcome=outcome.kind)
        log = self._bind_outcome(outcome, arrived_at, deadline)
        log = log.bind(job=job.job_id, account=job.account, queue=job.queue)
        tasks = sum(step.count for step in job.steps)
        log = log.bind(steps=len(job.steps), tasks=tasks, view=self._view())
        log = log.bind(open_tasks=open_tasks)
        log.bind(occurrences=job.occurrences, shapes=_shapes(job)).info("job submitted")
        return outcome

    def cancel(self, job_id: str, account: str, deadline: float) -> IntakeOutcome:
        """Store a job's cancellation before ``deadline`` in clock time."""
        if not self._is_known(job_id, account):
            return self._absent_outcome(job_id)
        if self._ledger.is_cancelled(job_id) or self._ledger.progress(job_id).state:
            return IntakeOutcome(ACCEPTED)
        arrived_at = clock.now()
        outcome = self._store_record(CANCEL_PREFIX + job_id, b"1", deadline)
        log = self._bind_outcome(outcome, arrived_at, deadline)
        log.bind(job=job_id).info("job cancelled")
        return outcome

    def state(self, job_id: str, account: str) -> tuple[IntakeOutcome, str]:
        """Return the outcome and a job's state, empty if it is not shown."""
        if not self._is_known(job_id, account):
            return self._absent_outcome(job_id), ""
        return IntakeOutcome(ACCEPTED), self._ledger.state(job_id)

    def _repeat_outcome(self, existing: JobGraph, job: JobGraph) -> IntakeOutcome:
        if existing.account != job.account:
            return IntakeOutcome(REFUSED, "the job id belongs to another account")
        return IntakeOutcome(ACCEPTED, "already accepted")

    def _is_known(self, job_id: str, account: str) -> bool:
        for topic, follower in zip(JOB_TOPICS, self._followers, strict=True):
            is_down = self._store.availability.is_unreachable([topic])
            if self._ledger.job(job_id) is None and not is_down:
                follower.read_once()
        job = self._ledger.job(job_id)
        return job is not None and account in ("", job.account)

    def _absent_outcome(self, job_id: str) -> IntakeOutcome:
        if max(follower.age() for follower in self._followers) > MAX_VIEW_AGE_SECONDS:
            reason = "the store can't be read, so the job may exist"
            return IntakeOutcome(REFUSED, reason, RETRY_AFTER_SECONDS)
        logger.bind(job=job_id, view=self._view()).info("unknown job")
        return IntakeOutcome(ABSENT, "no such job")

    def _bind_outcome(
        self, outcome: IntakeOutcome, arrived_at: float, deadline: float
    ) -> Any:
        """Return a logger bound to an outcome and what it was based on."""
        unanswered = self._store.availability.unanswered_seconds
        return logger.bind(
            outcome=outcome.kind,
            reason=outcome.reason,
            appends=outcome.appends,
            left=round(deadline - arrived_at, 3),
            took=round(clock.now() - arrived_at, 3),
            unanswered=round(unanswered, 3),
        )

    def _view(self) -> list[int]:
        """Return the offsets up to which the jobs' topics have been read."""
        return [follower.next_offset for follower in self._followers]

    def _store_record(self, key: str, value: bytes, deadline: float) -> IntakeOutcome:
        """Store a record before ``deadline`` in clock time."""
        race: Race[RecordPosition] = Race(self._store.availability.stagger_seconds)
        self._races[key] = race
        try:
            return self._run_race(race, key, value, deadline)
        finally:
            if self._races.get(key) is race:
                del self._races[key]

    def _run_race(
        self, race: Race[RecordPosition], key: str, value: bytes, deadline: float
    ) -> IntakeOutcome:
        """Append until the effect is known or the caller does better elsewhere.

        The content is the same each time, so a delayed copy changes nothing.
        """
        wait_until = clock.now() + MAX_WAIT_SHARE * (deadline - clock.now())
        last_moment = deadline - REPLY_MARGIN_SECONDS
        last_answer = deadline - LAST_REPLY_SECONDS
        reason = "too little time left to store the record"
        may_exist = False
        while True:
            now = clock.now()
            # An entry that no peer answers can't tell whether others reach the store.
            is_over = now >= (wait_until if self._store.is_isolated else last_answer)
            if may_exist and is_over:
                return IntakeOutcome(UNKNOWN, reason, appends=race.started)
            if not may_exist and last_moment - now < self._needed_seconds():
                return self._refusal(reason, race)
            boundary = wait_until if now < wait_until else last_answer
            timeout = min(ATTEMPT_SECONDS, boundary - now)
            is_silent = not may_exist and self._store.is_silent
            if not is_silent and not self._is_unreachable():
                race.add(self._appends(key, value, last_answer - now))
            elif may_exist:
                # Reads notice the store's return sooner than an unanswered append.
                timeout = min(PROBE_INTERVAL_SECONDS, timeout)
            else:
                reason = SILENT if is_silent else "the store can't be reached"
            outcome = race.run(timeout)
            if outcome.is_ok():
                topic, offset = outcome.unwrap()
                self._ledger.apply(topic, StoredRecord(offset, key, value))
                return IntakeOutcome(ACCEPTED, appends=race.started)
            error = outcome.unwrap_err()
            reason = error.reason or reason
            if error.rejected:
                return IntakeOutcome(TOO_LARGE, reason, appends=race.started)
            may_exist = may_exist or error.applied is not False
            if may_exist:
                self._store.expect_return(last_moment)
            if may_exist and not race.is_pending:
                self._store.availability.wait_recovered(APPEND_RETRY_SECONDS)
            elif not may_exist and not self._wait_for_store(key, deadline):
                return self._refusal(reason, race)

    def _refusal(self, reason: str, race: Race[RecordPosition]) -> IntakeOutcome:
        return IntakeOutcome(REFUSED, reason, RETRY_AFTER_SECONDS, race.started)

    def _appends(
        self, key: str, value: bytes, timeout: float
    ) -> list[Callable[[], Result[RecordPosition, AppendError]]]:
        """Return the ways to store a record, in the topics that answer."""
        availability = self._store.availability
        topics = [t for t in JOB_TOPICS if not availability.is_unreachable([t])]
        return topic_appends(self._store, topics, [(key, value)], timeout)

    def record_applied(self, topic: str, record: StoredRecord) -> None:
        """Note that a record is stored; its submission need not wait for an answer."""
        race = self._races.get(record.key)
        if race is not None and record.value is not None:
            race.confirm(RecordPosition(topic, record.offset))

    def _interrupt_races(self) -> None:
        """Let submissions append again: the connections of their calls may be dead."""
        for race in self._races.values():
            race.interrupt()

    def _is_unreachable(self) -> bool:
        availability = self._store.availability
        return self._store.is_cut_off or availability.is_unreachable(JOB_TOPICS)

    def _needed_seconds(self) -> float:
        """Return the time that the store has lately needed for an append, at most."""
        return APPEND_SECONDS_MARGIN * self._store.availability.append_seconds

    def _wait_for_store(self, key: str, deadline: float) -> bool:
        """Wait if that serves a caller better than a refusal; return whether it did.

        A caller that has time to come back may reach an entry that reaches the
        store. An entry that no peer answers can't tell whether others do.
        """
        now = clock.now()
        remaining = deadline - REPLY_MARGIN_SECONDS - now
        if remaining > RETRY_AFTER_SECONDS or self._store.is_isolated:
            return False
        # Peers don't reach the store either: another try would serve the caller
        # no better, so the wait ends when the store would be too late.
        wait_until = now + remaining - self._needed_seconds()
        if now >= wait_until or self._waiting >= MAX_WAITING_SUBMISSIONS:
            return False
        logger.bind(key=key, left=round(deadline - now, 3)).info(
            "waiting for the store"
        )
        self._waiting += 1
        self._store.expect_return(wait_until)
        try:
            if self._store.is_silent or self._is_unreachable():
                self._store.availability.wait_recovered(wait_until - now)
            else:
                clock.sleep(min(REFUSED_RETRY_SECONDS, wait_until - now))
        finally:
            self._waiting -= 1
        return True


def _shapes(job: JobGraph) -> list[str]:
    """Return a short text per step: count, resources, estimate and constraints."""
    texts = []
    for step in job.steps:
        need = ",".join(str(amount) for amount in step.need)
        words = [f"{step.count}x{need}", f"{step.estimate_seconds:g}s"]
        for name in ("gang", "same_rack", "checkpoints", "lasting", "filling"):
            if getattr(step, name):
                words.append(name)
        words.extend(text for text in (step.label, step.data_rack) if text)
        texts.append(" ".join(words))
    return texts
