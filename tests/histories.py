"""Checks over the history of requests: what callers heard and what ran."""

from typing import NamedTuple


class Call(NamedTuple):
    """A request as its caller saw it; ``outcome`` is empty until it ended."""

    request_id: str
    key: str
    idempotent: bool
    body: bytes
    outcome: str = ""
    answer: bytes = b""
    status: int = 0
    retry_after: float = 0.0
    seconds: float = 0.0
    reason: str = ""


class Run(NamedTuple):
    """One run at a backend server."""

    request_id: str
    attempt_id: str
    body: bytes


def doubled_runs(calls, runs):
    """Return the bodies of non-idempotent requests that ran more than once.

    Every key has a body of its own.
    """
    once = {call.body for call in calls if not call.idempotent}
    seen = set()
    doubled = []
    for run in runs:
        if run.body in once and run.body in seen:
            doubled.append(run.body)
        seen.add(run.body)
    return doubled


def foreign_answers(calls, answer_to):
    """Return the answered calls whose answer is not whole and their own."""
    found = []
    for call in calls:
        if call.outcome == "answered" and call.answer != answer_to(call.body):
            found.append(call)
    return found


def false_refusals(calls, runs):
    """Return the calls that were told "not run" though a run was made for them."""
    ran = {run.request_id for run in runs}
    return [c for c in calls if c.outcome == "not-run" and c.request_id in ran]


def invented_answers(calls, runs):
    """Return the answered calls whose body never ran."""
    ran = {run.body for run in runs}
    return [c for c in calls if c.outcome == "answered" and c.body not in ran]


def held_calls(calls, bound):
    """Return the calls without a good answer that were held past ``bound``."""
    return [c for c in calls if c.outcome != "answered" and c.seconds > bound]


def faults(calls, runs, answer_to):
    """Return everything that must never be in a history."""
    return {
        "doubled": doubled_runs(calls, runs),
        "foreign": foreign_answers(calls, answer_to),
        "refused": false_refusals(calls, runs),
        "invented": invented_answers(calls, runs),
    }


def assert_sound(calls, runs, answer_to):
    found = faults(calls, runs, answer_to)
    assert not any(found.values()), found
