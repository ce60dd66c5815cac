"""Measures starts of gangs, failover of the placer and starts after a drain.

The real code of a site runs on the paused clock with fixed network and log
delays, so the times are those of the protocol. Processor time is that of the
whole site in one process.
"""

import random
import time

from loguru import logger

from sequoiachute import clock
from standins.paused import install_paused_clock
from standins.site import Site, create_catalogue, entry_address

NETWORK_SECONDS = 0.0015  # one way, between data centres of a site
LOG_SECONDS = 0.005
RUNS = 20
SEED = 1
CLOCK_STEP_SECONDS = 0.01
WORKER_COUNT = 24
ACCOUNT = {"owner": "Brocach", "job_class": "batch"}
GANG_SIZES = (2, 16, 64)


def create_site(workers: int = WORKER_COUNT) -> Site:
    """Return a site that is ready to start jobs, on a new paused clock."""
    install_paused_clock()
    site = Site(workers=workers)
    site.network.delay = NETWORK_SECONDS
    site.log.delay = LOG_SECONDS
    site.publish(create_catalogue(brocach=ACCOUNT))
    site.run_for(8)
    return site


def list_starts(site: Site) -> list[tuple[float, int]]:
    """Return the time and backend server of every start, ordered by time."""
    starts = []
    for index, backend in enumerate(site.backends):
        for _, _, started_at in backend.starts:
            starts.append((started_at, index))
    return sorted(starts)


def seconds_to_start(site: Site, members: int, job_id: str) -> float:
    """Submit a gang and return the seconds until its last member has started."""
    before = len(list_starts(site))
    began = clock.now()
    site.submit(job_id, tasks=members, within="data_centre", run_seconds=2.0)
    while len(list_starts(site)) < before + members:
        site.run_for(CLOCK_STEP_SECONDS)
    return list_starts(site)[-1][0] - began


def print_row(name: str, values: list[float], unit: str = "s") -> None:
    """Print the median and the largest of ``values``."""
    ordered = sorted(values)
    median = ordered[len(ordered) // 2]
    print(f"{name:<46} p50 {median:7.3f} {unit}  max {ordered[-1]:7.3f} {unit}")


def measure_starts() -> None:
    rng = random.Random(SEED)
    for members in GANG_SIZES:
        site = create_site()
        start_seconds = []
        cpu_milliseconds = []
        for index in range(RUNS):
            site.run_for(4 + rng.random())
            began = time.process_time()
            start_seconds.append(seconds_to_start(site, members, f"job-{index}"))
            cpu_milliseconds.append((time.process_time() - began) * 1000)
        print_row(f"start of a gang of {members}", start_seconds)
        print_row(
            f"processor time of it, {WORKER_COUNT} agents", cpu_milliseconds, "ms"
        )


def measure_failover() -> None:
    rng = random.Random(SEED)
    start_seconds = []
    for _ in range(RUNS):
        site = create_site(6)
        site.run_for(rng.random())
        for index, entry in enumerate(site.entries):
            if entry.placer.holds_lease:
                site.kill(entry_address(index))
        start_seconds.append(seconds_to_start(site, 2, "job-1"))
    print_row("start when the placer has just died", start_seconds)


def last_start_after_drain(rng: random.Random, fault: str) -> float:
    """Return the seconds from a drain to the last start in the data centre."""
    site = create_site(6)
    for index in range(200):
        site.submit(f"job-{index}", run_seconds=rng.uniform(0.2, 2.0))
    site.run_for(3 + rng.random())
    for index, entry in enumerate(site.entries):
        if fault == "placer cut from the log" and entry.placer.holds_lease:
            site.log_links[index].cut = True
    if fault == "log slow by 1.5 s":
        site.log.delay = 1.5
    site.switch("dc-1", in_service=False)
    drained_at = clock.now()
    site.run_for(12)
    last_start_at = drained_at
    for started_at, index in list_starts(site):
        if site.data_centre_of(index) == "dc-1":
            last_start_at = max(last_start_at, started_at)
    return last_start_at - drained_at


def measure_drain() -> None:
    rng = random.Random(SEED)
    for fault in ("no fault", "placer cut from the log", "log slow by 1.5 s"):
        last_starts = [last_start_after_drain(rng, fault) for _ in range(RUNS // 2)]
        print_row(f"last start after a drain, {fault}", last_starts)


def main() -> None:
    """Print the tables."""
    logger.remove()
    print(f"network {NETWORK_SECONDS * 1000} ms one way, log {LOG_SECONDS * 1000} ms")
    measure_starts()
    measure_failover()
    measure_drain()


if __name__ == "__main__":
    main()
