"""Checkers of recorded histories; each returns the violations that it finds."""

from typing import NamedTuple


class Call(NamedTuple):
    """A request as its caller saw it.

    Attributes
    ----------
    outcome : str
        "answered", "ran", "not-run", "unknown" or "lost" (no response); empty
        while the call is open.
    status : int
        HTTP status of a refusal.
    retry_after, seconds : float
        Advised delay before a retry and duration of the call, in seconds.
    reason : str
        Title of the refusal's problem document.
    """

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
    """An execution of a request at a backend server."""

    request_id: str
    attempt_id: str
    body: bytes


def duplicate_runs(calls, runs):
    """Return the bodies of non-idempotent requests that ran more than once.

    Assumes that no two idempotency keys share a body.
    """
    non_idempotent = {call.body for call in calls if not call.idempotent}
    seen = set()
    duplicates = []
    for run in runs:
        if run.body in non_idempotent and run.body in seen:
            duplicates.append(run.body)
        seen.add(run.body)
    return duplicates


def mismatched_answers(calls, answer_to):
    """Return the answered calls whose answer is truncated or another request's.

    ``answer_to`` maps a request body to the expected answer.
    """
    mismatched = []
    for call in calls:
        if call.outcome == "answered" and call.answer != answer_to(call.body):
            mismatched.append(call)
    return mismatched


def false_refusals(calls, runs):
    """Return the calls that were refused as "not-run" although they ran."""
    ran = {run.request_id for run in runs}
    return [c for c in calls if c.outcome == "not-run" and c.request_id in ran]


def answers_without_run(calls, runs):
    """Return the answered calls whose body never ran."""
    ran = {run.body for run in runs}
    return [c for c in calls if c.outcome == "answered" and c.body not in ran]


def overdue_calls(calls, bound):
    """Return the unanswered calls that took longer than ``bound`` seconds."""
    return [c for c in calls if c.outcome != "answered" and c.seconds > bound]


def find_violations(calls, runs, answer_to):
    """Return the violations of the request guarantees by kind."""
    return {
        "duplicate runs": duplicate_runs(calls, runs),
        "mismatched answers": mismatched_answers(calls, answer_to),
        "false refusals": false_refusals(calls, runs),
        "answers without a run": answers_without_run(calls, runs),
    }


def assert_valid_history(calls, runs, answer_to):
    """Raise ``AssertionError`` if a history violates a request guarantee."""
    violations = find_violations(calls, runs, answer_to)
    assert not any(violations.values()), violations


def denied_but_applied(outcomes, applied):
    """Return the records that were applied although their append was denied.

    ``outcomes`` maps a record to the result that its writer got. A result that
    may have been applied is not a denial.
    """
    violations = set()
    for record_id, outcome in outcomes.items():
        if outcome.is_ok() or outcome.unwrap_err().maybe_applied:
            continue
        if record_id in applied:
            violations.add(record_id)
    return violations


def confirmed_but_missing(outcomes, applied):
    """Return the records that were not applied although their append succeeded."""
    violations = set()
    for record_id, outcome in outcomes.items():
        if outcome.is_ok() and record_id not in applied:
            violations.add(record_id)
    return violations


def lost_jobs(accepted, states):
    """Return the accepted jobs that are unknown or not finished."""
    return {job_id for job_id in accepted if states.get(job_id) != "finished"}


def backward_steps(views):
    """Return the (before, after) pairs of consecutive views that decrease.

    ``views`` are one process's views of the configuration, in order.
    """
    steps = []
    for before, after in zip(views, views[1:], strict=False):
        if after < before:
            steps.append((before, after))
    return steps


def divergent_views(views):
    """Return the (offset, value) pairs that contradict an earlier pair.

    Two processes at the same offset must hold the same configuration.
    """
    known = {}
    divergent = []
    for offset, value in views:
        if known.setdefault(offset, value) != value:
            divergent.append((offset, value))
    return divergent


class TaskStart(NamedTuple):
    """A start of a task at a worker; ``at`` in seconds since the epoch."""

    job_id: str
    attempt: int
    member: int
    at: float


def duplicate_starts(starts):
    """Return the starts of a member whose attempt had already started it."""
    seen = set()
    duplicates = []
    for start in starts:
        key = start[:3]
        if key in seen:
            duplicates.append(start)
        seen.add(key)
    return duplicates


def starts_after_end(starts, ended):
    """Return the starts of jobs that a caller had already seen as ended.

    ``ended`` maps a job to the time, in seconds since the epoch, at which a
    caller first saw its end.
    """
    return [start for start in starts if start.at > ended.get(start.job_id, start.at)]


def conflicting_final_states(seen):
    """Return the jobs that were shown with more than one final state.

    ``seen`` maps a job to the final states that callers saw.
    """
    return {job_id for job_id, states in seen.items() if len(states) > 1}


class JobSample(NamedTuple):
    """What entries and workers showed of jobs at one time.

    Attributes
    ----------
    at : float
        Time in seconds.
    waiting : dict of str to int
        Number of the last attempt of each job that waits for a start, by job.
    used : list of int
        Accelerators in use on each worker.
    """

    at: float
    waiting: dict[str, int]
    used: list[int]


def idle_waits(samples, needs, capacity, bound):
    """Return the jobs that waited beside idle workers for more than ``bound`` seconds.

    Workers are idle if less than half of their accelerators are in use and one of
    them could hold the job twice over.

    Parameters
    ----------
    samples : list of JobSample
        In order of time, without faults that are near.
    needs : dict of str to int
        Accelerators that each job needs.
    capacity : int
        Accelerators of each worker.
    bound : float
    """
    late = set()
    since: dict[tuple[str, int], float] = {}
    for sample in samples:
        is_half_idle = sum(sample.used) < capacity * len(sample.used) / 2
        most_free = max(capacity - used for used in sample.used)
        startable = {}
        for job_id, attempt in sample.waiting.items():
            if is_half_idle and most_free >= 2 * needs[job_id]:
                # A start since the last sample begins a new wait.
                began = since.get((job_id, attempt), sample.at)
                startable[(job_id, attempt)] = began
                if sample.at - began > bound:
                    late.add(job_id)
        since = startable
    return late


def used_accelerators(starts, attempts):
    """Return how many members of jobs run on one worker; each takes an accelerator.

    Parameters
    ----------
    starts : list of TaskStart
        Starts on the worker.
    attempts : dict of str to int
        Last attempt of each job that runs. Its members count until the job is shown
        as waiting or ended.
    """
    return sum(attempts.get(start.job_id) == start.attempt for start in starts)


class TaskRun(NamedTuple):
    """An execution of a task at a worker; times in seconds since the epoch.

    ``accelerators`` are the numbers of those that the task was given.
    """

    worker: int
    job_id: str
    attempt: int
    member: int
    accelerators: tuple[int, ...]
    began: float
    ended: float


class TaskCrash(NamedTuple):
    """The crash of a worker under a task."""

    job_id: str
    member: int
    at: float


def concurrent_runs(runs):
    """Return the pairs of runs of one job that overlap and must not.

    Members of one attempt run side by side; a member does not run beside itself,
    nor an attempt beside another.
    """
    by_job: dict[str, list[TaskRun]] = {}
    for run in runs:
        by_job.setdefault(run.job_id, []).append(run)
    pairs = []
    for job_runs in by_job.values():
        for first, second in _overlapping(job_runs):
            if first.attempt == second.attempt and first.member != second.member:
                continue
            pairs.append((first, second))
    return pairs


def overcommitted_accelerators(runs, capacity):
    """Return the runs with an accelerator that a worker lacks or has given away.

    ``capacity`` is the number of accelerators of each worker.
    """
    overcommitted = []
    by_worker: dict[int, list[TaskRun]] = {}
    for run in runs:
        by_worker.setdefault(run.worker, []).append(run)
        if any(not 0 <= number < capacity for number in run.accelerators):
            overcommitted.append(run)
    for worker_runs in by_worker.values():
        for first, second in _overlapping(worker_runs):
            if set(first.accelerators) & set(second.accelerators):
                overcommitted.append(second)
    return overcommitted


def _overlapping(runs):
    """Return the pairs of runs that overlap, each with its earlier run first."""
    pairs = []
    open_runs: list[TaskRun] = []
    for run in sorted(runs, key=lambda r: r.began):
        open_runs = [known for known in open_runs if known.ended > run.began]
        pairs += [(known, run) for known in open_runs]
        open_runs.append(run)
    return pairs


def starts_over_crash_budget(starts, crashes, crash_limit, start_limit):
    """Return the starts of tasks that have crashed too many workers before.

    Once ``crash_limit`` workers have crashed under a task, fewer than
    ``start_limit`` starts of it may follow.
    """
    crash_times: dict[tuple[str, int], list[float]] = {}
    for crash in sorted(crashes, key=lambda c: c.at):
        crash_times.setdefault((crash.job_id, crash.member), []).append(crash.at)
    later_starts: dict[tuple[str, int], int] = {}
    excess = []
    for start in sorted(starts, key=lambda s: s.at):
        task = (start.job_id, start.member)
        times = crash_times.get(task, [])
        if len(times) < crash_limit or start.at <= times[crash_limit - 1]:
            continue
        later_starts[task] = later_starts.get(task, 0) + 1
        if later_starts[task] >= start_limit:
            excess.append(start)
    return excess
