"""Green threads that outlive unexpected errors."""

from collections.abc import Callable
from typing import Any

import eventlet
from loguru import logger

from sequoiachute import clock
from sequoiachute.errors import describe_failure
from sequoiachute.state.metrics import Metrics

FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 2.0
SOUND_SECONDS = 10.0  # of a run, after which the pauses begin anew

# The end of a process and a kill of the green thread are neither.
UNEXPECTED = (Exception, eventlet.Timeout)


def spawn_loop(
    name: str, body: Callable[[], None], metrics: Metrics | None = None
) -> None:
    """Run ``body`` in a green thread, again after each unexpected error.

    Parameters
    ----------
    name : str
        Name of the loop in log lines and in the metric ``unexpected_errors_total``.
    body : callable
        Returns when the loop is over.
    """
    eventlet.spawn(_keep_running, name, body, metrics)


def spawn_task(
    name: str, body: Callable[..., None], *args: Any, metrics: Metrics | None = None
) -> None:
    """Run ``body`` once in a green thread; record an unexpected error."""
    eventlet.spawn(run_recorded, name, body, *args, metrics=metrics)


def run_recorded(
    name: str, body: Callable[..., Any], *args: Any, metrics: Metrics | None = None
) -> bool:
    """Run ``body``; record an unexpected error and return whether there was none."""
    try:
        body(*args)
    except UNEXPECTED as error:
        logger.bind(task=name, error=describe_failure(error)).error("unexpected error")
        if metrics is not None:
            metrics.count("unexpected_errors_total", task=name)
        return False
    return True


def _keep_running(name: str, body: Callable[[], None], metrics: Metrics | None) -> None:
    pause = FIRST_PAUSE_SECONDS
    while True:
        began = clock.now()
        if run_recorded(name, body, metrics=metrics):
            return
        if clock.now() - began >= SOUND_SECONDS:
            pause = FIRST_PAUSE_SECONDS
        clock.sleep(pause)
        pause = min(2 * pause, MAX_PAUSE_SECONDS)
