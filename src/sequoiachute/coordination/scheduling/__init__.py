"""Which task runs where: decisions without network or clock."""

from sequoiachute.coordination.scheduling.model import (
    Decision,
    Host,
    Placement,
    Running,
    Stop,
    Unit,
    View,
)
from sequoiachute.coordination.scheduling.policy import decide

__all__ = [
    "Decision",
    "Host",
    "Placement",
    "Running",
    "Stop",
    "Unit",
    "View",
    "decide",
]
