"""Idempotency keys that tell when they were made."""

import secrets
from uuid import UUID

from sequoiachute import clock

RANDOM_BITS = 74
LOW_BITS = 62
MILLISECONDS = 1000


def create_timed_key() -> str:
    """Return a version 7 UUID.

    Entries refuse a key that is older than what they can still check; a key
    that carries its time lets them tell.
    """
    milliseconds = int(clock.wall_time() * MILLISECONDS)
    random = secrets.randbits(RANDOM_BITS)
    value = milliseconds << 80
    value |= 7 << 76
    value |= (random >> LOW_BITS) << 64
    value |= 0b10 << LOW_BITS
    value |= random & ((1 << LOW_BITS) - 1)
    return str(UUID(int=value))
