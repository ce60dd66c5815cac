"""Counters, gauges and latency histograms of a process."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

WINDOW_SECONDS = 60.0
QUANTILES = (0.5, 0.9, 0.99, 0.999)

_LOWEST_MICROSECONDS = 1
_HIGHEST_MICROSECONDS = 3600 * 1_000_000
_SIGNIFICANT_DIGITS = 2

Labels = tuple[tuple[str, str], ...]


class MetricSample(NamedTuple):
    """One value of a metric, with its exposition type as ``kind``."""

    name: str
    kind: str
    labels: Labels
    value: float
    suffix: str = ""


class LatencySummary:
    """Quantiles over the last one to two windows, and totals since the start.

    A window lasts ``WINDOW_SECONDS``.
    """

    def __init__(self, now: float) -> None:
        self._current = _create_histogram()
        self._previous = _create_histogram()
        self._window_began_at = now
        self.count = 0
        self.total_seconds = 0.0

    def record(self, seconds: float, now: float) -> None:
        """Record one latency at clock time ``now``."""
        self._rotate_windows(now)
        microseconds = max(_LOWEST_MICROSECONDS, int(seconds * 1e6))
        self._current.record_value(min(microseconds, _HIGHEST_MICROSECONDS))
        self.count += 1
        self.total_seconds += seconds

    def quantiles(self, now: float) -> dict[float, float]:
        """Return seconds by quantile, empty if both windows are empty."""
        self._rotate_windows(now)
        merged = _create_histogram()
        merged.add(self._current)
        merged.add(self._previous)
        if not merged.get_total_count():
            return {}
        seconds_by_quantile = {}
        for quantile in QUANTILES:
            seconds_by_quantile[quantile] = (
                merged.get_value_at_percentile(100 * quantile) / 1e6
            )
        return seconds_by_quantile

    def _rotate_windows(self, now: float) -> None:
        elapsed = now - self._window_began_at
        if elapsed < WINDOW_SECONDS:
            return
        self._previous.reset()
        if elapsed < 2 * WINDOW_SECONDS:
            self._previous, self._current = self._current, self._previous
        else:
            self._current.reset()
        self._window_began_at = now


class Metrics:
    """Metrics of a process by name and labels."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._latencies: dict[tuple[str, Labels], LatencySummary] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add ``amount`` to a counter."""
        key = (name, _sorted_labels(labels))
        self._counters[key] = self._counters.get(key, 0) + amount

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge; ``read`` returns its value at each scrape."""
        self._gauges[name] = read

    def observe(self, name: str, seconds: float, now: float, **labels: str) -> None:
        """Record a latency in seconds at clock time ``now``."""
        key = (name, _sorted_labels(labels))
        latency = self._latencies.get(key)
        if latency is None:
            latency = self._latencies[key] = LatencySummary(now)
        latency.record(seconds, now)

    def samples(self, now: float) -> Iterator[MetricSample]:
        """Yield the samples of all metrics, those of one metric consecutively."""
        for name, labels in sorted(self._counters):
            yield MetricSample(name, "counter", labels, self._counters[(name, labels)])
        for name in sorted(self._gauges):
            yield MetricSample(name, "gauge", (), self._gauges[name]())
        for name, labels in sorted(self._latencies):
            latency = self._latencies[(name, labels)]
            for quantile, seconds in latency.quantiles(now).items():
                quantile_labels = (*labels, ("quantile", f"{quantile:g}"))
                yield MetricSample(name, "summary", quantile_labels, seconds)
            yield MetricSample(name, "summary", labels, latency.total_seconds, "_sum")
            yield MetricSample(name, "summary", labels, latency.count, "_count")


def _sorted_labels(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(
        _LOWEST_MICROSECONDS, _HIGHEST_MICROSECONDS, _SIGNIFICANT_DIGITS
    )
