"""Addresses of entries that an agent may ask for the placer."""

from collections.abc import Callable
from typing import Protocol

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.store.group import GROUP, address_of
from sequoiachute.transport.store import StoreUnavailableError


class GroupReader(Protocol):
    """Reads the members of a group from the store."""

    def members(self, group: str) -> tuple[str, ...]:
        """Return the members; raise ``StoreUnavailableError``."""
        ...


class EntryDirectory:
    """Entries named by other entries, by the store's group and by the settings.

    Parameters
    ----------
    seeds : callable
        Returns the addresses in the settings, which may change.
    store : GroupReader
    """

    def __init__(
        self, seeds: Callable[[], tuple[str, ...]], store: GroupReader
    ) -> None:
        self._read_seeds = seeds
        self._store = store
        self._seeds = seeds()
        self._named: tuple[str, ...] = ()
        self._asked_at: dict[str, float] = {}

    def set_named(self, addresses: tuple[str, ...]) -> None:
        """Take over the addresses that an entry has named."""
        self._named = addresses or self._named

    def next_address(self) -> str:
        """Return the address that was asked longest ago, empty if none is known."""
        addresses = dict.fromkeys((*self._named, *self._seeds))
        if not addresses:
            return ""
        return min(addresses, key=self._last_asked)

    def may_ask(self, address: str, interval: float) -> bool:
        """Return whether ``address`` was not asked within ``interval`` seconds."""
        return clock.now() >= self._last_asked(address) + interval

    def record_asked(self, address: str) -> None:
        """Record that an address is being asked."""
        self._asked_at[address] = clock.now()

    def refresh(self) -> None:
        """Read the settings anew, and the group's members from the store."""
        self._seeds = self._read_seeds()
        try:
            members = self._store.members(GROUP)
        except StoreUnavailableError as error:
            logger.bind(reason=str(error)).debug("reading the entries failed")
            return
        found = tuple(dict.fromkeys(address_of(member) for member in members))
        if set(found) != set(self._named):
            logger.bind(entries=found).info("entries read from the store")
        self.set_named(found)
        known = {*self._named, *self._seeds}
        for gone in self._asked_at.keys() - known:
            del self._asked_at[gone]

    def _last_asked(self, address: str) -> float:
        return self._asked_at.get(address, float("-inf"))
