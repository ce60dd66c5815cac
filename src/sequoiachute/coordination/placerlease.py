"""Claims and renews the placer's lease, which one entry instance holds at a time."""

from uuid import uuid4

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.log import new_record_id
from sequoiachute.coordination.placerstate import PlacerStreams
from sequoiachute.protocol.messages import NO_TERM
from sequoiachute.state.leases import NO_CLAIM, Lease, LeaseTable

PLACER_LEASE = "placer"
CLAIM_POLL_INTERVAL_SECONDS = 0.2
CLOCK_DRIFT_MARGIN_SECONDS = 0.25  # by which two instances' clocks may drift apart


class PlacerLease:
    """Claims the lease when it has expired and renews it after a third of it.

    Parameters
    ----------
    entry_id, address : str
        Identity and RPC address of this entry.
    duration : float
        Length of the lease in seconds.
    freshness_seconds : float
        Greatest age, in seconds, of the view of the log a claim is based on.
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
        # A restarted entry must not hold the lease of the process it replaces.
        self._holder = f"{entry_id}/{uuid4().hex}"
        self._address = address
        self._duration = duration
        self._freshness_seconds = freshness_seconds
        self._leases = leases
        self._streams = streams
        self._held_until = float("-inf")
        self._acquired_at = float("-inf")
        self._term = NO_TERM

    @property
    def is_held(self) -> bool:
        """Whether this entry holds the lease now."""
        return clock.now() < self._held_until

    @property
    def term(self) -> int:
        """The term under which this entry last held the lease."""
        return self._term

    @property
    def known_term(self) -> int:
        """The highest placer's term that this entry has read from the log."""
        lease = self._leases.get(PLACER_LEASE)
        return lease.term if lease else NO_TERM

    def held_seconds(self) -> float:
        """Return the seconds since this entry acquired its term."""
        return clock.now() - self._acquired_at

    def run(self) -> None:
        """Keep claiming or renewing the lease; never return."""
        while True:
            clock.sleep(CLAIM_POLL_INTERVAL_SECONDS)
            lease = self._leases.get(PLACER_LEASE)
            if not self._may_claim(lease):
                continue
            if (
                self._streams.leases_follower.confirmation_age()
                > self._freshness_seconds
            ):
                continue
            self._claim(lease)

    def _may_claim(self, lease: Lease | None) -> bool:
        if lease is None:
            return True
        unrenewed_seconds = clock.now() - lease.seen_at
        if lease.holder == self._holder:
            return unrenewed_seconds >= self._duration / 3
        return unrenewed_seconds >= lease.duration + CLOCK_DRIFT_MARGIN_SECONDS

    def _claim(self, lease: Lease | None) -> None:
        requested_at = clock.now()
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
            self._acquired_at = clock.now()
            logger.bind(term=self._term).info("placer lease acquired")
        self._held_until = requested_at + self._duration
