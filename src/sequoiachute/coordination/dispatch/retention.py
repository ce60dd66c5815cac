"""Deletes from the store what is kept of ended jobs only for a time."""

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.term_writer import (
    APPEND_TIMEOUT_SECONDS,
    TermWriter,
)
from sequoiachute.coordination.store.batches import in_batches
from sequoiachute.state.ledger import Ledger
from sequoiachute.transport.store import KeyedStore, Record

# Callers may ask for an ended job for 120 s, and a delayed append may take effect
# some seconds late.
ENDED_JOB_RETENTION_SECONDS = 900.0
MAX_JOBS_DROPPED = 200  # at a time


class Retention:
    """Drops ended jobs, at first the progress of their tasks beyond the head.

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
        """Drop what is due; what fails is left to the next call."""
        # Callers are shown the state of an ended job, which the head has.
        parts: list[Record] = [(key, None) for key in self._ledger.ended_parts()]
        self._writer.append_groups([parts])
        cutoff = clock.wall_time() - ENDED_JOB_RETENTION_SECONDS
        expired = self._ledger.ended_before(cutoff)[:MAX_JOBS_DROPPED]
        if not expired or not self._drop_accepted(expired):
            return
        progress_keys = [self._ledger.progress_keys(job_id) for job_id in expired]
        groups = [[(key, None) for key in keys] for keys in progress_keys]
        self._writer.append_groups(groups)
        logger.bind(jobs=len(expired)).info("ended jobs dropped")

    def _drop_accepted(self, expired: list[str]) -> bool:
        """Delete the records in the jobs' topics; return whether all are deleted."""
        deletions: dict[str, list[Record]] = {}
        for job_id in expired:
            for topic, key in self._ledger.stored_keys(job_id):
                deletions.setdefault(topic, []).append((key, None))
        for topic, records in deletions.items():
            for batch in in_batches([records], self._store.limits):
                outcome = self._store.append(
                    topic, batch, timeout=APPEND_TIMEOUT_SECONDS
                )
                if outcome.is_err():
                    reason = outcome.unwrap_err().reason
                    logger.bind(reason=reason).info("dropping ended jobs failed")
                    return False
        return True
