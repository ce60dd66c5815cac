"""Helpers for running calls concurrently."""

from collections.abc import Callable
from typing import Any

import eventlet


def gather(calls: list[Callable[[], Any]]) -> list[Any]:
    """Run ``calls`` concurrently and return their results in order.

    Raises
    ------
    Exception
        The exception of the first of ``calls`` in order that raised one.
    """
    greenthreads = []
    for call in calls:
        greenthreads.append(eventlet.spawn(call))
    results = []
    for greenthread in greenthreads:
        results.append(greenthread.wait())
    return results
