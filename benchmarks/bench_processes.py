"""Measures an entry's and an agent's added latency, throughput and idle use.

The site has the present size: 11 workers, three data centres, two entries.
"""

import http.client
import statistics
import time
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from benchmarks.processes import Usage, read_tcp_bytes, read_usage
from standins.cluster import OPERATOR_KEY, Cluster, Process, caller_key
from standins.demo import CATALOGUE

ACCOUNT = "brocach"
HEADERS = {"Authorization": f"Bearer {caller_key(ACCOUNT)}", "X-Idempotent": "true"}
BODY = b'{"proof": "tag"}'
LATENCY_REQUESTS = 1500
WARM_UP_REQUESTS = 200
CLIENTS = 16
THROUGHPUT_SECONDS = 8.0
SETTLE_SECONDS = 3.0
IDLE_SECONDS = 10.0
START_TIMEOUT_SECONDS = 30.0

MEMORY_BUDGET_MEGABYTES = 64.0
CPU_BUDGET_PERCENT = 2.5
TRAFFIC_BUDGET_KILOBYTES = 7.0


class IdleUsage(NamedTuple):
    """Idle use: CPU in percent of a core, memory in MB, traffic in KB/s."""

    cpu: float
    memory: float
    traffic: float


class KeepAliveClient:
    """Posts the same body over one keep-alive connection."""

    def __init__(self, address: str, path: str) -> None:
        self._connection = http.client.HTTPConnection(address, timeout=30)
        self._path = path

    def post(self) -> float:
        """Return the seconds until the whole answer has arrived.

        Raises
        ------
        RuntimeError
            If the answer is not a 200 with the same body.
        """
        began = time.perf_counter()
        self._connection.request("POST", self._path, BODY, HEADERS)
        response = self._connection.getresponse()
        answer = response.read()
        if response.status != 200 or answer != BODY:
            raise RuntimeError(f"{response.status}: {answer[:200]!r}")
        return time.perf_counter() - began


def measure_latency(cluster: Cluster) -> tuple[list[float], list[float]]:
    """Return sorted seconds of direct calls and of calls through an entry.

    The two alternate, so that both see the same load on the machine.
    """
    direct = KeepAliveClient(cluster.workers[0].address, "/requests")
    via_entry = KeepAliveClient(cluster.entries[0].address, "/v1/requests")
    for _ in range(WARM_UP_REQUESTS):
        direct.post()
        via_entry.post()
    seconds: tuple[list[float], list[float]] = ([], [])
    for _ in range(LATENCY_REQUESTS):
        seconds[0].append(direct.post())
        seconds[1].append(via_entry.post())
    return sorted(seconds[0]), sorted(seconds[1])


def measure_throughput(cluster: Cluster) -> float:
    """Return requests per second through one entry from ``CLIENTS`` clients."""
    deadline = time.monotonic() + THROUGHPUT_SECONDS

    def post_until(client: KeepAliveClient) -> int:
        count = 0
        while time.monotonic() < deadline:
            client.post()
            count += 1
        return count

    address = cluster.entries[0].address
    clients = [KeepAliveClient(address, "/v1/requests") for _ in range(CLIENTS)]
    began = time.monotonic()
    with ThreadPoolExecutor(CLIENTS) as pool:
        total = sum(pool.map(post_until, clients))
    return total / (time.monotonic() - began)


def measure_idle(processes: dict[str, tuple[Process, int]]) -> dict[str, IdleUsage]:
    """Return the idle use by name; the port carries the control connections."""
    before: dict[str, tuple[Usage, int]] = {}
    for name, (process, port) in processes.items():
        before[name] = (read_usage(process.popen.pid), read_tcp_bytes(port) or 0)
    began = time.monotonic()
    time.sleep(IDLE_SECONDS)
    seconds = time.monotonic() - began
    idle = {}
    for name, (process, port) in processes.items():
        usage = read_usage(process.popen.pid)
        tcp_bytes = read_tcp_bytes(port)
        cpu = (usage.cpu_seconds - before[name][0].cpu_seconds) / seconds * 100
        traffic = float("nan")
        if tcp_bytes is not None:
            traffic = (tcp_bytes - before[name][1]) / seconds / 1024
        idle[name] = IdleUsage(cpu, usage.resident_megabytes, traffic)
    return idle


def main() -> None:
    """Print latency, throughput and idle use."""
    with Cluster((ACCOUNT,)) as cluster:
        cluster.call("PUT", "/v1/catalogue", OPERATOR_KEY, CATALOGUE)
        cluster.wait_until(lambda: _serves_requests(cluster), START_TIMEOUT_SECONDS)
        time.sleep(SETTLE_SECONDS)
        print_idle("before any request", cluster)
        direct, via_entry = measure_latency(cluster)
        print(f"{'':24}{'p50 ms':>10}{'p99 ms':>10}")
        print_latency("direct", direct)
        print_latency("through entry and agent", via_entry)
        added = [
            1000 * (_quantile(via_entry, q) - _quantile(direct, q)) for q in (0.5, 0.99)
        ]
        print(f"{'added':24}{added[0]:>10.2f}{added[1]:>10.2f}")
        rate = measure_throughput(cluster)
        print(f"{rate:.0f} requests/s through one entry, {CLIENTS} callers at once")
        time.sleep(SETTLE_SECONDS)
        print_idle("after the load", cluster)


def print_idle(title: str, cluster: Cluster) -> None:
    """Print the idle use of an entry and an agent against the budgets."""
    agent_port = int(cluster.agents[0].address.rpartition(":")[2])
    processes = {
        "entry": (cluster.entries[0], cluster.rpc_port(0)),
        "agent": (cluster.agents[0], agent_port),
    }
    agents = len(cluster.agents)
    print(f"idle, {title}: {'CPU %':>10}{'MB':>10}{'KB/s':>10}")
    for name, idle in measure_idle(processes).items():
        print(f"  {name:24}{idle.cpu:>10.2f}{idle.memory:>10.1f}{idle.traffic:>10.2f}")
        if name == "entry":
            share = idle.traffic / agents * len(cluster.entries)
            print(f"  an agent's links to all entries: {share:.2f} KB/s")
    print(
        f"  budget{'':18}{CPU_BUDGET_PERCENT:>10}{MEMORY_BUDGET_MEGABYTES:>10}"
        f"{TRAFFIC_BUDGET_KILOBYTES:>10}"
    )


def print_latency(name: str, seconds: list[float]) -> None:
    """Print the quantiles of ``seconds`` in milliseconds."""
    median_ms = 1000 * statistics.median(seconds)
    print(f"{name:24}{median_ms:>10.2f}{1000 * _quantile(seconds, 0.99):>10.2f}")


def _quantile(seconds: list[float], share: float) -> float:
    return seconds[min(len(seconds) - 1, int(share * len(seconds)))]


def _serves_requests(cluster: Cluster) -> bool:
    headers = {"X-Idempotent": "true"}
    key = caller_key(ACCOUNT)
    return cluster.call("POST", "/v1/requests", key, b"", headers)[0] == 200


if __name__ == "__main__":
    main()
