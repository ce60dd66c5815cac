"""Measures the resource use of entries and agents against the number of agents.

The agents are real ones, up to a hundred in a process. The table ends with the
least-squares slope of each figure; docs/CAPACITY.md builds on them.
"""

import time
from typing import NamedTuple

import msgspec

from benchmarks.processes import Usage, read_tcp_bytes, read_usage
from standins.cluster import OPERATOR_KEY, Cluster, caller_key

AGENT_COUNTS = (11, 50, 200, 700)
AGENTS_PER_PROCESS = 100
ACCOUNT_COUNT = 250
SETTLE_SECONDS = 8.0
MEASURE_SECONDS = 10.0
START_TIMEOUT_SECONDS = 60.0
CONFIGURATION_CHANGES = 5
CALLER_ACCOUNT = "account-0"


class CapacityRow(NamedTuple):
    """Figures at one number of agents.

    CPU is in percent of a core, memory in MB, traffic in KB/s. ``in_force`` is
    the slowest propagation of a configuration change in seconds.
    """

    agents: int
    entry_cpu: float
    entry_memory: float
    entry_traffic: float
    agent_cpu: float
    agent_memory: float
    agent_traffic: float
    in_force: float


def create_catalogue(version: int) -> dict:
    """Return a catalogue of the size that is planned for in two years."""
    accounts = {}
    for index in range(ACCOUNT_COUNT):
        accounts[f"account-{index}"] = {
            "owner": f"team {index}, version {version}",
            "job_class": "batch",
        }
    data_centres = {f"dc-{i}": {"region": f"region-{i % 2}"} for i in range(7)}
    return {
        "classes": {"batch": {"priority": 1, "objective_seconds": 3600.0}},
        "accounts": accounts,
        "data_centres": data_centres,
    }


def measure(agents: int) -> CapacityRow:
    """Run one entry with ``agents`` agents and return its figures."""
    with Cluster((CALLER_ACCOUNT,), workers=0, entries=1) as cluster:
        cluster.call("PUT", "/v1/catalogue", OPERATOR_KEY, create_catalogue(0))
        for first in range(0, agents, AGENTS_PER_PROCESS):
            count = min(AGENTS_PER_PROCESS, agents - first)
            cluster.start_fake_agents(first, count)
        cluster.wait_until(lambda: _serves_requests(cluster), START_TIMEOUT_SECONDS)
        time.sleep(SETTLE_SECONDS)
        entry = cluster.entries[0].popen.pid
        port = cluster.rpc_port(0)
        agent_pids = [fake.popen.pid for fake in cluster.fake_agents]
        entry_before = read_usage(entry)
        agents_before = _sum_usage(agent_pids)
        bytes_before = read_tcp_bytes(port)
        began = time.monotonic()
        time.sleep(MEASURE_SECONDS)
        seconds = time.monotonic() - began
        entry_after = read_usage(entry)
        agents_after = _sum_usage(agent_pids)
        bytes_after = read_tcp_bytes(port)
        traffic = float("nan")
        if bytes_before is not None and bytes_after is not None:
            traffic = (bytes_after - bytes_before) / seconds / 1024
        return CapacityRow(
            agents,
            _cpu_percent(entry_before, entry_after, seconds),
            entry_after.resident_megabytes,
            traffic,
            _cpu_percent(agents_before, agents_after, seconds) / agents,
            agents_after.resident_megabytes / agents,
            traffic / agents,
            _slowest_propagation(cluster),
        )


def _serves_requests(cluster: Cluster) -> bool:
    headers = {"X-Idempotent": "true"}
    key = caller_key(CALLER_ACCOUNT)
    return cluster.call("POST", "/v1/requests", key, b"", headers)[0] == 200


def _sum_usage(pids: list[int]) -> Usage:
    cpu = 0.0
    memory = 0.0
    for pid in pids:
        usage = read_usage(pid)
        cpu += usage.cpu_seconds
        memory += usage.resident_megabytes
    return Usage(cpu, memory)


def _cpu_percent(before: Usage, after: Usage, seconds: float) -> float:
    return (after.cpu_seconds - before.cpu_seconds) / seconds * 100


def _slowest_propagation(cluster: Cluster) -> float:
    """Return the longest time in seconds until all agents announce an offset."""
    slowest = 0.0
    for version in range(1, CONFIGURATION_CHANGES + 1):
        began = time.monotonic()
        catalogue = create_catalogue(version)
        reply = cluster.call("PUT", "/v1/catalogue", OPERATOR_KEY, catalogue)
        offset = msgspec.json.decode(reply[2])["offset"]
        cluster.wait_until(
            lambda o=offset: _is_in_force(cluster, o), START_TIMEOUT_SECONDS
        )
        slowest = max(slowest, time.monotonic() - began)
    return slowest


def _is_in_force(cluster: Cluster, offset: int) -> bool:
    reply = cluster.call("GET", "/v1/workers", OPERATOR_KEY)
    workers = msgspec.json.decode(reply[2])["workers"]
    return all(worker["config_offset"] >= offset for worker in workers)


def slope(xs: list[float], ys: list[float]) -> float:
    """Return the slope of the least-squares line through the points."""
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    covariance_sum = 0.0
    variance_sum = 0.0
    for x, y in zip(xs, ys, strict=True):
        covariance_sum += (x - mean_x) * (y - mean_y)
        variance_sum += (x - mean_x) ** 2
    return covariance_sum / variance_sum


def main() -> None:
    """Print the figures for each number of agents and their slopes."""
    print(" ".join(f"{name:>14}" for name in CapacityRow._fields))
    rows = []
    for agents in AGENT_COUNTS:
        row = measure(agents)
        rows.append(row)
        print(" ".join(f"{value:>14.3f}" for value in row), flush=True)
    xs = [float(row.agents) for row in rows]
    for index in range(1, len(CapacityRow._fields)):
        ys = [float(row[index]) for row in rows]
        print(f"slope of {CapacityRow._fields[index]}: {slope(xs, ys):.5f} an agent")
