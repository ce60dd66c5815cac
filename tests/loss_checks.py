"""Losses of machines in a control site, and how long they take to be given up."""

from sequoiachute import clock
from sequoiachute.coordination.dispatch.sessions import (
    LEASE_EXPIRY_MARGIN_SECONDS,
    LEASE_SECONDS,
    MAX_CLOCK_DRIFT,
)
from sequoiachute.protocol.workload import TYPICAL_TIMES

# From the newest reading of the worker's clock until its leases have expired.
LEASE_LIFETIME_SECONDS = (
    LEASE_SECONDS * (1 + MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_SECONDS
)
# From the time at which a late call is carried out.
LONGEST_LEASE_SECONDS = (
    TYPICAL_TIMES.max_lease * (1 + MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_SECONDS
)
RESTART_SECONDS = 1.0  # a round, a record and a start


def start_index(site):
    """Return the index of the worker of the first start."""
    first = site.history.starts[0].worker_id
    return [worker.lifetime.worker_id for worker in site.workers].index(first)


def host_index(site, job):
    """Return the index of the agent on whose worker a job's first task is placed."""
    ledger = site.entries[site.placer()].control.ledger
    placed = ledger.progress(job).tasks["0.0.0"]
    return [agent.address for agent in site.agents].index(placed.host)


def lose_machine(site, index):
    """Lose a worker and its agent for good."""
    worker = site.workers[index]
    worker.silent, worker.down_seconds = True, 1e6
    worker.crash()
    site.kill_agent(index)


def seconds_until_next_start(site, limit=60.0):
    """Return after how many seconds the next run starts, at most ``limit``."""
    began, starts = clock.now(), len(site.history.starts)
    while clock.now() < began + limit and len(site.history.starts) == starts:
        site.run_for(0.05)
    return clock.now() - began
