"""A service's task that ends is not restarted."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site2 import BROKEN, HELD, TROUBLE, NotRunError, Site, play  # noqa: E402

JOB = "8000000000000001"
TASK = f"{JOB}.0.0.0"
RESTART_SECONDS = 6.0  # from the end of the last run, before the rule counts
IDLE_SECONDS = 3.0  # for which nothing runs


def body(site: Site) -> int:
    """End one task of a service as done, and wait for its next run."""
    step = {"count": 3, "cpu": 1000, "anti_affinity": 1, "persistent": True}
    if not site.submit(JOB, [step], "a service"):
        raise NotRunError("the job was not accepted")
    site.wait(10, lambda: len(site.running(JOB)) == 3, "three tasks at work")
    time.sleep(2.0)
    if TROUBLE:
        for worker in site.workers:
            worker.finish(TASK)
        site.wait(2, lambda: TASK not in site.running(JOB), "end of the task")
    time.sleep(RESTART_SECONDS)
    until = time.monotonic() + IDLE_SECONDS + 1.0
    while time.monotonic() < until:
        if TASK in site.running(JOB):
            site.record(f"{TASK} runs")
            return HELD
        time.sleep(0.1)
    site.record(f"job is shown as {site.state(JOB)}, runs: {site.running(JOB)}")
    return BROKEN


if __name__ == "__main__":
    sys.exit(play(FOLDER, [["a", "r1-0"], ["a", "r1-1"], ["a", "r1-2"]], body))
