"""A zone that is taken back while the store drops its history stays closed."""

import os
import time

from deployment import BOUNDS, Site, UnableError, run_case

CLOSED_SECONDS = 8.0
SILENT_SECONDS = 1.0  # in which readers hear nothing, before the history is dropped
WATCHED_SECONDS = 3.0


def case(site: Site, trouble: bool) -> bool:
    """Return whether LOST held."""
    tenants = [{"name": "shop", "api_keys": ["key"]}]
    site.configure(1, [{"name": "proof", "prio": 1}], tenants)
    site.start_entry("za")
    site.start_entry("zb")
    site.start_worker("side-0", "za", ("b", "r0"))
    site.start_worker("side-1", "za", ("b", "r0"))
    site.start_worker("side-2", "zb", ("a", "r1"))
    site.start_worker("side-3", "zb", ("a", "r1"))
    site.wait_ready()
    step = {"count": 1, "cpu": 1000, "mem_mb": 1000, "est_ms": 1000, "requires": "b"}
    body = {"spec": '{"work_ms": 1000}', "steps": [step]}
    job, status = site.submit("proof", "key", body)
    if status != 200 or not site.wait_starts(job, 1, 15.0):
        raise UnableError("the site does not run a job before the disruption")
    time.sleep(2.0)
    site.store.write("keyed.op", "evacuate/za", {})
    time.sleep(CLOSED_SECONDS - SILENT_SECONDS / 2)
    if trouble:
        site.store.hold_polls(True)
    time.sleep(SILENT_SECONDS / 2)
    site.store.write("keyed.op", "evacuate/za", None)
    time.sleep(SILENT_SECONDS / 2)
    if trouble:
        site.store.drop_history("keyed.op")
        site.store.hold_polls(False)
    # All machines are in touch again: the store has been sound for that long.
    time.sleep(BOUNDS["contact_ms"] / 1000 + 1.0)
    jobs = []
    for entry in (0, 1):
        job, status = site.submit("proof", "key", body, entry)
        if status != 200:
            raise UnableError("a job is not accepted")
        jobs.append(job)
    site.record("test", "the traffic ends")
    time.sleep(BOUNDS["finish_s"])
    states = [site.state("proof", "key", job) for job in jobs]
    time.sleep(WATCHED_SECONDS)
    waiting = [job for job in jobs if not site.starts(job)]
    site.record("test", "the last look", states=states, never_started=len(waiting))
    return not waiting


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), case)
