"""Which task runs where: decisions without network or clock."""

from sequoiachute.coordination.scheduling.model import (
    ActiveRun,
    Host,
    SchedulingDecision,
    SchedulingUnit,
    SchedulingView,
    Stop,
    TaskPlacement,
)
from sequoiachute.coordination.scheduling.policy import decide

__all__ = [
    "SchedulingDecision",
    "Host",
    "TaskPlacement",
    "ActiveRun",
    "Stop",
    "SchedulingUnit",
    "SchedulingView",
    "decide",
]
