"""``/metrics``: the figures of an entry in the text exposition format."""

import falcon

from sequoiachute import clock
from sequoiachute.coordination.entry import Entry
from sequoiachute.state.exposition import CONTENT_TYPE, format_samples
from sequoiachute.state.jobs import QUEUED, RUNNING
from sequoiachute.state.metrics import Metrics

REQUESTS = "http_requests_total"
REQUEST_SECONDS = "http_request_seconds"


class MetricsResource:
    """Shows the metrics; they name no account, so that no key is needed."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Write every metric."""
        response.content_type = CONTENT_TYPE
        response.text = format_samples(self._metrics.samples(clock.now()))


def create_entry_metrics(entry: Entry) -> Metrics:
    """Return metrics with the gauges of ``entry``."""
    metrics = Metrics()
    configuration = entry.configuration
    metrics.gauge("configuration_offset", lambda: configuration.offset)
    metrics.gauge("configuration_age_seconds", lambda: configuration.age(clock.now()))
    metrics.gauge("jobs_queued", lambda: len(entry.jobs.with_state(QUEUED)))
    metrics.gauge("jobs_running", lambda: len(entry.jobs.with_state(RUNNING)))
    metrics.gauge("placer", lambda: entry.placer.holds_lease)
    metrics.gauge("ready", lambda: entry.is_ready)
    metrics.gauge("workers", lambda: len(entry.fleet.live(clock.now())))
    metrics.gauge("workers_leaving", lambda: _leaving(entry))
    metrics.gauge("accelerators", lambda: _accelerators(entry, free=False))
    metrics.gauge("accelerators_free", lambda: _accelerators(entry, free=True))
    return metrics


def _leaving(entry: Entry) -> int:
    workers = entry.fleet.live(clock.now())
    return sum(worker.leaving for worker in workers)


def _accelerators(entry: Entry, free: bool) -> int:
    total = 0
    for worker in entry.fleet.live(clock.now()):
        total += len(worker.free_accelerators) if free else worker.accelerators
    return total
