"""Detection of agents that can't be running any task any more."""

from sequoiachute import clock
from sequoiachute.coordination.bounds import AGENT_LOST_SECONDS
from sequoiachute.coordination.concurrency import gather
from sequoiachute.protocol.messages import SILENCE, SilenceRequest
from sequoiachute.state.fleet import Fleet
from sequoiachute.transport.ports import RpcCaller

QUERY_TIMEOUT_SECONDS = 0.5


class AgentFailureDetector:
    """Asks every entry how long an agent has been silent.

    An agent stops its tasks once no entry has answered it for a bounded time.
    It counts as lost only if every entry that it announces to reports a longer
    silence; an entry that does not answer may have received its messages.
    """

    def __init__(self, fleet: Fleet, caller: RpcCaller) -> None:
        self._fleet = fleet
        self._caller = caller

    def is_lost(self, worker_id: str) -> bool:
        """Return whether no task of the worker's agent can be running."""
        addresses = self._entry_addresses(worker_id)
        if not addresses:
            return False
        calls = []
        for address in sorted(addresses):
            calls.append(lambda a=address: self._query_silence(a, worker_id))
        return min(gather(calls)) >= AGENT_LOST_SECONDS

    def _entry_addresses(self, worker_id: str) -> set[str]:
        """Return the entries that the agent may have announced to.

        Those of all live workers stand in for a worker that is not known.
        """
        worker = self._fleet.get(worker_id)
        if worker is not None:
            return set(worker.entry_addresses)
        addresses: set[str] = set()
        for other in self._fleet.live(clock.now()):
            addresses.update(other.entry_addresses)
        return addresses

    def _query_silence(self, address: str, worker_id: str) -> float:
        """Return the silence in seconds, zero if the entry does not answer."""
        message = SilenceRequest(worker_id)
        outcome = self._caller.call(address, SILENCE, message, QUERY_TIMEOUT_SECONDS)
        return 0.0 if outcome.is_err() else outcome.unwrap().seconds
