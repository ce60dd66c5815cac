"""``/metrics``: metrics of an entry in the text exposition format."""

import falcon

from sequoiachute import clock
from sequoiachute.coordination.entry import Entry
from sequoiachute.state.exposition import CONTENT_TYPE, format_samples
from sequoiachute.state.jobs import QUEUED, RUNNING
from sequoiachute.state.metrics import Metrics

REQUESTS_TOTAL = "http_requests_total"
REQUEST_SECONDS = "http_request_seconds"


class MetricsResource:
    """Serves the metrics; needs no key because no metric names an account."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return every metric as text."""
        response.content_type = CONTENT_TYPE
        response.text = format_samples(self._metrics.samples(clock.now()))


def create_entry_metrics(entry: Entry) -> Metrics:
    """Return a metrics registry with the gauges of ``entry``."""
    metrics = Metrics()
    configuration = entry.configuration
    metrics.gauge("configuration_offset", lambda: configuration.offset)
    metrics.gauge("configuration_age_seconds", lambda: configuration.age(clock.now()))
    metrics.gauge("jobs_queued", lambda: len(entry.jobs.with_state(QUEUED)))
    metrics.gauge("jobs_running", lambda: len(entry.jobs.with_state(RUNNING)))
    metrics.gauge("placer", lambda: entry.placer.holds_lease)
    metrics.gauge("ready", lambda: entry.is_ready)
    metrics.gauge("workers", lambda: len(entry.fleet.live(clock.now())))
    metrics.gauge("workers_leaving", lambda: _count_leaving_workers(entry))
    metrics.gauge("accelerators", lambda: _count_accelerators(entry, free=False))
    metrics.gauge("accelerators_free", lambda: _count_accelerators(entry, free=True))
    return metrics


def _count_leaving_workers(entry: Entry) -> int:
    workers = entry.fleet.live(clock.now())
    return sum(worker.leaving for worker in workers)


def _count_accelerators(entry: Entry, free: bool) -> int:
    total = 0
    for worker in entry.fleet.live(clock.now()):
        total += len(worker.free_accelerators) if free else worker.accelerators
    return total
