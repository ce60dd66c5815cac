"""The placer's lease in the log: held by one entry instance at a time."""

from uuid import uuid4

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.log import new_record_id
from sequoiachute.coordination.placerstate import PlacerStreams
from sequoiachute.protocol.messages import NO_TERM
from sequoiachute.state.leases import NO_CLAIM, Lease, LeaseTable

PLACER_LEASE = "placer"
POLL_SECONDS = 0.2
CLOCK_MARGIN_SECONDS = 0.25  # clocks of two instances may run apart by this


class PlacerLease:
    """Claims the lease when it is free and renews it after a third of it.

    Parameters
    ----------
    entry_id, address : str
        Identity and RPC address of this entry.
    duration : float
        Length of the lease in seconds.
    freshness_seconds : float
        Oldest view of the log, in seconds, on which a claim may be based.
    """

    def __init__(
        self,
        entry_id: str,
        address: str,
        duration: float,
        freshness_seconds: float,
        leases: LeaseTable,
        streams: PlacerStreams,
    ) -> None:
        # A restarted entry must not pass for the process that it replaces.
        self._holder = f"{entry_id}/{uuid4().hex}"
        self._address = address
        self._duration = duration
        self._freshness_seconds = freshness_seconds
        self._leases = leases
        self._streams = streams
        self._held_until = float("-inf")
        self._taken_at = float("-inf")
        self._term = NO_TERM

    @property
    def is_held(self) -> bool:
        """Whether this entry may place now."""
        return clock.now() < self._held_until

    @property
    def term(self) -> int:
        """The term under which this entry last held the lease."""
        return self._term

    @property
    def known_term(self) -> int:
        """The newest placer's term in the log, as far as known."""
        lease = self._leases.get(PLACER_LEASE)
        return lease.term if lease else NO_TERM

    def held_seconds(self) -> float:
        """Return for how long this entry has held its term."""
        return clock.now() - self._taken_at

    def run(self) -> None:
        """Keep the lease, for ever."""
        while True:
            clock.sleep(POLL_SECONDS)
            lease = self._leases.get(PLACER_LEASE)
            if not self._may_claim(lease):
                continue
            if self._streams.leases_follower.confirmation_age() > self._freshness_seconds:
                continue
            self._claim(lease)

    def _may_claim(self, lease: Lease | None) -> bool:
        if lease is None:
            return True
        silent = clock.now() - lease.seen_at
        if lease.holder == self._holder:
            return silent >= self._duration / 3
        return silent >= lease.duration + CLOCK_MARGIN_SECONDS

    def _claim(self, lease: Lease | None) -> None:
        asked_at = clock.now()
        record = {
            "kind": "lease-claimed",
            "record_id": new_record_id(),
            "name": PLACER_LEASE,
            "base": lease.offset if lease else NO_CLAIM,
            "holder": self._holder,
            "address": self._address,
            "duration": self._duration,
        }
        if lease is not None and lease.holder == self._holder:
            record["term"] = lease.term
        outcome = self._streams.leases.append(record, self._duration)
        if outcome.is_err():
            return
        lease = self._leases.get(PLACER_LEASE)
        if lease is None or lease.offset != outcome.unwrap():
            return
        if self._term != lease.term:
            self._term = lease.term
            self._taken_at = clock.now()
            logger.bind(term=self._term).info("placer lease taken")
        self._held_until = asked_at + self._duration
