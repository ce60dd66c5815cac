from hashlib import sha256

import pytest

from sequoiachute.coordination.routing.answers import validate_reply
from sequoiachute.protocol.messages import ExecuteReply

BODY = b"proof"
WHOLE = ExecuteReply(
    request_id="r-1",
    attempt_id="a-1",
    outcome="answered",
    status=200,
    content_type="text/plain",
    digest=sha256(BODY).hexdigest(),
    length=len(BODY),
    body=BODY,
)


def test_whole_answer_of_the_attempt_is_taken():
    answer = validate_reply("r-1", "a-1", WHOLE)
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
def test_any_other_reply_says_nothing(changes):
    answer = validate_reply("r-1", "a-1", WHOLE._replace(**changes))
    assert (answer.outcome, answer.body) == ("unknown", b"")
