import pytest

from soak.histories import (
    Call,
    RequestRun,
    answers_without_run,
    duplicate_runs,
    false_refusals,
    find_violations,
    mismatched_answers,
    overdue_calls,
)

GOOD_CALL = Call("r1", "k1", False, b"tag", "answered", b"TAG")
GOOD_RUN = RequestRun("r1", "a1", b"tag")


def test_sound_history_is_not_flagged():
    retried = Call("r2", "", True, b"photo", "answered", b"PHOTO")
    runs = [
        GOOD_RUN,
        RequestRun("r2", "a2", b"photo"),
        RequestRun("r2", "a3", b"photo"),
    ]
    refused = Call("r3", "k3", False, b"late", "not-run")
    found = find_violations([GOOD_CALL, retried, refused], runs, bytes.upper)
    assert not any(found.values())


@pytest.mark.parametrize("second", ["r1", "r2"])
def test_second_run_of_a_key_is_flagged(second):
    runs = [GOOD_RUN, RequestRun(second, "a2", b"tag")]
    assert duplicate_runs([GOOD_CALL], runs) == [b"tag"]


@pytest.mark.parametrize("answer", [b"TA", b"", b"PHOTO"])
def test_truncated_or_foreign_answer_is_flagged(answer):
    call = GOOD_CALL._replace(answer=answer)
    assert mismatched_answers([call], bytes.upper) == [call]


def test_false_refusal_is_flagged():
    call = GOOD_CALL._replace(outcome="not-run")
    assert false_refusals([call], [GOOD_RUN]) == [call]


def test_answer_without_a_run_is_flagged():
    assert answers_without_run([GOOD_CALL], []) == [GOOD_CALL]


def test_call_without_answer_past_its_time_bound_is_flagged():
    call = GOOD_CALL._replace(outcome="unknown", seconds=9.0)
    assert overdue_calls([call], 8.0) == [call]
