"""Jobs that no worker has started are left out of what waits in a queue."""

import os
import signal
import time

from deployment import BOUNDS, Site, UnableError, run_case

WORKERS = 10  # one of them is unhealthy: a tenth
JOBS = 4


def case(site: Site, trouble: bool) -> bool:
    """Return whether MIXED held."""
    tenants = [{"name": "shop", "api_keys": ["key"]}]
    site.configure(1, [{"name": "proof", "prio": 1}], tenants)
    site.start_entry("za")
    site.start_entry("zb")
    for number in range(WORKERS):
        kind = "b" if number == 0 else "a"
        site.start_worker(
            f"side-{number}", ("za", "zb")[number % 2], (kind, f"r{number // 3}")
        )
    site.wait_ready()
    time.sleep(2.0)
    step = {"count": 1, "cpu": 4000, "mem_mb": 8000, "est_ms": 1000, "requires": "b"}
    body = {"spec": '{"work_ms": 1000}', "steps": [step]}
    job, status = site.submit("proof", "key", body)
    if status != 200 or not site.wait_starts(job, 1, 15.0):
        raise UnableError("the site does not run a job before the disruption")
    time.sleep(2.0)
    if trouble:
        site.signal_worker("side-0", signal.SIGUSR1)
    time.sleep(0.1)
    jobs = []
    for number in range(JOBS):
        job, status = site.submit("proof", "key", body, number % 2)
        if status != 200:
            raise UnableError("a job is not accepted")
        jobs.append(job)
    # A count may be 2 s old.
    time.sleep(BOUNDS["visible_ms"] / 1000 + 2.0 + 0.5)
    waiting = [job for job in jobs if not site.starts(job)]
    counts = []
    for entry in (0, 1):
        _, answer = site.ask("GET", "proof", "key", "", None, entry)
        counts.append(answer.get("waiting", -1))
        site.state("proof", "key", jobs[0], entry)
    site.record("test", "the look", not_begun=len(waiting), shown=counts)
    if trouble:
        site.signal_worker("side-0", signal.SIGUSR2)
    time.sleep(5.0)
    site.record(
        "test", "started in the end", jobs=sum(map(bool, map(site.starts, jobs)))
    )
    return all(count >= len(waiting) / 2 for count in counts)


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), case)
