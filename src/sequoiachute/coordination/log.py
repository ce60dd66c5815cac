"""Readers and writers of the log's streams, as the rest of coordination uses them."""

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
