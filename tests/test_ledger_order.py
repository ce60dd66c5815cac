"""A ledger holds the same, in whatever order the records of its topics are read."""

from math import inf
from random import Random
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiachute.coordination.dispatch.settlement import ProgressDraft
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.workload import (
    CANCELLED,
    COMPLETE,
    FAILED,
    JobGraph,
    Lifetime,
    Machine,
    MachineSpeed,
    Resources,
    StepSpec,
    TaskId,
    TaskState,
    encode,
    task_key,
)
from sequoiachute.state.job_records import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    JOB_TOPICS,
    end_record,
)
from sequoiachute.state.ledger import (
    LEADER_KEY,
    RUNS,
    SPEEDS_KEY,
    WAVE_PREFIX,
    Leader,
    Ledger,
    encode_leader,
    encode_speeds,
)
from sequoiachute.state.silences import Silence, encode_silence, silence_key

TOPICS = (*JOB_TOPICS, RUNS)
HOSTS = ("10.0.1.0", "10.0.1.1")
ACCOUNT, QUEUE = "brocach", "proofs"
NEED = Resources(1000, 1000, 1)
STEPS = (
    (StepSpec(3, NEED),),
    (StepSpec(3, NEED, gang=True), StepSpec(1, NEED, after=(0,))),
    (StepSpec(70, NEED),),  # in two records
)
INDICES = (0, 1, 66)
STATES = (CANCELLED, FAILED, COMPLETE)


class Change(NamedTuple):
    """A change of the store: its kind, and which job, task and topic it is about."""

    kind: str
    job: int
    index: int
    topic: int


class StoreHistory:
    """Records of all topics as entries and placers write them.

    ``records`` holds them by topic, ``order`` the topics in the order of the appends.
    """

    def __init__(self):
        self.records = {topic: [] for topic in TOPICS}
        self.order = []
        self._ledger = Ledger()
        self._time = 0

    def write(self, topic, key, value):
        """Append a record that the writers know at once."""
        record = StoredRecord(len(self.records[topic]), key, value)
        self.records[topic].append(record)
        self.order.append(topic)
        self._ledger.apply(topic, record)

    def apply(self, change):
        """Make a change if it is possible now."""
        self._time += 1
        job_id = f"{change.job:016x}"
        topic = JOB_TOPICS[change.topic]
        getattr(self, f"_{change.kind}")(job_id, change, topic)

    def _accept(self, job_id, change, topic):
        if self._ledger.progress(job_id).state:
            return
        job = JobGraph(
            job_id, ACCOUNT, QUEUE, "render", "", STEPS[change.job], self._time
        )
        self.write(topic, JOB_PREFIX + job_id, encode(job))

    def _cancel(self, job_id, change, topic):
        if self._ledger.job(job_id) is not None:
            self.write(topic, CANCEL_PREFIX + job_id, b"1")

    def _back_up_end(self, job_id, change, topic):
        task = self._task(job_id, change)
        if task is None:
            return
        state = ProgressDraft(self._ledger).task(task)
        if state.run:
            self.write(topic, *end_record(task, state.run))

    def _place(self, job_id, change, topic):
        task = self._task(job_id, change)
        if task is None or self._ledger.progress(job_id).state:
            return
        draft = ProgressDraft(self._ledger)
        state = draft.task(task)
        if state.placed or state.done:
            return
        host = HOSTS[change.topic % len(HOSTS)]
        placed = state._replace(run=state.run + 1, host=host)
        draft.set_task(task, placed._replace(lifetime=Lifetime("worker", 1)))
        self._append(draft)

    def _end_run(self, job_id, change, topic):
        task = self._task(job_id, change)
        if task is None:
            return
        draft = ProgressDraft(self._ledger)
        state = draft.task(task)
        if state.placed:
            is_done = change.topic == 0
            draft.set_task(
                task, state._replace(host="", lifetime=Lifetime(), done=is_done)
            )
            self._append(draft)

    def _put_all_into_head(self, job_id, change, topic):
        """Write all tasks into the head, as an earlier version did."""
        progress = self._ledger.progress(job_id)
        if self._ledger.progress_keys(job_id) == [job_id]:
            task = self._task(job_id, change)
            if task is not None and not progress.state:
                tasks = {**progress.tasks, task_key(task): TaskState(run=1)}
                self.write(RUNS, job_id, encode(progress._replace(tasks=tasks)))

    def _begin(self, job_id, change, topic):
        if self._ledger.progress(job_id).tasks:
            draft = ProgressDraft(self._ledger)
            draft.set_begun(job_id)
            self._append(draft)

    def _end_job(self, job_id, change, topic):
        is_known = self._ledger.job(job_id) is not None
        if is_known and not self._ledger.progress(job_id).state:
            draft = ProgressDraft(self._ledger)
            draft.set_state(job_id, STATES[change.topic])
            self._append(draft)

    def _drop_records(self, job_id, change, topic):
        """Delete the records of an ended job in one topic, or in all."""
        if job_id not in self._ledger.ended_before(inf):
            return
        for stored, key in self._ledger.stored_keys(job_id):
            if change.index or stored == topic:
                self.write(stored, key, None)

    def _drop_progress(self, job_id, change, topic):
        is_ended = job_id in self._ledger.ended_before(inf)
        if is_ended and not self._ledger.stored_keys(job_id):
            for key in self._ledger.progress_keys(job_id):
                self.write(RUNS, key, None)

    def _silence(self, job_id, change, topic):
        host = HOSTS[change.topic % len(HOSTS)]
        value = encode_silence(Silence(float(self._time))) if change.index else None
        self.write(RUNS, silence_key(host), value)

    def _lead(self, job_id, change, topic):
        self.write(RUNS, LEADER_KEY, encode_leader(Leader(self._time, "", "")))
        speeds = {Machine("10.0.1.0"): MachineSpeed(float(self._time), 0.1)}
        self.write(RUNS, SPEEDS_KEY, encode_speeds(speeds))
        self.write(RUNS, f"{WAVE_PREFIX}{change.job}", str(self._time).encode())

    def _task(self, job_id, change):
        index = INDICES[change.index]
        is_known = self._ledger.job(job_id) is not None
        if not is_known or index >= STEPS[change.job][0].count:
            return None
        return TaskId(job_id, 0, 0, index)

    def _append(self, draft):
        for job_id in draft.changed:
            for key, value in draft.records(job_id):
                self.write(RUNS, key, value)


KINDS = (
    "accept",
    "cancel",
    "back_up_end",
    "place",
    "end_run",
    "put_all_into_head",
    "begin",
    "end_job",
    "drop_records",
    "drop_progress",
    "silence",
    "lead",
)
numbers = st.integers(0, 2)
changes = st.builds(Change, st.sampled_from(KINDS), numbers, numbers, numbers)


def read_in_order(history):
    """Return the ledger of an entry that has read every record as it was written."""
    ledger = Ledger()
    pending = {topic: iter(records) for topic, records in history.records.items()}
    for topic in history.order:
        ledger.apply(topic, next(pending[topic]))
    return ledger


def snapshot(records):
    """Return the newest records, by key as the platform returns them."""
    newest = {}
    for record in records:
        newest[record.key] = record
    kept = [record for record in newest.values() if record.value is not None]
    return sorted(kept, key=lambda record: record.key)


def read_topic(ledger, topic, records, random):
    """Read a topic: some records, a snapshot in place of some, and the others.

    Yields after each record or snapshot.
    """
    first = random.randint(0, len(records)) if random.random() < 0.3 else 0
    end = random.randint(first, len(records))
    for record in records[:first]:
        ledger.apply(topic, record)
        yield
    kept = snapshot(records[:end])
    ledger.drop_absent(topic, {record.key for record in kept}, end)
    for record in kept:
        ledger.apply(topic, record)
    yield
    again = random.randint(0, end)  # read again after a snapshot, as pages are
    for record in records[again:]:
        ledger.apply(topic, record)
        yield


def read_in_any_order(history, random):
    """Return the ledger of an entry that has read the topics in some other order."""
    ledger = Ledger()
    readers = [
        read_topic(ledger, topic, records, random)
        for topic, records in history.records.items()
    ]
    is_one_by_one = random.random() < 0.5
    random.shuffle(readers)
    while readers:
        reader = readers[0] if is_one_by_one else random.choice(readers)
        if next(reader, "end") == "end":
            readers.remove(reader)
        for job in list(ledger.jobs.values()):
            ledger.first_open_occurrence(job)
    return ledger


def contents(ledger):
    """Return what a ledger says of everything."""
    found = {
        "open": {job.job_id for job in ledger.live()},
        "ended with runs": set(ledger.ended_with_runs()),
        "ended": set(ledger.ended_before(inf)),
        "open tasks": ledger.open_tasks(ACCOUNT),
        "waiting": ledger.waiting_count(QUEUE),
        "hosts": {host: ledger.tasks_on_host(host) for host in ledger.hosts()},
        "silent": {
            host: ledger.silences.get(host).silence for host in ledger.silences.hosts()
        },
        "leader": ledger.leader,
        "speeds": ledger.speeds,
        "waves": [ledger.wave(number) for number in range(len(STEPS))],
    }
    for number in range(len(STEPS)):
        job_id = f"{number:016x}"
        job = ledger.job(job_id)
        found[job_id] = {
            "job": job,
            "progress": ledger.progress(job_id),
            "state": ledger.state(job_id),
            "cancelled": ledger.is_cancelled(job_id),
            "ends": ledger.ends(job_id),
            "placed": ledger.placed_count(job_id),
            "keys": set(ledger.stored_keys(job_id)),
            "progress keys": ledger.progress_keys(job_id),
        }
        counts = ledger.step_counts(job_id, 0, 0)
        found[job_id]["counts"] = (counts.done, counts.placed, dict(counts.per_host))
        if job is not None:
            found[job_id]["first open"] = ledger.first_open_occurrence(job)
    return found


@settings(max_examples=400)
@given(st.lists(changes, max_size=25), st.integers(0, 2**32))
def test_ledger_is_the_same_in_whatever_order_its_topics_are_read(changes, seed):
    # Guards against state that is kept up by one kind of record and depends on another.
    history = StoreHistory()
    for change in changes:
        history.apply(change)
    read = read_in_any_order(history, Random(seed))
    assert contents(read) == contents(read_in_order(history))


def apply_all(records):
    ledger = Ledger()
    for topic, offset, key, value in records:
        ledger.apply(topic, StoredRecord(offset, key, value))
    return ledger


def test_record_that_one_of_two_topics_drops_is_known_as_after_a_restart():
    # Guards against a deletion in one topic that hides what another topic holds.
    job_id = "a" * 16
    job = JobGraph(job_id, ACCOUNT, QUEUE, "render", "", STEPS[0], 1.0)
    task = TaskId(job_id, 0, 0, 0)
    keys = (
        (JOB_PREFIX + job_id, encode(job)),
        (CANCEL_PREFIX + job_id, b"1"),
        end_record(task, 1),
    )
    first, second = JOB_TOPICS[:2]
    kept = [(second, offset, *key) for offset, key in enumerate(keys)]
    dropped = [(first, offset, *key) for offset, key in enumerate(keys)]
    dropped += [(first, offset + 3, key, None) for offset, (key, _) in enumerate(keys)]
    assert contents(apply_all(kept + dropped)) == contents(apply_all(kept))


def test_deletion_of_one_end_leaves_the_others():
    # Guards against ends that retention can't find any more if it fails midway.
    job_id = "a" * 16
    ends = [end_record(TaskId(job_id, 0, 0, index), 1) for index in range(2)]
    records = [(JOB_TOPICS[0], number, *end) for number, end in enumerate(ends)]
    ledger = apply_all([*records, (JOB_TOPICS[0], 2, ends[0][0], None)])
    assert ledger.stored_keys(job_id) == [(JOB_TOPICS[0], ends[1][0])]
