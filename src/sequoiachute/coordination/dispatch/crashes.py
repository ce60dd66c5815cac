"""Tells which tasks crash the workers that start them: no network, no clock.

Every run on a worker that crashes may be the cause, most likely one that had just
started. Suspected tasks run apart from others, so that further crashes tell.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from sequoiachute.protocol.workload import CrashRecord, Lifetime, TaskId

MIN_PROOF_SECONDS = 2.0  # of work that a task without crashes needs to prove sound
MAX_PROOF_SECONDS = 60.0
PROOF_RATIO = 2.0  # of the work in a run that proves sound to that before a crash
# In a row. A task is given up after fewer only if they had no other possible cause.
MAX_CRASHES = 4
MAX_CLEAR_CRASHES = 3
MIN_SOLE_CRASHES = 2
MIN_OWN_CRASHES = 2  # of a task before it may be given up
NO_CRASHES = CrashRecord()


class LostRun(NamedTuple):
    """A run of a task on a worker that crashed; it had worked for ``worked_seconds``.

    ``record`` is that of the task before the crash.
    """

    task: TaskId
    run: int
    worked_seconds: float
    record: CrashRecord


class Crash(NamedTuple):
    """A crash of a worker, with the tasks that were placed on it."""

    host: str
    lifetime: Lifetime
    tasks: tuple[TaskId, ...]


def member_records(
    records: Sequence[CrashRecord | None],
) -> tuple[CrashRecord, ...]:
    """Return a record for each member of a gang, which may have none yet.

    Earlier versions kept one count for all members with the first one. Any of them may
    be the cause of those crashes, so that each takes them over, but for so many that it
    is given up only after ``MIN_OWN_CRASHES`` of its own.
    """
    shared, *others = records
    has_own = any(record is not None for record in others)
    if shared is None or has_own or not others:
        return tuple(record or NO_CRASHES for record in records)
    count = min(shared.count, MAX_CRASHES - MIN_OWN_CRASHES)
    return (shared._replace(count=count, sole=0),) * len(records)


def proof_seconds(record: CrashRecord) -> float:
    """Return for how long a run has to work to prove its task sound."""
    seconds = PROOF_RATIO * record.worked_seconds if record.count else 0.0
    return min(MAX_PROOF_SECONDS, max(MIN_PROOF_SECONDS, seconds))


def records_after_crash(
    runs: Iterable[LostRun], host: str
) -> dict[TaskId, CrashRecord]:
    """Return the records of the tasks on a worker that has crashed on ``host``."""
    runs = list(runs)
    causes = {run.task for run in runs if _may_be_cause(run)}
    records = {}
    for run in runs:
        if run.run <= run.record.run:
            # The crash has been counted.
            continue
        is_cause = run.task in causes
        count = run.record.count + 1
        records[run.task] = CrashRecord(
            count=count,
            sole=run.record.sole + (is_cause and len(causes) == 1),
            worked_seconds=max(run.record.worked_seconds, run.worked_seconds),
            suspected=run.record.suspected or is_cause or count > 1,
            run=run.run,
            host=host,
        )
    return records


def _may_be_cause(run: LostRun) -> bool:
    return run.worked_seconds < proof_seconds(run.record)


def proven_sound(record: CrashRecord) -> CrashRecord:
    """Return the record of a task of which a run has proved sound.

    Its longest work before a crash stays, so that a task that crashes workers later
    each time is found as well.
    """
    return CrashRecord(worked_seconds=record.worked_seconds, run=record.run)


def is_given_up(record: CrashRecord) -> bool:
    """Return whether a task may not start again."""
    is_clear = record.sole >= MIN_SOLE_CRASHES and record.count >= MAX_CLEAR_CRASHES
    return is_clear or record.count >= MAX_CRASHES
