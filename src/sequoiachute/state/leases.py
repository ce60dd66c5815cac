"""Named leases by the order of the log."""

from typing import Any, NamedTuple

NO_CLAIM = -1  # base of the first claim


class Lease(NamedTuple):
    """A lease as last claimed; ``offset`` is its fencing token."""

    name: str
    holder: str
    address: str
    offset: int
    duration: float
    seen_at: float


class LeaseTable:
    """The last valid claim of every lease."""

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

    def apply(self, offset: int, record: Any, now: float) -> bool:
        """Apply a claim; it counts only if based on the claim before it."""
        if record["kind"] != "lease-claimed":
            return False
        known = self._leases.get(record["name"])
        base = known.offset if known else NO_CLAIM
        if record["base"] != base:
            return False
        self._leases[record["name"]] = Lease(
            name=record["name"],
            holder=record["holder"],
            address=record["address"],
            offset=offset,
            duration=record["duration"],
            seen_at=now,
        )
        return True
