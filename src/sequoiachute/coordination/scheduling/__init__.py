"""Assigns tasks to workers as a pure function: no network, no clock."""

from sequoiachute.coordination.scheduling.model import (
    ActiveRun,
    Host,
    RunStop,
    SchedulingDecision,
    SchedulingUnit,
    SchedulingView,
    TaskPlacement,
)
from sequoiachute.coordination.scheduling.policy import decide

__all__ = [
    "SchedulingDecision",
    "Host",
    "TaskPlacement",
    "ActiveRun",
    "RunStop",
    "SchedulingUnit",
    "SchedulingView",
    "decide",
]
