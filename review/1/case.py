"""One large job: from then on nothing starts, of no tenant."""

import os
import time

from deployment import BOUNDS, Site, UnableError, run_case

WORKERS = 4
TASKS = 7000
USUAL_TASKS = 70  # without the disruption
TASK = {"cpu": 25, "mem_mb": 16, "est_ms": 1000}
WATCHED_SECONDS = 3.0


def case(site: Site, trouble: bool) -> bool:
    """Return whether LOST held."""
    tenants = [
        {"name": "large", "api_keys": ["key-large"]},
        {"name": "other", "api_keys": ["key-other"]},
    ]
    site.configure(1, [{"name": "batch", "prio": 2}, {"name": "proof"}], tenants)
    site.start_entry("za")
    site.start_entry("zb")
    for number in range(WORKERS):
        site.start_worker(f"side-{number}", ("za", "zb")[number % 2])
    site.wait_ready()
    spec = '{"work_ms": 1000}'
    proof = {"spec": spec, "steps": [{"count": 1, **TASK}]}
    first, status = site.submit("proof", "key-other", proof)
    if status != 200 or not site.wait_starts(first, 1, 15.0):
        raise UnableError("the site does not run a job before the disruption")
    accepted = []
    count = TASKS if trouble else USUAL_TASKS
    batch = {"spec": spec, "steps": [{"count": count, **TASK}]}
    job, status = site.submit("batch", "key-large", batch)
    if status == 200:
        accepted.append(("batch", "key-large", job))
    time.sleep(2.0)
    for entry in (0, 1):
        job, status = site.submit("proof", "key-other", proof, entry)
        if status == 200:
            accepted.append(("proof", "key-other", job))
    ready = site.ready_count()
    site.record("test", "the traffic ends", accepted=len(accepted), ready=ready)
    time.sleep(BOUNDS["finish_s"])
    return not any(stands_still(site, *job) for job in accepted)


def stands_still(site: Site, queue: str, key: str, job: str) -> bool:
    """Return whether an accepted job has nothing running although there is room."""
    state = site.state(queue, key, job)
    if state in ("complete", "failed"):
        return False
    began = time.time()
    time.sleep(WATCHED_SECONDS)
    starts = site.record.find("run starts")
    ends = site.record.find("run ends")
    is_busy = len(starts) > len(ends) or any(e["at"] >= began for e in starts + ends)
    site.record(
        "test",
        f"{job} is {state}; in the last {WATCHED_SECONDS:.0f} s the workers "
        + ("were at work" if is_busy else "ran nothing"),
        starts=len(site.starts(job)),
    )
    return not is_busy


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), case)
