"""Finding out that an agent surely runs nothing any more."""

from sequoiachute import clock
from sequoiachute.coordination.bounds import AGENT_LOST_SECONDS
from sequoiachute.coordination.tasks import gather
from sequoiachute.protocol.messages import SILENCE, Silence
from sequoiachute.state.fleet import Fleet
from sequoiachute.transport.ports import RpcCaller

CALL_SECONDS = 0.5


class SilenceSurvey:
    """Asks every entry for how long it has not heard an agent.

    An agent stops its tasks when no entry has answered it for long. It is
    lost only if every entry that it announces to says that it has been silent
    for longer than that; an entry that does not answer may have heard it.
    """

    def __init__(self, fleet: Fleet, caller: RpcCaller) -> None:
        self._fleet = fleet
        self._caller = caller

    def is_lost(self, worker_id: str) -> bool:
        """Return whether no task of the worker's agent can be running."""
        addresses = self._addresses(worker_id)
        if not addresses:
            return False
        calls = []
        for address in sorted(addresses):
            calls.append(lambda a=address: self._silence(a, worker_id))
        return min(gather(calls)) >= AGENT_LOST_SECONDS

    def _addresses(self, worker_id: str) -> set[str]:
        """Return the entries that the agent may have announced to."""
        worker = self._fleet.get(worker_id)
        if worker is not None:
            return set(worker.entry_addresses)
        addresses: set[str] = set()
        for other in self._fleet.live(clock.now()):
            addresses.update(other.entry_addresses)
        return addresses

    def _silence(self, address: str, worker_id: str) -> float:
        message = Silence(worker_id)
        outcome = self._caller.call(address, SILENCE, message, CALL_SECONDS)
        return 0.0 if outcome.is_err() else outcome.unwrap().seconds
