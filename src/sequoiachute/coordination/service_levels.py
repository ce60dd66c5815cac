"""Counts events against service-level objectives and logs the counts."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.causes import (
    FAILURE,
    QUEUEING,
    RUN_TIME,
    WaitRecordingPolicy,
    dominant_cause,
)
from sequoiachute.coordination.log import StreamWriter, new_record_id
from sequoiachute.protocol.catalogue import JobClass
from sequoiachute.protocol.service_levels import ObjectiveCount, ServiceLevelSummary
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.histograms import create_histogram, record_seconds
from sequoiachute.state.jobs import Job
from sequoiachute.state.service_levels import (
    ServiceLevelTable,
    encode_histograms,
    merge_counts,
    merge_fleet_use,
    merge_histograms,
)

RECLAIM_BOUND_SECONDS = 5.5  # from a job's entitlement to its start
ROLLUP_PERIOD_SECONDS = 3600.0
ROLLUP_DELAY_SECONDS = 300.0  # summaries of the period may still arrive
BUDGET_PERIOD_SECONDS = 28 * 24 * 3600.0

COMPLETION = "completion"
GUARANTEE = "guarantee"
ANSWER = "answer"


Counts = dict[tuple[str, str, str], ObjectiveCount]
Histograms = dict[tuple[str, str], HdrHistogram]


class EndedJob(NamedTuple):
    """An ended job and the offset of its end in the jobs stream."""

    offset: int
    job: Job


class ServiceLevelRecorder:
    """Counts the events of this entry and appends a summary at fixed intervals.

    Parameters
    ----------
    entry_id : str
        Identity of this entry.
    flush_seconds : float
        Interval between summaries; a crash loses at most one interval.
    is_placer : callable
        Whether this entry is the placer, which counts the starts and ends of
        jobs.
    """

    def __init__(
        self,
        entry_id: str,
        flush_seconds: float,
        table: ServiceLevelTable,
        configuration: Configuration,
        recording_policy: WaitRecordingPolicy,
        writer: StreamWriter,
        is_placer: Callable[[], bool],
    ) -> None:
        self._entry_id = entry_id
        self._flush_seconds = flush_seconds
        self._table = table
        self._configuration = configuration
        self._recording_policy = recording_policy
        self._writer = writer
        self._is_placer = is_placer
        self._counts: Counts = {}
        self._histograms: Histograms = {}
        self._pending: ServiceLevelSummary | None = None
        self._uncounted_ends: deque[EndedJob] = deque()
        self._began_at = clock.wall_time()

    @property
    def uncounted_ends(self) -> int:
        """Number of ends of jobs that no entry has counted yet."""
        return len(self._uncounted_ends)

    def run(self) -> None:
        """Append summaries and rollups in an endless loop."""
        while True:
            clock.sleep(self._flush_seconds)
            self.flush()
            if self._is_placer():
                self._roll_up()
            self._table.drop_before(clock.wall_time() - BUDGET_PERIOD_SECONDS)

    def count_answer(self, account: str, seconds: float, cause: str) -> None:
        """Count a request that took ``seconds``.

        ``cause`` is what kept the caller from a whole answer, empty if nothing
        did.
        """
        job_class = self._job_class_of(account)
        if job_class is None:
            return
        _count(self._counts, account, job_class, ANSWER, cause)
        if cause:
            return
        limit = self._classes()[job_class].get("request_seconds")
        if limit is not None:
            late = QUEUEING if seconds > limit else ""
            _count(self._counts, account, job_class, COMPLETION, late)
        _record_duration(self._histograms, job_class, "request", seconds)

    def count_start(self, job: Job) -> None:
        """Count whether a job under a guarantee started within the reclaim bound."""
        entitled_at = self._recording_policy.guaranteed_since(job.job_id)
        if entitled_at is None or not self._is_placer():
            return
        waited = job.started_at - entitled_at
        cause = ""
        if waited > RECLAIM_BOUND_SECONDS:
            cause = dominant_cause(
                self._recording_policy.wait_seconds_by_cause(job.job_id)
            )
        _count(self._counts, job.account, job.job_class, GUARANTEE, cause)

    def enqueue_end(self, offset: int, job: Job) -> None:
        """Keep a job's end until some entry has counted it.

        ``offset`` is that of the end in the jobs stream.
        """
        self._uncounted_ends.append(EndedJob(offset, job))

    def flush(self) -> None:
        """Append a summary of what was counted since the last one.

        A summary that the log did not take is appended again at the next call.
        """
        if self._pending is None:
            self._pending = self._take_summary()
        if self._append(self._pending):
            self._pending = None
        self._drop_counted_ends()
        if self._is_placer():
            self._append(self._summarise_ends())

    def _drop_counted_ends(self) -> None:
        """Drop the ends that any entry has counted; runs on every entry."""
        counted_through = self._table.jobs_through
        while (
            self._uncounted_ends and self._uncounted_ends[0].offset <= counted_through
        ):
            self._recording_policy.forget_job(self._uncounted_ends.popleft().job.job_id)

    def _append(self, summary: ServiceLevelSummary) -> bool:
        """Append a summary unless it is empty; return false if that failed."""
        if not (summary["counts"] or summary["histograms"] or summary["fleet"]):
            return True
        outcome = self._writer.append(summary)
        if outcome.is_err():
            logger.warning(
                "service-level summary not appended: {}", outcome.unwrap_err().reason
            )
        return outcome.is_ok()

    def _take_summary(self) -> ServiceLevelSummary:
        summary = self._new_summary(self._counts, self._histograms)
        summary["fleet"] = self._recording_policy.pop_fleet_uses()
        self._counts, self._histograms = {}, {}
        self._began_at = summary["ended_at"]
        return summary

    def _summarise_ends(self) -> ServiceLevelSummary:
        """Return a summary of the ends of jobs that no entry has counted yet."""
        counted_through = self._table.jobs_through
        counts: Counts = {}
        histograms: Histograms = {}
        for ended in self._uncounted_ends:
            self._count_end(ended.job, counts, histograms)
        summary = self._new_summary(counts, histograms)
        summary["jobs_from"] = counted_through
        summary["jobs_through"] = (
            self._uncounted_ends[-1].offset if self._uncounted_ends else -1
        )
        return summary

    def _new_summary(
        self, counts: Counts, histograms: Histograms
    ) -> ServiceLevelSummary:
        return {
            "kind": "service-level-summary",
            "record_id": new_record_id(),
            "entry": self._entry_id,
            "began_at": self._began_at,
            "ended_at": clock.wall_time(),
            "counts": list(counts.values()),
            "histograms": encode_histograms(histograms),
            "fleet": [],
        }

    def _count_end(self, job: Job, counts: Counts, histograms: Histograms) -> None:
        objective = self._classes().get(job.job_class)
        if objective is None or job.state == "cancelled":
            return
        elapsed = job.ended_at - job.submitted_at
        cause = ""
        if job.state == "failed":
            cause = FAILURE
        elif job.ended_at - job.started_at > objective["objective_seconds"]:
            cause = RUN_TIME
        elif elapsed > objective["objective_seconds"]:
            cause = dominant_cause(
                self._recording_policy.wait_seconds_by_cause(job.job_id)
            )
        _count(counts, job.account, job.job_class, COMPLETION, cause)
        _record_duration(histograms, job.job_class, "job", elapsed)

    def _roll_up(self) -> None:
        """Replace the summaries of the oldest whole hour by one record."""
        newest_end = clock.wall_time() - ROLLUP_DELAY_SECONDS
        for period in self._table.periods:
            began_at = period.ended_at // ROLLUP_PERIOD_SECONDS * ROLLUP_PERIOD_SECONDS
            ended_at = began_at + ROLLUP_PERIOD_SECONDS
            if period.is_rollup or ended_at > newest_end:
                continue
            self._append_rollup(began_at, ended_at)
            return

    def _append_rollup(self, began_at: float, ended_at: float) -> None:
        periods = []
        for period in self._table.periods:
            is_same = (period.began_at, period.ended_at) == (began_at, ended_at)
            if is_same or began_at <= period.ended_at < ended_at:
                periods.append(period)
        self._writer.append(
            {
                "kind": "service-level-rollup",
                "record_id": new_record_id(),
                "base": self._table.rollup_base(began_at, ended_at),
                "through": max(period.offset for period in periods),
                "jobs_through": self._table.jobs_through,
                "began_at": began_at,
                "ended_at": ended_at,
                "counts": merge_counts(periods),
                "histograms": encode_histograms(merge_histograms(periods)),
                "fleet": merge_fleet_use(periods),
            }
        )

    def _job_class_of(self, account: str) -> str | None:
        entry = self._configuration.catalogue["accounts"].get(account)
        if entry is None or entry["job_class"] not in self._classes():
            return None
        return entry["job_class"]

    def _classes(self) -> dict[str, JobClass]:
        return self._configuration.catalogue["classes"]


def _count(
    counts: Counts,
    account: str,
    job_class: str,
    objective: str,
    cause: str,
) -> None:
    count = counts.setdefault(
        (account, job_class, objective),
        {
            "account": account,
            "job_class": job_class,
            "objective": objective,
            "good": 0,
            "bad": 0,
            "causes": {},
        },
    )
    if not cause:
        count["good"] += 1
        return
    count["bad"] += 1
    count["causes"][cause] = count["causes"].get(cause, 0) + 1


def _record_duration(
    histograms: Histograms,
    job_class: str,
    work_kind: str,
    seconds: float,
) -> None:
    histogram = histograms.setdefault((job_class, work_kind), create_histogram())
    record_seconds(histogram, seconds)
