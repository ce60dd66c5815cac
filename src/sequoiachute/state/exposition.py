"""Formatting of metrics in the Prometheus text exposition format."""

from sequoiachute.state.metrics import MetricSample

PREFIX = "sequoiachute_"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

_HELP = {
    "append_seconds": "Time to append to the store, by topic.",
    "appends_total": "Appends to the store by topic and outcome.",
    "decision_seconds": "Processor and waiting time of one decision.",
    "first_start_seconds": "Time from a job's acceptance to the first report of a run.",
    "jobs_live": "Accepted jobs that have not ended.",
    "jobs_submitted_total": "Jobs handed in, by outcome.",
    "records_rejected_total": "Records that the store has rejected for good.",
    "runs_of_ended_jobs": "Runs of ended or cancelled jobs that may still exist.",
    "restarts_paused_total": "Pauses before lasting tasks run again.",
    "runs_ended_total": "Runs that have ended, by how.",
    "runs_placed_total": "Runs that were placed.",
    "runs_stopped_total": "Runs that the placer has stopped, by reason.",
    "worker_crashes_total": "Crashes of workers on which tasks were placed.",
    "agents": "Agents that report to this placer.",
    "leading": "1 while this entry is the placer.",
    "losses_withheld": "Runs on silent hosts that may still exist.",
    "losses_withheld_total": "Losses of runs that were withheld, by reason.",
    "machine_list_readings_total": "Readings of machines for silent hosts, by outcome.",
    "units_waiting": "Steps or gangs that have waited for more than 1 s.",
    "units_waiting_beside_capacity": "Those of them that there is room for.",
    "store_age_seconds": "Time since the store confirmed the view of runs.",
    "status_reports_total": "Status reports of the worker, by what became of them.",
    "looks_total": "Looks at the worker, by outcome.",
    "orders_total": "Orders to the worker, by kind and outcome.",
    "placer_lost_total": "Times that the placer did not answer.",
    "log_lines_dropped_total": "Log lines that were over the bound.",
    "http_requests_total": "HTTP requests by route, method and status.",
    "http_request_seconds": "Time to answer an HTTP request.",
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


def _format(sample: MetricSample) -> str:
    pairs = []
    for name, value in sample.labels:
        escaped = value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        pairs.append(f'{name}="{escaped}"')
    labels = "{" + ",".join(pairs) + "}" if pairs else ""
    value = "+Inf" if sample.value == float("inf") else f"{float(sample.value):.9g}"
    return f"{PREFIX}{sample.name}{sample.suffix}{labels} {value}"
