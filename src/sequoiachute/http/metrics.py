"""``/metrics``: the figures of an entry in the text exposition format."""

import falcon

from sequoiachute import clock
from sequoiachute.coordination.entry import Entry
from sequoiachute.state.jobs import QUEUED, RUNNING
from sequoiachute.state.metrics import Metrics, Sample

PREFIX = "sequoiachute_"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

REQUESTS = "http_requests_total"
REQUEST_SECONDS = "http_request_seconds"

_HELP = {
    REQUESTS: "HTTP requests by route, method and status.",
    REQUEST_SECONDS: "Time to answer an HTTP request.",
    "configuration_offset": "Offset of the configuration in force.",
    "configuration_age_seconds": "Time since the configuration was confirmed.",
    "jobs_queued": "Jobs that wait for accelerators.",
    "jobs_running": "Jobs that run.",
    "placer": "1 while this entry places jobs.",
    "ready": "1 while the balancer may send requests here.",
    "workers": "Workers heard of lately.",
    "workers_leaving": "Workers that take nothing new.",
    "accelerators": "Accelerators of the workers heard of lately.",
    "accelerators_free": "Accelerators that no task holds.",
}


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


def format_samples(samples: object) -> str:
    """Return ``samples`` in the text exposition format, version 0.0.4."""
    lines = []
    last_name = ""
    for sample in samples:
        if sample.name != last_name:
            last_name = sample.name
            lines.append(f"# HELP {PREFIX}{last_name} {_HELP.get(last_name, '')}")
            lines.append(f"# TYPE {PREFIX}{last_name} {sample.kind}")
        lines.append(_format(sample))
    return "\n".join(lines) + "\n"


def _format(sample: Sample) -> str:
    pairs = []
    for name, value in sample.labels:
        escaped = value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        pairs.append(f'{name}="{escaped}"')
    labels = "{" + ",".join(pairs) + "}" if pairs else ""
    value = "+Inf" if sample.value == float("inf") else f"{float(sample.value):.9g}"
    return f"{PREFIX}{sample.name}{sample.suffix}{labels} {value}"


def _leaving(entry: Entry) -> int:
    workers = entry.fleet.live(clock.now())
    return sum(worker.leaving for worker in workers)


def _accelerators(entry: Entry, free: bool) -> int:
    total = 0
    for worker in entry.fleet.live(clock.now()):
        total += len(worker.free_accelerators) if free else worker.accelerators
    return total
