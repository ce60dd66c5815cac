"""Measures requests in a short run on real processes, for absolute numbers."""

import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
import urllib3

from standins.cluster import OPERATOR_KEY, Cluster, caller_key
from standins.demo import CATALOGUE

ACCOUNT = "brocach"
WORKER_COUNT = 4
CALLER_COUNT = 24
LOAD_SECONDS = 4.0
BODY = b'{"seconds": 0.05}'


def measure_processes() -> None:
    """Print the figures of idempotent and of non-idempotent requests."""
    with Cluster((ACCOUNT, "milchschaum"), workers=WORKER_COUNT) as cluster:
        cluster.call("PUT", "/v1/catalogue", OPERATOR_KEY, CATALOGUE)
        idempotent = {"X-Idempotent": "true"}
        cluster.wait_until(lambda: _call(cluster, 0, idempotent) == 200, 20.0)
        _measure(cluster, "idempotent", non_idempotent=False)
        _measure(cluster, "non-idempotent", non_idempotent=True)


def _measure(cluster: Cluster, name: str, non_idempotent: bool) -> None:
    appends_before = _count_appends(cluster)
    began = time.monotonic()
    with ThreadPoolExecutor(CALLER_COUNT) as pool:
        results = list(
            pool.map(
                lambda number: _call_repeatedly(cluster, number, non_idempotent),
                range(CALLER_COUNT),
            )
        )
    seconds = time.monotonic() - began
    times = sorted(
        seconds for result in results for seconds, status in result if status == 200
    )
    calls = sum(len(result) for result in results)
    p50 = 1000 * times[len(times) // 2]
    p99 = 1000 * times[int(0.99 * len(times))]
    appends = (_count_appends(cluster) - appends_before) / seconds
    print(
        f"processes, {name}: {calls / seconds:.0f} requests/s, "
        f"{len(times)} of {calls} answered, p50 {p50:.0f} ms, p99 {p99:.0f} ms, "
        f"{appends:.0f} appends/s"
    )


def _call_repeatedly(
    cluster: Cluster, number: int, non_idempotent: bool
) -> list[tuple[float, int]]:
    results = []
    deadline = time.monotonic() + LOAD_SECONDS
    while time.monotonic() < deadline:
        headers = {"X-Idempotent": "true"}
        if non_idempotent:
            headers = {"Idempotency-Key": f"bench-{number}-{len(results)}"}
        began = time.monotonic()
        status = _call(cluster, number % 2, headers)
        results.append((time.monotonic() - began, status))
    return results


def _call(cluster: Cluster, entry: int, headers: dict[str, str]) -> int:
    reply = cluster.call(
        "POST", "/v1/requests", caller_key(ACCOUNT), BODY, headers, entry
    )
    return reply[0]


def _count_appends(cluster: Cluster) -> int:
    response: Any = urllib3.request("GET", f"http://{cluster.log.address}/stats")
    return msgspec.json.decode(response.data)["appends"]
