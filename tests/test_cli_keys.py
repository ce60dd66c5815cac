from uuid import UUID

import pytest

from sequoiachute import clock
from sequoiachute.cli.keys import create_timed_key
from sequoiachute.http.requests import _uuid_created_at


def test_timed_key_tells_entries_when_it_was_made():
    key = create_timed_key()
    assert (UUID(key).version, UUID(key).variant) == (7, "specified in RFC 4122")
    assert _uuid_created_at(key) == pytest.approx(clock.wall_time(), abs=5)


def test_timed_keys_differ():
    assert len({create_timed_key() for _ in range(1000)}) == 1000
