from uuid import UUID

import pytest

from sequoiachute import clock
from sequoiachute.cli.keys import create_timestamped_key
from sequoiachute.http.requests import _uuid_created_at


def test_timestamped_key_carries_its_creation_time():
    key = create_timestamped_key()
    assert (UUID(key).version, UUID(key).variant) == (7, "specified in RFC 4122")
    assert _uuid_created_at(key) == pytest.approx(clock.wall_time(), abs=5)


def test_timestamped_keys_are_unique():
    assert len({create_timestamped_key() for _ in range(1000)}) == 1000
