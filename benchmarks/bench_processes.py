"""What an entry and an agent cost: added latency, throughput, idle use.

The site is that of today: 11 workers, three data centres, two entries.
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
START_SECONDS = 30.0

MEMORY_BUDGET_MEGABYTES = 64.0
CPU_BUDGET_PERCENT = 2.5
TRAFFIC_BUDGET_KILOBYTES = 7.0


class Idle(NamedTuple):
    """Idle use: CPU in percent of a core, memory in MB, traffic in KB/s."""

    cpu: float
    memory: float
    traffic: float


class Client:
    """One keep-alive connection that posts the same body."""

    def __init__(self, address: str, path: str) -> None:
        self._connection = http.client.HTTPConnection(address, timeout=30)
        self._path = path

    def post(self) -> float:
        """Return the seconds until the whole answer has arrived."""
        began = time.perf_counter()
        self._connection.request("POST", self._path, BODY, HEADERS)
        response = self._connection.getresponse()
        answer = response.read()
        if response.status != 200 or answer != BODY:
            raise RuntimeError(f"{response.status}: {answer[:200]!r}")
        return time.perf_counter() - began


def measure_latency(cluster: Cluster) -> tuple[list[float], list[float]]:
    """Return sorted seconds of direct calls and of calls through an entry.

    The two take turns, so that both meet the same machine.
    """
    direct = Client(cluster.workers[0].address, "/requests")
    through = Client(cluster.entries[0].address, "/v1/requests")
    for _ in range(WARM_UP_REQUESTS):
        direct.post()
        through.post()
    times: tuple[list[float], list[float]] = ([], [])
    for _ in range(LATENCY_REQUESTS):
        times[0].append(direct.post())
        times[1].append(through.post())
    return sorted(times[0]), sorted(times[1])


def measure_throughput(cluster: Cluster) -> float:
    """Return requests a second through one entry, from ``CLIENTS`` at once."""
    deadline = time.monotonic() + THROUGHPUT_SECONDS

    def post_until(client: Client) -> int:
        count = 0
        while time.monotonic() < deadline:
            client.post()
            count += 1
        return count

    address = cluster.entries[0].address
    clients = [Client(address, "/v1/requests") for _ in range(CLIENTS)]
    began = time.monotonic()
    with ThreadPoolExecutor(CLIENTS) as pool:
        total = sum(pool.map(post_until, clients))
    return total / (time.monotonic() - began)


def measure_idle(processes: dict[str, tuple[Process, int]]) -> dict[str, Idle]:
    """Return the idle use by name; the port is that of the control links."""
    before: dict[str, tuple[Usage, int]] = {}
    for name, (process, port) in processes.items():
        before[name] = (read_usage(process.popen.pid), read_tcp_bytes(port) or 0)
    began = time.monotonic()
    time.sleep(IDLE_SECONDS)
    seconds = time.monotonic() - began
    idle = {}
    for name, (process, port) in processes.items():
        usage = read_usage(process.popen.pid)
        sent = read_tcp_bytes(port)
        cpu = (usage.cpu_seconds - before[name][0].cpu_seconds) / seconds * 100
        traffic = float("nan")
        if sent is not None:
            traffic = (sent - before[name][1]) / seconds / 1024
        idle[name] = Idle(cpu, usage.resident_megabytes, traffic)
    return idle


def main() -> None:
    """Print the figures."""
    with Cluster((ACCOUNT,)) as cluster:
        cluster.call("PUT", "/v1/catalogue", OPERATOR_KEY, CATALOGUE)
        cluster.wait_until(lambda: _is_served(cluster), START_SECONDS)
        time.sleep(SETTLE_SECONDS)
        print_idle("before any request", cluster)
        direct, through = measure_latency(cluster)
        print(f"{'':24}{'p50 ms':>10}{'p99 ms':>10}")
        print_latency("direct", direct)
        print_latency("through entry and agent", through)
        added = [
            1000 * (_quantile(through, q) - _quantile(direct, q)) for q in (0.5, 0.99)
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


def print_latency(name: str, times: list[float]) -> None:
    """Print the quantiles of ``times`` in milliseconds."""
    middle = 1000 * statistics.median(times)
    print(f"{name:24}{middle:>10.2f}{1000 * _quantile(times, 0.99):>10.2f}")


def _quantile(times: list[float], share: float) -> float:
    return times[min(len(times) - 1, int(share * len(times)))]


def _is_served(cluster: Cluster) -> bool:
    headers = {"X-Idempotent": "true"}
    key = caller_key(ACCOUNT)
    return cluster.call("POST", "/v1/requests", key, b"", headers)[0] == 200


if __name__ == "__main__":
    main()
