"""Checkers of recorded histories; each returns what it found wrong."""

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


class RequestRun(NamedTuple):
    """One run at a backend server."""

    request_id: str
    attempt_id: str
    body: bytes


def duplicate_runs(calls, runs):
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


def mismatched_answers(calls, answer_to):
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


def answers_without_run(calls, runs):
    """Return the answered calls whose body never ran."""
    ran = {run.body for run in runs}
    return [c for c in calls if c.outcome == "answered" and c.body not in ran]


def overdue_calls(calls, bound):
    """Return the calls without a good answer that were held past ``bound``."""
    return [c for c in calls if c.outcome != "answered" and c.seconds > bound]


def find_violations(calls, runs, answer_to):
    """Return everything that must never be in a history."""
    return {
        "doubled": duplicate_runs(calls, runs),
        "foreign": mismatched_answers(calls, answer_to),
        "refused": false_refusals(calls, runs),
        "invented": answers_without_run(calls, runs),
    }


def assert_valid_history(calls, runs, answer_to):
    """Fail if anything is in a history that must never be."""
    found = find_violations(calls, runs, answer_to)
    assert not any(found.values()), found


def denied_but_applied(outcomes, applied):
    """Return records that took effect although their writer was told not.

    ``outcomes`` maps a record to the result that its writer got.
    """
    wrong = set()
    for record_id, outcome in outcomes.items():
        if outcome.is_ok() or outcome.unwrap_err().maybe_applied:
            continue
        if record_id in applied:
            wrong.add(record_id)
    return wrong


def confirmed_but_missing(outcomes, applied):
    """Return records that did not take effect although their writer was told so."""
    wrong = set()
    for record_id, outcome in outcomes.items():
        if outcome.is_ok() and record_id not in applied:
            wrong.add(record_id)
    return wrong


def lost_jobs(accepted, states):
    """Return accepted jobs that have no end: unknown or never finished."""
    return {job_id for job_id in accepted if states.get(job_id) != "finished"}


def backward_steps(views):
    """Return steps back in one process's views of the configuration, in order."""
    steps = []
    for before, after in zip(views, views[1:], strict=False):
        if after < before:
            steps.append((before, after))
    return steps


def divergent_views(views):
    """Return (offset, value) pairs that contradict each other.

    Two processes at the same offset must hold the same configuration.
    """
    known = {}
    wrong = []
    for offset, value in views:
        if known.setdefault(offset, value) != value:
            wrong.append((offset, value))
    return wrong


class Start(NamedTuple):
    """A start of a task at a worker; ``at`` in seconds since the epoch."""

    job_id: str
    attempt: int
    member: int
    at: float


def doubled_starts(starts):
    """Return the starts of a task whose attempt had started already."""
    seen = set()
    doubled = []
    for start in starts:
        key = start[:3]
        if key in seen:
            doubled.append(start)
        seen.add(key)
    return doubled


def starts_after_end(starts, ended):
    """Return the starts of jobs that had been shown as ended before.

    ``ended`` maps jobs to the time at which a caller first saw that.
    """
    return [start for start in starts if start.at > ended.get(start.job_id, start.at)]


def changed_ends(seen):
    """Return the jobs that were shown with two different final states."""
    return {job_id for job_id, states in seen.items() if len(states) > 1}
