"""Slopes of an entry's and an agent's use against the number of agents.

The agents are real ones, up to a hundred in a process; the last line of each
table is the slope by least squares. docs/CAPACITY.md builds on these.
"""

import time
from typing import NamedTuple

import msgspec

from benchmarks.processes import Usage, read_tcp_bytes, read_usage
from standins.cluster import OPERATOR_KEY, Cluster, caller_key

SIZES = (11, 50, 200, 700)
AGENTS_PER_PROCESS = 100
ACCOUNTS = 250
SETTLE_SECONDS = 8.0
MEASURE_SECONDS = 10.0
START_SECONDS = 60.0
CHANGES = 5
CALLER = "account-0"


class Row(NamedTuple):
    """Figures at one number of agents.

    CPU is in percent of a core, memory in MB, traffic in KB/s; ``in_force``
    is the slowest of a few configuration changes in seconds.
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
    """Return a catalogue at the two-year size."""
    accounts = {}
    for index in range(ACCOUNTS):
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


def measure(agents: int) -> Row:
    """Run one entry with ``agents`` agents and return the figures."""
    with Cluster((CALLER,), workers=0, entries=1) as cluster:
        cluster.call("PUT", "/v1/catalogue", OPERATOR_KEY, create_catalogue(0))
        for first in range(0, agents, AGENTS_PER_PROCESS):
            count = min(AGENTS_PER_PROCESS, agents - first)
            cluster.start_fake_agents(first, count)
        cluster.wait_until(lambda: _works(cluster), START_SECONDS)
        time.sleep(SETTLE_SECONDS)
        entry = cluster.entries[0].popen.pid
        port = cluster.rpc_port(0)
        fakes = [fake.popen.pid for fake in cluster.fake_agents]
        before = read_usage(entry)
        before_fakes = _sum_usage(fakes)
        before_bytes = read_tcp_bytes(port)
        began = time.monotonic()
        time.sleep(MEASURE_SECONDS)
        seconds = time.monotonic() - began
        after = read_usage(entry)
        after_fakes = _sum_usage(fakes)
        after_bytes = read_tcp_bytes(port)
        traffic = float("nan")
        if before_bytes is not None and after_bytes is not None:
            traffic = (after_bytes - before_bytes) / seconds / 1024
        return Row(
            agents,
            _percent(before, after, seconds),
            after.resident_megabytes,
            traffic,
            _percent(before_fakes, after_fakes, seconds) / agents,
            after_fakes.resident_megabytes / agents,
            traffic / agents,
            _slowest_change(cluster),
        )


def _works(cluster: Cluster) -> bool:
    headers = {"X-Idempotent": "true"}
    key = caller_key(CALLER)
    return cluster.call("POST", "/v1/requests", key, b"", headers)[0] == 200


def _sum_usage(pids: list[int]) -> Usage:
    cpu = 0.0
    memory = 0.0
    for pid in pids:
        usage = read_usage(pid)
        cpu += usage.cpu_seconds
        memory += usage.resident_megabytes
    return Usage(cpu, memory)


def _percent(before: Usage, after: Usage, seconds: float) -> float:
    return (after.cpu_seconds - before.cpu_seconds) / seconds * 100


def _slowest_change(cluster: Cluster) -> float:
    """Return the longest time until every agent announces a new offset."""
    slowest = 0.0
    for version in range(1, CHANGES + 1):
        began = time.monotonic()
        catalogue = create_catalogue(version)
        reply = cluster.call("PUT", "/v1/catalogue", OPERATOR_KEY, catalogue)
        offset = msgspec.json.decode(reply[2])["offset"]
        cluster.wait_until(lambda o=offset: _in_force(cluster, o), START_SECONDS)
        slowest = max(slowest, time.monotonic() - began)
    return slowest


def _in_force(cluster: Cluster, offset: int) -> bool:
    reply = cluster.call("GET", "/v1/workers", OPERATOR_KEY)
    workers = msgspec.json.decode(reply[2])["workers"]
    return all(worker["config_offset"] >= offset for worker in workers)


def slope(xs: list[float], ys: list[float]) -> float:
    """Return the slope of the least-squares line through the points."""
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    above = 0.0
    below = 0.0
    for x, y in zip(xs, ys, strict=True):
        above += (x - mean_x) * (y - mean_y)
        below += (x - mean_x) ** 2
    return above / below


def main() -> None:
    """Print the figures at each size and their slopes."""
    print(" ".join(f"{name:>14}" for name in Row._fields))
    rows = []
    for agents in SIZES:
        row = measure(agents)
        rows.append(row)
        print(" ".join(f"{value:>14.3f}" for value in row), flush=True)
    xs = [float(row.agents) for row in rows]
    for index in range(1, len(Row._fields)):
        ys = [float(row[index]) for row in rows]
        print(f"slope of {Row._fields[index]}: {slope(xs, ys):.5f} an agent")
