"""Service-level counts of all entries, from the service-levels stream."""

from collections import deque
from collections.abc import Iterable
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from sequoiachute.protocol.service_levels import (
    FleetUse,
    LatencyHistogram,
    ObjectiveCount,
)
from sequoiachute.state.histograms import (
    add_encoded,
    create_histogram,
    encode_histogram,
)
from sequoiachute.state.items import from_item, to_item

NO_OFFSET = -1
MAX_SEEN_RECORD_IDS = 1000


class Period(NamedTuple):
    """Counts of one summary or rollup, for the time between two wall times."""

    offset: int
    began_at: float
    ended_at: float
    counts: tuple[ObjectiveCount, ...]
    histograms: tuple[LatencyHistogram, ...]
    fleet: tuple[FleetUse, ...]
    is_rollup: bool


class ServiceLevelTable:
    """Periods in log order; each event is counted once."""

    def __init__(self) -> None:
        self._periods: list[Period] = []
        self._jobs_through = NO_OFFSET
        self._seen_record_ids: deque[str] = deque(maxlen=MAX_SEEN_RECORD_IDS)

    @property
    def periods(self) -> tuple[Period, ...]:
        """Periods in effect: neither replaced by a rollup nor dropped."""
        return tuple(self._periods)

    @property
    def jobs_through(self) -> int:
        """Offset in the jobs stream up to which job ends have been counted."""
        return self._jobs_through

    def snapshot(self) -> list[Any]:
        """Return the counts as items of a snapshot."""
        head = {"jobs_through": self._jobs_through, "seen": list(self._seen_record_ids)}
        return [head, *(to_item(period) for period in self._periods)]

    def restore(self, items: list[Any]) -> None:
        """Replace all counts by those of a snapshot."""
        periods = [from_item(Period, item) for item in items[1:]]
        self._periods = periods
        self._jobs_through = items[0]["jobs_through"]
        self._seen_record_ids.clear()
        self._seen_record_ids.extend(items[0]["seen"])

    def apply(self, offset: int, record: Any) -> bool:
        """Apply one record; return whether it took effect.

        A summary that was appended twice counts once.
        """
        if record["record_id"] in self._seen_record_ids:
            return False
        self._seen_record_ids.append(record["record_id"])
        if record["kind"] == "service-level-summary":
            return self._apply_summary(offset, record)
        if record["kind"] == "service-level-rollup":
            return self._apply_rollup(offset, record)
        return False

    def rollup_base(self, began_at: float, ended_at: float) -> int:
        """Return the offset of the last rollup of exactly this period, or -1."""
        base = NO_OFFSET
        for period in self._periods:
            is_same = (period.began_at, period.ended_at) == (began_at, ended_at)
            if period.is_rollup and is_same:
                base = max(base, period.offset)
        return base

    def drop_before(self, wall_time: float) -> None:
        """Drop the periods that ended before ``wall_time``."""
        self._periods = [p for p in self._periods if p.ended_at >= wall_time]

    def _apply_summary(self, offset: int, record: Any) -> bool:
        jobs_from = record.get("jobs_from")
        if jobs_from is not None:
            if jobs_from != self._jobs_through:
                return False
            self._jobs_through = record["jobs_through"]
        self._periods.append(_period(offset, record, is_rollup=False))
        return True

    def _apply_rollup(self, offset: int, record: Any) -> bool:
        began_at, ended_at = record["began_at"], record["ended_at"]
        if record["base"] != self.rollup_base(began_at, ended_at):
            return False
        remaining = []
        for period in self._periods:
            is_inside = began_at <= period.ended_at < ended_at
            is_same = (period.began_at, period.ended_at) == (began_at, ended_at)
            if period.offset <= record["through"] and (is_inside or is_same):
                continue
            remaining.append(period)
        remaining.append(_period(offset, record, is_rollup=True))
        self._periods = remaining
        self._jobs_through = max(self._jobs_through, record["jobs_through"])
        return True


def _period(offset: int, record: Any, is_rollup: bool) -> Period:
    return Period(
        offset=offset,
        began_at=record["began_at"],
        ended_at=record["ended_at"],
        counts=tuple(record["counts"]),
        histograms=tuple(record["histograms"]),
        fleet=tuple(record["fleet"]),
        is_rollup=is_rollup,
    )


def merge_counts(periods: Iterable[Period]) -> list[ObjectiveCount]:
    """Return the summed counts of ``periods``.

    They are ordered by account, job class and objective.
    """
    merged: dict[tuple[str, str, str], ObjectiveCount] = {}
    for period in periods:
        for count in period.counts:
            key = (count["account"], count["job_class"], count["objective"])
            total = merged.get(key)
            if total is None:
                merged[key] = {**count, "causes": dict(count["causes"])}
                continue
            total["good"] += count["good"]
            total["bad"] += count["bad"]
            for cause, number in count["causes"].items():
                total["causes"][cause] = total["causes"].get(cause, 0) + number
    return [merged[key] for key in sorted(merged)]


def merge_histograms(
    periods: Iterable[Period],
) -> dict[tuple[str, str], HdrHistogram]:
    """Return the merged histograms of ``periods`` by job class and kind of work."""
    merged: dict[tuple[str, str], HdrHistogram] = {}
    for period in periods:
        for histogram in period.histograms:
            key = (histogram["job_class"], histogram["work"])
            if key not in merged:
                merged[key] = create_histogram()
            add_encoded(merged[key], histogram["encoded"])
    return merged


def merge_fleet_use(periods: Iterable[Period]) -> list[FleetUse]:
    """Return the summed fleet use of ``periods`` per set of closed data centres."""
    merged: dict[tuple[str, ...], FleetUse] = {}
    for period in periods:
        for use in period.fleet:
            key = tuple(use["out"])
            total = merged.get(key)
            if total is None:
                merged[key] = {**use, "work": dict(use["work"])}
                continue
            total["seconds"] += use["seconds"]
            total["free"] += use["free"]
            total["unusable"] += use["unusable"]
            for data_centre, seconds in use["work"].items():
                summed = total["work"].get(data_centre, 0.0)
                total["work"][data_centre] = summed + seconds
    return [merged[key] for key in sorted(merged)]


def encode_histograms(
    histograms: dict[tuple[str, str], HdrHistogram],
) -> list[LatencyHistogram]:
    """Return ``histograms`` in the form in which they are logged."""
    encoded = []
    for (job_class, work), histogram in sorted(histograms.items()):
        encoded.append(
            {
                "job_class": job_class,
                "work": work,
                "encoded": encode_histogram(histogram),
            }
        )
    return encoded
