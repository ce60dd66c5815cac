"""The current entry instances, by leases in the log and answers of peers."""

import random
from collections.abc import Callable

import eventlet
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.catchup import ask_configuration
from sequoiachute.coordination.follower import StreamFollower
from sequoiachute.coordination.tasks import gather
from sequoiachute.coordination.writer import StreamWriter, new_record_id
from sequoiachute.protocol.records import LEASES_STREAM
from sequoiachute.settings import EntrySettings
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.leases import NO_CLAIM, LeaseTable
from sequoiachute.transport.ports import RpcCaller

ENTRY_LEASE_PREFIX = "entry/"
RENEWALS_PER_LEASE = 3
PEER_ASK_SECONDS = 0.5
PEER_ASK_AGE_SECONDS = 1.0


class EntryDirectory:
    """Registers this entry in the log and knows the others.

    A lease counts as lapsed only if the log, read to its end, shows no
    renewal: while the log can't be read, no entry is taken for gone.
    """

    def __init__(
        self,
        settings: EntrySettings,
        leases: LeaseTable,
        follower: StreamFollower,
        writer: StreamWriter,
    ) -> None:
        self._settings = settings
        self._leases = leases
        self._follower = follower
        self._writer = writer
        self._name = f"{ENTRY_LEASE_PREFIX}{settings.entry_id}"
        self._leaving = False

    def addresses(self) -> tuple[str, ...]:
        """Return the RPC addresses of the current entries, this one included."""
        found = set()
        if not self._leaving:
            found.add(self._settings.rpc_address)
        for lease in self._leases.with_prefix(ENTRY_LEASE_PREFIX):
            if lease.name == self._name or lease.duration <= 0:
                continue
            if lease.seen_at + lease.duration >= self._follower.confirmed_at:
                found.add(lease.address)
        return tuple(sorted(found))

    def peers(self) -> tuple[str, ...]:
        """Return the addresses of other entries, from the settings too."""
        known = {*self.addresses(), *self._settings.entries}
        known.discard(self._settings.rpc_address)
        return tuple(sorted(known))

    def run(self) -> None:
        """Keep this entry registered, for ever."""
        period = self._settings.entry_lease_seconds / RENEWALS_PER_LEASE
        self._follower.wait_caught_up(period)
        while not self._leaving:
            registered = self._claim(self._settings.entry_lease_seconds)
            pause = period if registered else period / RENEWALS_PER_LEASE
            clock.sleep(pause * random.uniform(0.8, 1.0))

    def leave(self) -> None:
        """Tell the others that this entry goes."""
        self._leaving = True
        eventlet.spawn(self._claim, 0.0)

    def _claim(self, duration: float) -> bool:
        lease = self._leases.get(self._name)
        record = {
            "kind": "lease-claimed",
            "record_id": new_record_id(),
            "name": self._name,
            "base": lease.offset if lease else NO_CLAIM,
            "holder": self._settings.entry_id,
            "address": self._settings.rpc_address,
            "duration": duration,
        }
        outcome = self._writer.append(record)
        if outcome.is_err():
            reason = outcome.unwrap_err().reason
            logger.debug("{} not registered: {}", LEASES_STREAM, reason)
            return False
        lease = self._leases.get(self._name)
        return lease is not None and lease.offset == outcome.unwrap()


class PeerConfirmation:
    """Confirms the configuration through other entries where the log doesn't.

    Parameters
    ----------
    configuration : Configuration
    peers : callable
        Returns the addresses to ask.
    caller : RpcCaller
    """

    def __init__(
        self,
        configuration: Configuration,
        peers: Callable[[], tuple[str, ...]],
        caller: RpcCaller,
    ) -> None:
        self._configuration = configuration
        self._peers = peers
        self._caller = caller

    def run(self) -> None:
        """Ask the other entries whenever the own confirmation grows old."""
        while True:
            clock.sleep(PEER_ASK_SECONDS)
            if self._configuration.age(clock.now()) > PEER_ASK_AGE_SECONDS:
                self.ask()

    def ask(self) -> None:
        """Ask every other entry once, side by side."""
        calls = []
        for address in self._peers():
            calls.append(
                lambda a=address: ask_configuration(
                    self._caller, a, self._configuration
                )
            )
        gather(calls)
