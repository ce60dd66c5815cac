"""Measures the time from the loss of the placer or all entries to the next start.

It runs on the paused clock with a store latency of 4 ms, so the times are
those of timers and messages.
"""

from loguru import logger

from sequoiachute import clock
from standins.paused import install_paused_clock

RUNS = 20
CLOCK_STEP_SECONDS = 0.01
PHASE_STEP_SECONDS = 0.037  # each run fails at another phase of the timers
START_TIMEOUT_SECONDS = 15.0


def main() -> None:
    """Print a row for each kind of failure."""
    logger.remove()
    install_paused_clock()
    print("| death | p50 | largest of 20 |")
    print("|---|---|---|")
    for name, inject_failure in (
        ("placer", _kill_placer),
        ("every entry", _restart_all_entries),
    ):
        times = sorted(_measure(inject_failure, number) for number in range(RUNS))
        print(f"| {name} | {times[RUNS // 2]:.2f} s | {times[-1]:.2f} s |")


def _measure(inject_failure: object, number: int) -> float:
    from standins.control_site import ControlSite

    site = ControlSite(workers=11)
    site.run_for(number * PHASE_STEP_SECONDS)
    killed_at = clock.now()
    inject_failure(site)
    while clock.now() - killed_at < START_TIMEOUT_SECONDS:
        live_entries = [
            index
            for index, entry in enumerate(site.entries)
            if not entry.process.killed
        ]
        site.submit(1.0, entry=live_entries[0], job_id="0" * 16)
        site.run_for(CLOCK_STEP_SECONDS)
        if site.history.starts:
            return site.history.starts[0].at - killed_at
    return float("inf")


def _kill_placer(site: object) -> None:
    site.kill_entry(site.placer())


def _restart_all_entries(site: object) -> None:
    for index in range(len(site.entries)):
        site.kill_entry(index)
    for index in range(len(site.entries)):
        site.restart_entry(index)


if __name__ == "__main__":
    main()
