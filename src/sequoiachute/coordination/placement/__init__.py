"""Placement policies: which job goes where, and who must make room."""

from sequoiachute.coordination.placement.baselines import FirstFitPolicy
from sequoiachute.coordination.placement.model import (
    PlacementDecision,
    Eviction,
    MemberPlacement,
    Placement,
    PlacementView,
    PlacementPolicy,
    Shortfall,
    Unplaceable,
    Waiting,
    domain_of,
)
from sequoiachute.coordination.placement.sharing import SharingPolicy

__all__ = [
    "PlacementDecision",
    "Eviction",
    "FirstFitPolicy",
    "MemberPlacement",
    "Placement",
    "PlacementView",
    "PlacementPolicy",
    "SharingPolicy",
    "Shortfall",
    "Unplaceable",
    "Waiting",
    "domain_of",
]
