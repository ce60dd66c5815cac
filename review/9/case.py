"""A status report of another writer takes a sound worker out of use for good."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site2 import BROKEN, HELD, TROUBLE, NotRunError, Site, play  # noqa: E402

SERVICE_JOB, SHORT_JOB = "9000000000000001", "9000000000000002"
TASK = f"{SERVICE_JOB}.0.0.0"
RESTART_SECONDS = 6.0  # from the end of the last run, before the rule counts
IDLE_SECONDS = 3.0  # for which nothing runs


def body(site: Site) -> int:
    """Send one foreign report to an agent; watch a job that needs its worker."""
    worker = site.workers[0]
    step = {"count": 1, "cpu": 1000, "requires": "b"}
    if not site.submit(SERVICE_JOB, [{**step, "persistent": True}], "a service"):
        raise NotRunError("the job was not accepted")
    site.wait(10, lambda: TASK in worker.runs(), "the task at work")
    time.sleep(2.0)
    if TROUBLE:
        # A service that no configuration names: the report names no worker to use.
        report = {**worker.report(), "service": "not-named-anywhere"}
        report |= {"born": int(time.time() * 1000), "seq": 1}
        status = worker.send_report("i-of-another-writer", report)
        site.record(f"a foreign status report is sent and answered with {status}")
    site.submit(SHORT_JOB, [step], "work_s=1")
    began = time.monotonic()
    idle_since = None
    while time.monotonic() < began + 30.0:
        now = time.monotonic()
        idle_since = None if TASK in worker.runs() else idle_since or now
        if idle_since and now > idle_since + RESTART_SECONDS + IDLE_SECONDS + 1.0:
            break
        time.sleep(0.1)
    states = [site.state(job) for job in (SERVICE_JOB, SHORT_JOB)]
    site.record(f"jobs are shown as {states}, runs: {worker.runs()}")
    return HELD if idle_since is None and states[1] == "complete" else BROKEN


if __name__ == "__main__":
    sys.exit(play(FOLDER, [["b", "r1-0"], ["a", "r1-1"], ["a", "r1-2"]], body))
