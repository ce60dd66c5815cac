"""Time from the death of a placer, or of all, to the next start of a task.

On the paused clock with the store at 4 ms: what timers and messages take.
"""

from loguru import logger

from sequoiachute import clock
from standins.paused import install_paused_clock

RUNS = 20
STEP_SECONDS = 0.01
PHASE_SECONDS = 0.037  # so that runs meet the timers at other moments
WAIT_SECONDS = 15.0


def main() -> None:
    """Print a row for each death."""
    logger.remove()
    install_paused_clock()
    print("| death | p50 | largest of 20 |")
    print("|---|---|---|")
    for name, kill in (("placer", _kill_placer), ("every entry", _kill_all)):
        times = sorted(_measure(kill, number) for number in range(RUNS))
        print(f"| {name} | {times[RUNS // 2]:.2f} s | {times[-1]:.2f} s |")


def _measure(kill: object, number: int) -> float:
    from standins.control_site import ControlSite

    site = ControlSite(workers=11)
    site.run_for(number * PHASE_SECONDS)
    died_at = clock.now()
    kill(site)
    while clock.now() - died_at < WAIT_SECONDS:
        alive = [i for i, e in enumerate(site.entries) if not e.process.killed]
        site.submit(1.0, entry=alive[0], job_id="0" * 16)
        site.run_for(STEP_SECONDS)
        if site.history.starts:
            return site.history.starts[0].at - died_at
    return float("inf")


def _kill_placer(site: object) -> None:
    site.kill_entry(site.placer())


def _kill_all(site: object) -> None:
    for index in range(len(site.entries)):
        site.kill_entry(index)
    for index in range(len(site.entries)):
        site.restart_entry(index)


if __name__ == "__main__":
    main()
