"""Named leases by the order of the log."""

from typing import Any, NamedTuple

NO_CLAIM = -1  # base of the first claim


class Lease(NamedTuple):
    """A lease as last claimed.

    ``offset`` is that of the last claim or renewal. ``term`` is the offset at
    which the holder took the lease; it stays the same while it is renewed and
    fences what the holder does. ``base`` is what the claim was based on.
    """

    name: str
    holder: str
    address: str
    offset: int
    duration: float
    seen_at: float
    term: int = NO_CLAIM
    base: int = NO_CLAIM


class LeaseTable:
    """The last valid claim of every lease.

    A reader that starts after the log has dropped a lease's first claims
    can't check the bases of the claims that it finds first. Of those whose
    base was dropped, the one with the highest base is the true one.
    """

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}
        self._first_offset: int | None = None

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

    def apply(self, offset: int, record: Any, now: float) -> bool:
        """Apply a claim; it counts only if based on the claim before it."""
        if self._first_offset is None:
            self._first_offset = offset
        if record["kind"] != "lease-claimed":
            return False
        known = self._leases.get(record["name"])
        if not self._is_valid(known, record["base"]):
            return False
        renewed = known is None or known.holder == record["holder"]
        term = record.get("term", offset) if renewed else offset
        self._leases[record["name"]] = Lease(
            name=record["name"],
            holder=record["holder"],
            address=record["address"],
            offset=offset,
            duration=record["duration"],
            seen_at=now,
            term=term,
            base=record["base"],
        )
        return True

    def _is_valid(self, known: Lease | None, base: int) -> bool:
        if known is not None and base == known.offset:
            return True
        was_dropped = NO_CLAIM < base < self._first_offset
        if known is None:
            return base == NO_CLAIM or was_dropped
        return was_dropped and known.base < base
