"""A short run of requests on real processes, for absolute numbers."""

import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
import urllib3

from standins.cluster import OPERATOR_KEY, Cluster, caller_key
from standins.demo import CATALOGUE

ACCOUNT = "brocach"
WORKERS = 4
CALLERS = 24
SECONDS = 4.0
BODY = b'{"seconds": 0.05}'


def measure_processes() -> None:
    """Print throughput, answer times and appends of both kinds of request."""
    with Cluster((ACCOUNT, "milchschaum"), workers=WORKERS) as cluster:
        cluster.call("PUT", "/v1/catalogue", OPERATOR_KEY, CATALOGUE)
        idempotent = {"X-Idempotent": "true"}
        cluster.wait_until(lambda: _call(cluster, 0, idempotent) == 200, 20.0)
        _measure(cluster, "idempotent", once=False)
        _measure(cluster, "non-idempotent", once=True)


def _measure(cluster: Cluster, name: str, once: bool) -> None:
    before = _appends(cluster)
    began = time.monotonic()
    with ThreadPoolExecutor(CALLERS) as pool:
        results = list(pool.map(lambda n: _loop(cluster, n, once), range(CALLERS)))
    seconds = time.monotonic() - began
    times = sorted(t for result in results for t, status in result if status == 200)
    calls = sum(len(result) for result in results)
    p50 = 1000 * times[len(times) // 2]
    p99 = 1000 * times[int(0.99 * len(times))]
    appends = (_appends(cluster) - before) / seconds
    print(
        f"processes, {name}: {calls / seconds:.0f} requests/s, "
        f"{len(times)} of {calls} answered, p50 {p50:.0f} ms, p99 {p99:.0f} ms, "
        f"{appends:.0f} appends/s"
    )


def _loop(cluster: Cluster, number: int, once: bool) -> list[tuple[float, int]]:
    results = []
    until = time.monotonic() + SECONDS
    while time.monotonic() < until:
        headers = {"X-Idempotent": "true"}
        if once:
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


def _appends(cluster: Cluster) -> int:
    response: Any = urllib3.request("GET", f"http://{cluster.log.address}/stats")
    return msgspec.json.decode(response.data)["appends"]
