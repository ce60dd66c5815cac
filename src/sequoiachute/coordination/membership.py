"""Registration of entry instances by leases, and confirmation through peers."""

import random
from collections.abc import Callable

import eventlet
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.concurrency import gather
from sequoiachute.coordination.configuration_sync import sync_configuration
from sequoiachute.coordination.follower import StreamFollower
from sequoiachute.coordination.writer import StreamWriter, new_record_id
from sequoiachute.protocol.records import LEASES_STREAM
from sequoiachute.settings import EntrySettings
from sequoiachute.state.configuration import Configuration
from sequoiachute.state.leases import NO_CLAIM, LeaseTable
from sequoiachute.transport.ports import RpcCaller

ENTRY_LEASE_PREFIX = "entry/"
RENEWALS_PER_LEASE = 3
PEER_CHECK_INTERVAL_SECONDS = 0.5
MAX_CONFIRMATION_AGE_SECONDS = 1.0  # peers are asked when it is exceeded


class EntryDirectory:
    """Registers this entry in the log and lists the others.

    A lease counts as expired only if the log, read to its end, holds no
    renewal: while the log can't be read, no entry is dropped.
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
        self._lease_name = f"{ENTRY_LEASE_PREFIX}{settings.entry_id}"
        self._leaving = False

    def addresses(self) -> tuple[str, ...]:
        """Return the RPC addresses of the current entries.

        This entry's own address is included until it leaves.
        """
        found = set()
        if not self._leaving:
            found.add(self._settings.rpc_address)
        for lease in self._leases.with_prefix(ENTRY_LEASE_PREFIX):
            if lease.name == self._lease_name or lease.duration <= 0:
                continue
            if lease.seen_at + lease.duration >= self._follower.confirmed_at:
                found.add(lease.address)
        return tuple(sorted(found))

    def peers(self) -> tuple[str, ...]:
        """Return the addresses of the other entries, registered or from settings."""
        known = {*self.addresses(), *self._settings.entries}
        known.discard(self._settings.rpc_address)
        return tuple(sorted(known))

    def run(self) -> None:
        """Keep this entry registered until it leaves."""
        period = self._settings.entry_lease_seconds / RENEWALS_PER_LEASE
        self._follower.wait_caught_up(period)
        while not self._leaving:
            registered = self._claim_lease(self._settings.entry_lease_seconds)
            pause = period if registered else period / RENEWALS_PER_LEASE
            clock.sleep(pause * random.uniform(0.8, 1.0))

    def leave(self) -> None:
        """Stop renewing the lease and release it in the background."""
        self._leaving = True
        eventlet.spawn(self._claim_lease, 0.0)

    def _claim_lease(self, duration: float) -> bool:
        """Claim or renew the lease; return whether the claim took effect.

        A duration of zero releases the lease.
        """
        lease = self._leases.get(self._lease_name)
        record = {
            "kind": "lease-claimed",
            "record_id": new_record_id(),
            "name": self._lease_name,
            "base": lease.offset if lease else NO_CLAIM,
            "holder": self._settings.entry_id,
            "address": self._settings.rpc_address,
            "duration": duration,
        }
        outcome = self._writer.append(record)
        if outcome.is_err():
            reason = outcome.unwrap_err().reason
            logger.debug("claiming a lease in {} failed: {}", LEASES_STREAM, reason)
            return False
        lease = self._leases.get(self._lease_name)
        return lease is not None and lease.offset == outcome.unwrap()


class PeerConfirmer:
    """Confirms the configuration through other entries when the log doesn't.

    Parameters
    ----------
    configuration : Configuration
    peers : callable
        Returns the addresses of the entries to ask.
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
        """Ask the other entries whenever the confirmation is too old."""
        while True:
            clock.sleep(PEER_CHECK_INTERVAL_SECONDS)
            if self._configuration.age(clock.now()) > MAX_CONFIRMATION_AGE_SECONDS:
                self.ask_peers()

    def ask_peers(self) -> None:
        """Ask every other entry once, concurrently."""
        calls = []
        for address in self._peers():
            calls.append(
                lambda a=address: sync_configuration(
                    self._caller, a, self._configuration
                )
            )
        gather(calls)
