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


class Sample(NamedTuple):
    """One value of a metric."""

    name: str
    kind: str
    labels: Labels
    value: float
    suffix: str = ""


class Latency:
    """Quantiles of the last one to two windows, and totals since the start."""

    def __init__(self, now: float) -> None:
        self._current = _create_histogram()
        self._previous = _create_histogram()
        self._began_at = now
        self.count = 0
        self.total_seconds = 0.0

    def record(self, seconds: float, now: float) -> None:
        """Take one measurement at clock time ``now``."""
        self._roll(now)
        microseconds = max(_LOWEST_MICROSECONDS, int(seconds * 1e6))
        self._current.record_value(min(microseconds, _HIGHEST_MICROSECONDS))
        self.count += 1
        self.total_seconds += seconds

    def quantiles(self, now: float) -> dict[float, float]:
        """Return seconds by quantile, empty if nothing was measured lately."""
        self._roll(now)
        merged = _create_histogram()
        merged.add(self._current)
        merged.add(self._previous)
        if not merged.get_total_count():
            return {}
        found = {}
        for quantile in QUANTILES:
            found[quantile] = merged.get_value_at_percentile(100 * quantile) / 1e6
        return found

    def _roll(self, now: float) -> None:
        passed = now - self._began_at
        if passed < WINDOW_SECONDS:
            return
        self._previous.reset()
        if passed < 2 * WINDOW_SECONDS:
            self._previous, self._current = self._current, self._previous
        else:
            self._current.reset()
        self._began_at = now


class Metrics:
    """Metrics of a process by name and labels."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._latencies: dict[tuple[str, Labels], Latency] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add ``amount`` to a counter."""
        key = (name, _sorted(labels))
        self._counters[key] = self._counters.get(key, 0) + amount

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value ``read`` returns when it is asked for."""
        self._gauges[name] = read

    def observe(self, name: str, seconds: float, now: float, **labels: str) -> None:
        """Record a latency in seconds at clock time ``now``."""
        key = (name, _sorted(labels))
        latency = self._latencies.get(key)
        if latency is None:
            latency = self._latencies[key] = Latency(now)
        latency.record(seconds, now)

    def samples(self, now: float) -> Iterator[Sample]:
        """Yield every value, those of a metric one after another."""
        for name, labels in sorted(self._counters):
            yield Sample(name, "counter", labels, self._counters[(name, labels)])
        for name in sorted(self._gauges):
            yield Sample(name, "gauge", (), self._gauges[name]())
        for name, labels in sorted(self._latencies):
            latency = self._latencies[(name, labels)]
            for quantile, seconds in latency.quantiles(now).items():
                marked = (*labels, ("quantile", f"{quantile:g}"))
                yield Sample(name, "summary", marked, seconds)
            yield Sample(name, "summary", labels, latency.total_seconds, "_sum")
            yield Sample(name, "summary", labels, latency.count, "_count")


def _sorted(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(
        _LOWEST_MICROSECONDS, _HIGHEST_MICROSECONDS, _SIGNIFICANT_DIGITS
    )
