"""Helpers for running tasks side by side."""

from collections.abc import Callable
from typing import Any

import eventlet


def gather(calls: list[Callable[[], Any]]) -> list[Any]:
    """Run ``calls`` side by side and return their results in order."""
    tasks = []
    for call in calls:
        tasks.append(eventlet.spawn(call))
    results = []
    for task in tasks:
        results.append(task.wait())
    return results
