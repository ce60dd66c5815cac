import eventlet
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from sequoiachute import clock
from sequoiachute.protocol.records import JOBS_STREAM, decode_record
from sequoiachute.state.jobs import JobTable
from soak import histories
from standins.memory import MemoryLog
from standins.paused import install_paused_clock
from tests.lognode import ENDED_JOB_HOLD_SECONDS, LogNode, accepted_record, ended_record

RETENTION_SECONDS = 400.0
MAX_FAULT_SECONDS = 60.0
NODES = 3
FAULTS = ("down", "reads_fail", "lose_replies")


class RecordingLog(MemoryLog):
    """A log that also applies every record to a reference table when it is stored."""

    def __init__(self, retention_seconds):
        super().__init__(retention=retention_seconds)
        self.jobs = JobTable(ENDED_JOB_HOLD_SECONDS)
        self.applied = set()
        self.voided = set()

    def put(self, stream, records):
        for data in records if stream == JOBS_STREAM else ():
            record = decode_record(data)
            self.voided.update(record.get("targets", ()))
            if record["record_id"] in self.voided or "targets" in record:
                continue
            self.applied.add(record["record_id"])
            self.jobs.apply(record, clock.wall_time())
        return super().put(stream, records)


class LogMachine(RuleBasedStateMachine):
    """Writers, followers and snapshots of one stream under injected faults."""

    def __init__(self):
        super().__init__()
        install_paused_clock()
        self.log = RecordingLog(RETENTION_SECONDS)
        self.nodes = [LogNode(self.log, RETENTION_SECONDS) for _ in range(NODES)]
        self.frozen = set()
        self.job_count = 0
        self.outcomes = {}
        self.faulty_since = None

    def _append(self, node, record):
        outcome = self.nodes[node].writer.append(record)
        self.outcomes[record["record_id"]] = outcome

    @rule(node=st.integers(0, NODES - 1), key=st.integers(0, 30))
    def accept(self, node, key):
        self.job_count += 1
        record = accepted_record(f"job-{self.job_count}", f"key-{key}")
        eventlet.spawn(self._append, node, record)

    @rule(node=st.integers(0, NODES - 1), number=st.integers(1, 20))
    def end(self, node, number):
        eventlet.spawn(self._append, node, ended_record(f"job-{number}"))

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 20.0]))
    def advance(self, seconds):
        clock.sleep(seconds)
        since = self.faulty_since
        if since is not None and clock.now() - since > MAX_FAULT_SECONDS:
            self.heal()

    @rule(fault=st.sampled_from(FAULTS))
    def break_log(self, fault):
        setattr(self.log, fault, True)
        self._mark_faulty()

    @rule(seconds=st.sampled_from([2.0, 10.0]))
    def delay_appends(self, seconds):
        self.log.late_seconds = seconds
        self._mark_faulty()

    def _mark_faulty(self):
        if self.faulty_since is None:
            self.faulty_since = clock.now()

    @rule()
    def heal(self):
        for fault in FAULTS:
            setattr(self.log, fault, False)
        self.log.late_seconds = 0.0
        self.faulty_since = None

    @rule(node=st.integers(1, NODES - 1))
    def freeze(self, node):
        self.nodes[node].stop()
        self.frozen.add(node)

    @rule(pause=st.sampled_from([0.0, 1.5 * RETENTION_SECONDS]))
    def thaw(self, pause):
        if pause:
            self.heal()
            clock.sleep(pause)
        for node in sorted(self.frozen):
            self.nodes[node].run()
        self.frozen.clear()

    @rule(node=st.integers(1, NODES - 1))
    def replace(self, node):
        self.nodes[node].stop()
        self.frozen.discard(node)
        self.nodes[node] = LogNode(self.log, RETENTION_SECONDS)

    @rule()
    def settle(self):
        self.heal()
        self.thaw(0.0)
        clock.sleep(40)
        for node in self.nodes:
            assert node.jobs.snapshot() == self.log.jobs.snapshot()
        applied = self.log.applied
        assert not histories.denied_but_applied(self.outcomes, applied)
        assert not histories.confirmed_but_missing(self.outcomes, applied)

    def teardown(self):
        self.settle()


def test_log_machine():
    run_state_machine_as_test(
        LogMachine, settings=settings(max_examples=20, stateful_step_count=40)
    )
