"""Table of named leases, built from the records of the leases stream."""

from typing import Any, NamedTuple

from sequoiachute.state.items import from_item, to_item

NO_CLAIM = -1  # base of the first claim
LAPSED_LEASE_HOLD_SECONDS = 86400.0


class Lease(NamedTuple):
    """A lease as last claimed.

    ``offset`` is that of the last claim or renewal. ``term`` is the offset at
    which the holder took the lease; renewals keep it, and it serves as the
    holder's fencing token. ``duration`` is in seconds, ``seen_at`` is clock time
    and ``claimed_at`` the log's wall time, zero where it is not known.
    """

    name: str
    holder: str
    address: str
    offset: int
    duration: float
    seen_at: float
    term: int = NO_CLAIM
    claimed_at: float = 0.0


class LeaseTable:
    """The last valid claim of every lease.

    A lease that has not been renewed for ``LAPSED_LEASE_HOLD_SECONDS`` of the
    log's time is dropped.
    """

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}

    def get(self, name: str) -> Lease | None:
        """Return the lease, ``None`` if nobody has claimed it."""
        return self._leases.get(name)

    def with_prefix(self, prefix: str) -> list[Lease]:
        """Return the leases whose name starts with ``prefix``."""
        leases = []
        for name in sorted(self._leases):
            if name.startswith(prefix):
                leases.append(self._leases[name])
        return leases

    def snapshot(self) -> list[Any]:
        """Return every lease as an item of a snapshot."""
        return [to_item(lease) for lease in self._leases.values()]

    def restore(self, items: list[Any], now: float) -> None:
        """Replace all leases by those of a snapshot, as if claimed at ``now``."""
        leases = [from_item(Lease, item) for item in items]
        self._leases.clear()
        for lease in leases:
            self._leases[lease.name] = lease._replace(seen_at=now)

    def apply(self, offset: int, record: Any, now: float, at: float = 0.0) -> bool:
        """Apply a claim; return whether it took effect.

        It does so only if its ``base`` is the offset of the previous claim. ``now``
        is clock time and ``at`` the wall time of the append.
        """
        self._drop_claimed_before(at - LAPSED_LEASE_HOLD_SECONDS)
        if record["kind"] != "lease-claimed":
            return False
        current = self._leases.get(record["name"])
        base = current.offset if current else NO_CLAIM
        if record["base"] != base:
            return False
        keeps_term = current is None or current.holder == record["holder"]
        term = record.get("term", offset) if keeps_term else offset
        self._leases[record["name"]] = Lease(
            name=record["name"],
            holder=record["holder"],
            address=record["address"],
            offset=offset,
            duration=record["duration"],
            seen_at=now,
            term=term,
            claimed_at=at,
        )
        return True

    def _drop_claimed_before(self, wall_time: float) -> None:
        for name, lease in list(self._leases.items()):
            if 0 < lease.claimed_at < wall_time:
                del self._leases[name]
