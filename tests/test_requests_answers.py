from hashlib import sha256

import pytest

from sequoiachute.coordination.routing.answers import validate_reply
from sequoiachute.protocol.messages import ExecuteReply

BODY = b"proof"
VALID_REPLY = ExecuteReply(
    request_id="r-1",
    attempt_id="a-1",
    outcome="answered",
    status=200,
    content_type="text/plain",
    digest=sha256(BODY).hexdigest(),
    length=len(BODY),
    body=BODY,
)


def test_valid_reply_yields_its_answer():
    answer = validate_reply("r-1", "a-1", VALID_REPLY)
    assert (answer.outcome, answer.body) == ("answered", BODY)


@pytest.mark.parametrize(
    "changes",
    [
        {"attempt_id": "a-0"},
        {"request_id": "r-0"},
        {"body": b"proo"},
        {"body": b"prool"},
        {"length": 6},
        {"digest": ""},
        {"attempt_id": "a-0", "outcome": "not-run"},
        {"outcome": "from a newer version"},
    ],
)
def test_mismatched_or_corrupt_reply_is_unknown(changes):
    answer = validate_reply("r-1", "a-1", VALID_REPLY._replace(**changes))
    assert (answer.outcome, answer.body) == ("unknown", b"")
