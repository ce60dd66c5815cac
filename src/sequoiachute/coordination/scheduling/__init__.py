"""Which task runs where: decisions without network or clock."""

from sequoiachute.coordination.scheduling.model import (
    SchedulingDecision,
    Host,
    TaskPlacement,
    ActiveRun,
    RunStop,
    SchedulingUnit,
    SchedulingView,
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
