"""Placement policies: which job runs where and which jobs are evicted for it."""

from sequoiachute.coordination.placement.baselines import FirstFitPolicy
from sequoiachute.coordination.placement.model import (
    BlockedJob,
    Eviction,
    MemberPlacement,
    Placement,
    PlacementDecision,
    PlacementPolicy,
    PlacementView,
    Shortfall,
    Unplaceable,
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
    "BlockedJob",
    "domain_of",
]
