"""A lasting task whose worker goes down and up by turns is given up for good."""

import os
import time

from deployment import BOUNDS, Site, UnableError, run_case

WORKERS = 10  # one of them flaps: a tenth
PERIOD_SECONDS = 1.7
FLAP_SECONDS = 7.0
QUIET_SECONDS = 9.0  # 6 s after the last run, and 3 s


def case(site: Site, trouble: bool) -> bool:
    """Return whether LOST held."""
    tenants = [{"name": "shop", "api_keys": ["key"]}]
    site.configure(1, [{"name": "serving", "prio": 1}], tenants)
    site.start_entry("za")
    site.start_entry("zb")
    for number in range(WORKERS):
        kind = "b" if number == 0 else "a"
        zone = ("za", "zb")[number % 2]
        site.start_worker(f"side-{number}", zone, (kind, f"r{number // 3}"))
    site.wait_ready()
    time.sleep(2.0)
    step = {"count": 1, "cpu": 4000, "mem_mb": 8000, "est_ms": 1000}
    step |= {"persistent": True, "requires": "b"}
    job, status = site.submit("serving", "key", {"spec": "{}", "steps": [step]})
    if status != 200 or not site.wait_starts(job, 1, 15.0):
        raise UnableError("the site does not run a job before the disruption")
    time.sleep(1.0)
    if trouble:
        until = time.time() + FLAP_SECONDS
        while time.time() + PERIOD_SECONDS < until:
            site.crash_worker("side-0")
            time.sleep(PERIOD_SECONDS / 2)
            site.raise_worker("side-0")
            time.sleep(PERIOD_SECONDS / 2)
        site.record("test", "the worker stays up from now on")
    time.sleep(BOUNDS["contact_ms"] / 1000 + 1.0 + QUIET_SECONDS)
    shown = site.state("serving", "key", job)
    runs = len(site.starts(job))
    died = len(site.record.find("worker crashes"))
    began = time.time()
    is_back = runs > died or site.wait_starts(job, runs + 1, 20.0)
    shown_later = site.state("serving", "key", job)
    site.record(
        "test",
        "the last look",
        starts=runs,
        crashes=died,
        failed_ends=len(site.record.find("run ends", how="failed")),
        at_work=is_back,
        waited=round(time.time() - began, 1),
    )
    return is_back and "failed" not in (shown, shown_later)


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), case)
