"""Deletes from the store what is kept of ended jobs only for a time."""

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.term_writer import (
    APPEND_TIMEOUT_SECONDS,
    TermWriter,
)
from sequoiachute.coordination.store.batches import in_batches
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.state.job_records import JOB_TOPICS
from sequoiachute.state.ledger import Ledger
from sequoiachute.transport.store import KeyedStore, Record

# Callers may ask for an ended job for 120 s, and a delayed append may take effect
# some seconds late.
ENDED_JOB_RETENTION_SECONDS = 900.0
MAX_JOBS_DROPPED = 200  # at a time


class Retention:
    """Drops ended jobs: the progress of their tasks beyond the head, then the rest.

    Parameters
    ----------
    store : KeyedStore
    ledger : Ledger
    writer : TermWriter
    """

    def __init__(self, store: KeyedStore, ledger: Ledger, writer: TermWriter) -> None:
        self._store = store
        self._ledger = ledger
        self._writer = writer

    def drop(self) -> None:
        """Drop what is due; what fails is left to the next call.

        A job without progress would start anew. So its progress goes in a later call
        than its record, and only once every topic that may hold one has been read.
        """
        # Callers are shown the state of an ended job, which the head has.
        parts: list[Record] = [(key, None) for key in self._ledger.ended_parts()]
        self._writer.append_groups([parts])
        if not self._ledger.has_read(JOB_TOPICS):
            return
        cutoff = clock.wall_time() - ENDED_JOB_RETENTION_SECONDS
        expired = self._ledger.ended_before(cutoff)[:MAX_JOBS_DROPPED]
        recorded, forgotten = [], []
        for job_id in expired:
            is_recorded = bool(self._ledger.stored_keys(job_id))
            (recorded if is_recorded else forgotten).append(job_id)
        self._drop_records(recorded)
        self._drop_progress(forgotten)

    def _drop_records(self, job_ids: list[str]) -> None:
        """Delete the records of jobs in the jobs' topics."""
        deletions: dict[str, list[Record]] = {}
        for job_id in job_ids:
            for topic, key in self._ledger.stored_keys(job_id):
                deletions.setdefault(topic, []).append((key, None))
        for topic, records in deletions.items():
            for batch in in_batches([records], self._store.limits):
                if not self._delete(topic, batch):
                    return

    def _delete(self, topic: str, records: list[Record]) -> bool:
        outcome = self._store.append(topic, records, timeout=APPEND_TIMEOUT_SECONDS)
        if outcome.is_err():
            log = logger.bind(topic=topic, reason=outcome.unwrap_err().reason)
            log.info("dropping ended jobs failed")
            return False
        first_offset = outcome.unwrap()
        for number, (key, value) in enumerate(records):
            self._ledger.apply(topic, StoredRecord(first_offset + number, key, value))
        return True

    def _drop_progress(self, job_ids: list[str]) -> None:
        """Delete the progress of jobs of which no record is left."""
        if not job_ids:
            return
        progress_keys = [self._ledger.progress_keys(job_id) for job_id in job_ids]
        groups = [[(key, None) for key in keys] for keys in progress_keys]
        self._writer.append_groups(groups)
        logger.bind(jobs=len(job_ids)).info("ended jobs dropped")
