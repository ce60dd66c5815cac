"""Records hosts as silent, and as heard of again, for later placers."""

from collections.abc import Callable

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.sessions import (
    MAX_WORKER_AGE_SECONDS,
    AgentSessions,
)
from sequoiachute.state.ledger import Ledger
from sequoiachute.state.silences import encode_silence, silence_key
from sequoiachute.transport.store import Record

# After a longer pause between two rounds the reports of all hosts are old.
MAX_ROUND_GAP_SECONDS = 1.0


class SilenceRecorder:
    """Drafts the records of hosts that fall silent with tasks, or are heard of again.

    Parameters
    ----------
    ledger : Ledger
    agents : AgentSessions
    is_store_away : callable
        Returns whether the store takes no records now. One could not be deleted
        either, and a host that is heard of again would get no lease.
    """

    def __init__(
        self,
        ledger: Ledger,
        agents: AgentSessions,
        is_store_away: Callable[[], bool],
    ) -> None:
        self._ledger = ledger
        self._agents = agents
        self._is_store_away = is_store_away
        self._round_began_at = self._round_ended_at = clock.elapsed()
        self._own: set[str] = set()

    def begin_round(self) -> None:
        """Take note that a round of the placer begins."""
        self._round_began_at = clock.elapsed()

    def end_round(self) -> None:
        """Take note that a round of the placer ends."""
        self._round_ended_at = clock.elapsed()

    def draft(self) -> list[Record]:
        """Return the records that are due in this round."""
        records: list[Record] = []
        for host in self._ledger.silences.hosts():
            if self._is_over(host):
                self._own.discard(host)
                records.append((silence_key(host), None))
                logger.bind(host=host).info("silence of host ended")
        if self._has_paused() or self._is_store_away():
            return records
        for host in self._ledger.hosts():
            # A record of an earlier term is renewed: a process that has started since
            # then counts from when it read it.
            if host not in self._own and self._has_fallen_silent(host):
                records.append(self._record(host))
        return records

    def _has_paused(self) -> bool:
        return self._round_began_at - self._round_ended_at > MAX_ROUND_GAP_SECONDS

    def _is_over(self, host: str) -> bool:
        if not self._ledger.tasks_on_host(host):
            return True
        return not self._agents.is_silent(host)

    def _has_fallen_silent(self, host: str) -> bool:
        """Return whether a host is silent; agents need a moment for a new placer."""
        if host in self._agents.sessions:
            return self._agents.is_silent(host)
        if self._ledger.silences.get(host) is not None:
            return not self._agents.is_gathering
        return self._agents.silent_seconds(host) > MAX_WORKER_AGE_SECONDS

    def _record(self, host: str) -> Record:
        silence = self._agents.silence(host)
        self._own.add(host)
        log = logger.bind(host=host, late_starts=len(silence.late_starts))
        log = log.bind(silent=round(self._agents.silent_seconds(host), 3))
        log.bind(lease=silence.lease_seconds).info("silence of host recorded")
        return silence_key(host), encode_silence(silence)
