"""Demonstrates requests, gangs and a drain end to end on the stand-ins.

Run by ``make demo``. With a file name as argument it also writes the burn report
to that file as an HTML page.
"""

import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from sequoiachute.coordination.bounds import AGENT_STARTUP_HOLD_SECONDS
from standins.cluster import OPERATOR_KEY, Cluster, caller_key

ACCOUNTS = ("milchschaum", "brocach")
CATALOGUE = {
    "classes": {
        "interactive": {"priority": 10, "objective_seconds": 5.0, "urgent": True},
        "batch": {"priority": 1, "objective_seconds": 120.0},
    },
    "accounts": {
        "milchschaum": {
            "owner": "Milchschaum-Werkstatt eG",
            "job_class": "interactive",
            "guarantees": [{"accelerators": 16, "within": "rack"}],
        },
        "brocach": {
            "owner": "Brocach Engraving Labs",
            "job_class": "batch",
            "guarantees": [{"accelerators": 8, "within": "worker"}],
        },
    },
    "data_centres": {
        "muc-1": {"region": "bavaria"},
        "muc-2": {"region": "bavaria"},
        "muc-3": {"region": "bavaria"},
    },
}
JOB_TIMEOUT_SECONDS = 60.0
SERVICE_LEVEL_INTERVAL_SECONDS = 1.0
GANG = {"tasks": 2, "accelerators": 4, "within": "rack", "payload": "engrave"}


def main() -> int:
    began = time.monotonic()
    settings = {"service_level_seconds": SERVICE_LEVEL_INTERVAL_SECONDS}
    cluster = Cluster(ACCOUNTS, entry_settings=settings)
    try:
        cluster.start()
        _print_elapsed(
            began, "log service, 11 workers with agents and 2 entries are up"
        )
        _run(cluster, began)
    finally:
        statuses = cluster.close()
    failed = {name: status for name, status in statuses.items() if status}
    _print_elapsed(
        began,
        f"stopped {len(statuses)} processes, nonzero statuses: {failed or 'none'}",
    )
    return 1 if failed else 0


def _run(cluster: Cluster, began: float) -> None:
    _expect(cluster.call("PUT", "/v1/catalogue", OPERATOR_KEY, CATALOGUE), 200)
    _print_elapsed(began, "catalogue published")
    _wait_until_serving(cluster)
    key = caller_key("milchschaum")
    body = b'{"wand": "cold", "seconds": 0.05}'
    reply = cluster.call("POST", "/v1/requests", key, body, {"X-Idempotent": "true"})
    _print_elapsed(
        began, f"idempotent request answered: {_expect(reply, 200).decode()}"
    )
    headers = {"Idempotency-Key": "tag-batch-1"}
    first = cluster.call("POST", "/v1/requests", key, body, headers)
    again = cluster.call("POST", "/v1/requests", key, body, headers, entry=1)
    _expect(first, 200)
    _expect(again, 200)
    if first[1]["X-Attempt-Id"] != again[1]["X-Attempt-Id"]:
        raise RuntimeError("the same idempotency key ran twice")
    _print_elapsed(began, "the same idempotency key at both entries ran once")
    # A new agent starts no tasks until the leases of tasks that a predecessor may
    # have started are over.
    time.sleep(AGENT_STARTUP_HOLD_SECONDS)
    gang = _submit(cluster, "gang-1", run_seconds=2.0)
    _print_elapsed(began, f"gang finished on {_wait_ended(cluster, gang)['workers']}")
    _drain_and_restore(cluster, began)


def _drain_and_restore(cluster: Cluster, began: float) -> None:
    job_id = _submit(cluster, "gang-2", run_seconds=12.0)
    job = _wait_state(cluster, job_id, ("running",))
    worker = int(job["workers"][0].partition("-")[2])
    data_centre = ("muc-1", "muc-2", "muc-3")[worker % 3]
    path = f"/v1/data-centres/{data_centre}"
    _expect(cluster.call("POST", f"{path}/drain", OPERATOR_KEY), 200)
    _print_elapsed(
        began, f"{data_centre} drained while a gang runs on {job['workers']}"
    )
    job = _wait_ended(cluster, job_id)
    _print_elapsed(
        began, f"gang moved and finished on {job['workers']}, attempt {job['attempt']}"
    )
    _expect(cluster.call("POST", f"{path}/restore", OPERATOR_KEY), 200)
    _print_elapsed(began, f"{data_centre} restored")
    gang = _submit(cluster, "gang-3", run_seconds=1.0)
    _print_elapsed(began, f"gang finished on {_wait_ended(cluster, gang)['workers']}")
    _print_report(cluster)


def _print_report(cluster: Cluster) -> None:
    time.sleep(2 * SERVICE_LEVEL_INTERVAL_SECONDS)
    path = "/v1/report/burn?format="
    print(_expect(cluster.call("GET", f"{path}text", OPERATOR_KEY), 200).decode())
    if len(sys.argv) > 1:
        page = _expect(cluster.call("GET", f"{path}html", OPERATOR_KEY), 200)
        Path(sys.argv[1]).write_bytes(page)


def _submit(cluster: Cluster, key: str, run_seconds: float) -> str:
    spec = {**GANG, "run_seconds": run_seconds, "checkpointable": True}
    reply = cluster.call(
        "POST", "/v1/jobs", caller_key("brocach"), spec, {"Idempotency-Key": key}
    )
    return msgspec.json.decode(_expect(reply, 202))["job_id"]


def _wait_until_serving(cluster: Cluster) -> None:
    cluster.wait_until(lambda: _request_works(cluster), 20.0)


def _request_works(cluster: Cluster) -> bool:
    key = caller_key("milchschaum")
    reply = cluster.call("POST", "/v1/requests", key, b"", {"X-Idempotent": "true"})
    return reply[0] == 200


def _wait_ended(cluster: Cluster, job_id: str) -> dict[str, Any]:
    return _wait_state(cluster, job_id, ("finished", "failed", "cancelled"))


def _wait_state(
    cluster: Cluster, job_id: str, states: tuple[str, ...]
) -> dict[str, Any]:
    job: dict[str, Any] = {}

    def reached() -> bool:
        nonlocal job
        reply = cluster.call("GET", f"/v1/jobs/{job_id}", caller_key("brocach"))
        job = msgspec.json.decode(_expect(reply, 200))
        return job["state"] in states

    cluster.wait_until(reached, JOB_TIMEOUT_SECONDS)
    return job


def _expect(reply: tuple[int, Any, bytes], status: int) -> bytes:
    if reply[0] != status:
        raise RuntimeError(f"expected {status}, got {reply[0]}: {reply[2].decode()}")
    return reply[2]


def _print_elapsed(began: float, text: str) -> None:
    print(f"{time.monotonic() - began:6.1f} s  {text}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
