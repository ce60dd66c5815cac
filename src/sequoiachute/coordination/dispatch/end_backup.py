"""Records ends of runs while the placer's own topic does not answer."""

from loguru import logger

from sequoiachute.coordination.dispatch.sessions import AgentSessions, needs_record
from sequoiachute.coordination.store.availability import STAGGER_SECONDS
from sequoiachute.coordination.store.batches import in_batches
from sequoiachute.coordination.store.race import Race, RecordPosition, topic_appends
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.supervision import DONE
from sequoiachute.protocol.workload import parse_task_id, task_key
from sequoiachute.state.job_records import JOB_TOPICS, end_record
from sequoiachute.state.ledger import Ledger
from sequoiachute.transport.store import KeyedStore, Record

APPEND_TIMEOUT_SECONDS = 0.8


class EndBackup:
    """Records done runs in the jobs' topics, which any process may write.

    A loss of the worker or of the placer then repeats no finished work, and callers
    see the ends of their jobs. The ends stay unacknowledged at the worker until they
    are in the placer's topic.

    Parameters
    ----------
    store : KeyedStore
    ledger : Ledger
    agents : AgentSessions
        The ends that they have reported are recorded.
    """

    def __init__(
        self, store: KeyedStore, ledger: Ledger, agents: AgentSessions
    ) -> None:
        self._store = store
        self._ledger = ledger
        self._agents = agents
        self._is_recording = False

    def record(self) -> None:
        """Record the ends that are in no topic yet; return at once while one call does.

        What fails is left to the next call.
        """
        if self._is_recording:
            return
        self._is_recording = True
        try:
            for batch in in_batches([self._missing_records()], self._store.limits):
                if not self._append(batch):
                    return
        finally:
            self._is_recording = False

    def _append(self, records: list[Record]) -> bool:
        race: Race[RecordPosition] = Race(STAGGER_SECONDS)
        timeout = APPEND_TIMEOUT_SECONDS
        race.add(topic_appends(self._store, JOB_TOPICS, records, timeout))
        outcome = race.run(timeout)
        if outcome.is_err():
            reason = outcome.unwrap_err().reason
            logger.bind(ends=len(records), reason=reason).info("backup of ends failed")
            return False
        topic, offset = outcome.unwrap()
        for number, (key, value) in enumerate(records):
            self._ledger.apply(topic, StoredRecord(offset + number, key, value))
        logger.bind(ends=len(records), topic=topic).info("ends backed up")
        return True

    def _missing_records(self) -> list[Record]:
        records: list[Record] = []
        for session in self._agents.sessions.values():
            for end in session.ends:
                if end.outcome != DONE or not needs_record(self._ledger, session, end):
                    continue
                task = parse_task_id(end.task)
                # A task that lasts may end done again and again.
                if self._ledger.ends(task.job_id).get(task_key(task), 0) < end.run:
                    records.append(end_record(task, end.run))
        return records
