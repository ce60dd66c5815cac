"""Starts of gangs, failover of the placer and starts after a drain.

The site's real code runs on the paused clock with stated delays of network
and log, so that the times are those of the protocol; processor time is that
of the whole site in one process.
"""

import random
import time

from loguru import logger

from sequoiachute import clock
from standins.paused import install_paused_clock
from standins.site import Site, create_catalogue, entry_address

NETWORK_SECONDS = 0.0015  # one way, as between the data centres of a site
LOG_SECONDS = 0.005
RUNS = 20
SEED = 1
STEP_SECONDS = 0.01
WORKERS = 24
ACCOUNT = {"owner": "Brocach", "job_class": "batch"}
GANGS = (2, 16, 64)


def create_site(workers: int = WORKERS) -> Site:
    """Return a site on a new paused clock that is ready to start jobs."""
    install_paused_clock()
    site = Site(workers=workers)
    site.network.delay = NETWORK_SECONDS
    site.log.delay = LOG_SECONDS
    site.publish(create_catalogue(brocach=ACCOUNT))
    site.run_for(8)
    return site


def starts(site: Site) -> list[tuple[float, int]]:
    """Return times and backend servers of all starts, in order of time."""
    found = []
    for index, backend in enumerate(site.backends):
        for _, _, started_at in backend.starts:
            found.append((started_at, index))
    return sorted(found)


def seconds_to_start(site: Site, members: int, job_id: str) -> float:
    """Submit a gang and return the time until its last member runs."""
    before = len(starts(site))
    began = clock.now()
    site.submit(job_id, tasks=members, within="data_centre", run_seconds=2.0)
    while len(starts(site)) < before + members:
        site.run_for(STEP_SECONDS)
    return starts(site)[-1][0] - began


def print_row(name: str, values: list[float], unit: str = "s") -> None:
    """Print median and largest of ``values``."""
    ordered = sorted(values)
    middle = ordered[len(ordered) // 2]
    print(f"{name:<46} p50 {middle:7.3f} {unit}  max {ordered[-1]:7.3f} {unit}")


def measure_starts() -> None:
    rng = random.Random(SEED)
    for members in GANGS:
        site = create_site()
        waits = []
        costs = []
        for index in range(RUNS):
            site.run_for(4 + rng.random())
            began = time.process_time()
            waits.append(seconds_to_start(site, members, f"job-{index}"))
            costs.append((time.process_time() - began) * 1000)
        print_row(f"start of a gang of {members}", waits)
        print_row(f"processor time of it, {WORKERS} agents", costs, "ms")


def measure_failover() -> None:
    rng = random.Random(SEED)
    waits = []
    for _ in range(RUNS):
        site = create_site(6)
        site.run_for(rng.random())
        for index, entry in enumerate(site.entries):
            if entry.placer.holds_lease:
                site.kill(entry_address(index))
        waits.append(seconds_to_start(site, 2, "job-1"))
    print_row("start when the placer has just died", waits)


def last_start_after_drain(rng: random.Random, fault: str) -> float:
    """Return when the last task started in a data centre taken out, in seconds."""
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
    drained = clock.now()
    site.run_for(12)
    last = drained
    for started_at, index in starts(site):
        if site.data_centre_of(index) == "dc-1":
            last = max(last, started_at)
    return last - drained


def measure_drain() -> None:
    rng = random.Random(SEED)
    for fault in ("no fault", "placer cut from the log", "log slow by 1.5 s"):
        lasts = [last_start_after_drain(rng, fault) for _ in range(RUNS // 2)]
        print_row(f"last start after a drain, {fault}", lasts)


def main() -> None:
    """Print the tables."""
    logger.remove()
    print(f"network {NETWORK_SECONDS * 1000} ms one way, log {LOG_SECONDS * 1000} ms")
    measure_starts()
    measure_failover()
    measure_drain()


if __name__ == "__main__":
    main()
