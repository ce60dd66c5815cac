"""Idempotency keys that carry their creation time."""

import secrets
from uuid import UUID

from sequoiachute import clock

RANDOM_BITS = 74
LOW_RANDOM_BITS = 62
MILLISECONDS_PER_SECOND = 1000


def create_timestamped_key() -> str:
    """Return a version 7 UUID.

    Entries refuse keys older than the records they can check for duplicates;
    the timestamp in the key shows its age.
    """
    milliseconds = int(clock.wall_time() * MILLISECONDS_PER_SECOND)
    random = secrets.randbits(RANDOM_BITS)
    value = milliseconds << 80
    value |= 7 << 76
    value |= (random >> LOW_RANDOM_BITS) << 64
    value |= 0b10 << LOW_RANDOM_BITS
    value |= random & ((1 << LOW_RANDOM_BITS) - 1)
    return str(UUID(int=value))
