"""Which task runs where: decisions without network or clock."""

from sequoiachute.coordination.scheduling.model import (
    Host,
    Running,
    SchedulingDecision,
    Stop,
    TaskPlacement,
    Unit,
    View,
)
from sequoiachute.coordination.scheduling.policy import decide

__all__ = [
    "SchedulingDecision",
    "Host",
    "TaskPlacement",
    "Running",
    "Stop",
    "Unit",
    "View",
    "decide",
]
