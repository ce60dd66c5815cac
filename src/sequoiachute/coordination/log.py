"""The log as coordination uses it: following, writing and snapshots."""

from sequoiachute.coordination.breaker import AppendRateLimiter, CircuitBreaker
from sequoiachute.coordination.follower import StreamFollower
from sequoiachute.coordination.writer import StreamWriter, new_record_id

__all__ = [
    "AppendRateLimiter",
    "CircuitBreaker",
    "StreamFollower",
    "StreamWriter",
    "new_record_id",
]
