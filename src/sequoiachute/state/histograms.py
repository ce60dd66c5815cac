"""Latency histograms that can be merged across entry instances."""

from hdrh.histogram import HdrHistogram

LOWEST_MILLISECONDS = 1
HIGHEST_MILLISECONDS = 30 * 24 * 3600 * 1000
SIGNIFICANT_DIGITS = 2


def create_histogram() -> HdrHistogram:
    """Return an empty histogram of milliseconds up to thirty days."""
    return HdrHistogram(LOWEST_MILLISECONDS, HIGHEST_MILLISECONDS, SIGNIFICANT_DIGITS)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Record one duration, clipped to the range of the histogram."""
    milliseconds = round(seconds * 1000)
    bounded = min(max(milliseconds, LOWEST_MILLISECONDS), HIGHEST_MILLISECONDS)
    histogram.record_value(bounded)


def encode_histogram(histogram: HdrHistogram) -> str:
    """Return the histogram as compressed base64."""
    return histogram.encode().decode()


def add_encoded(histogram: HdrHistogram, encoded: str) -> None:
    """Add an encoded histogram to ``histogram``."""
    histogram.decode_and_add(encoded)


def quantile_seconds(histogram: HdrHistogram, share: float) -> float:
    """Return the quantile of the durations in seconds; ``share`` is 0 to 1."""
    return histogram.get_value_at_percentile(share * 100) / 1000
