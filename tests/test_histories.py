import pytest
from result import Err, Ok

from sequoiachute.errors import LogUnavailableError
from soak import histories

DENIED = Err(LogUnavailableError("down"))
UNKNOWN = Err(LogUnavailableError("timeout", maybe_applied=True))


@pytest.mark.parametrize(
    ("found", "expected"),
    [
        (histories.denied_but_applied({"a": DENIED, "b": UNKNOWN}, {"a", "b"}), {"a"}),
        (histories.denied_but_applied({"a": DENIED}, set()), set()),
        (histories.confirmed_but_missing({"a": Ok(1), "b": UNKNOWN}, set()), {"a"}),
        (
            histories.lost_jobs({"a", "b", "c"}, {"a": "finished", "b": "queued"}),
            {"b", "c"},
        ),
        (histories.backward_steps([1, 2, 2, 1, 3]), [(2, 1)]),
        (histories.divergent_views([(1, "x"), (2, "y"), (1, "z")]), [(1, "z")]),
        (histories.divergent_views([(1, "x"), (2, "y"), (1, "x")]), []),
    ],
)
def test_checker_returns_exactly_the_violations(found, expected):
    assert found == expected
