"""Announcing a backend server to every current entry instance."""

from collections.abc import Callable
from typing import NamedTuple

import eventlet
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.protocol.messages import ANNOUNCE, Announcement, AnnouncementReply
from sequoiachute.transport.ports import Caller

CALL_SECONDS = 2.0
GONE_SECONDS = 10.0
LONGEST_PAUSE_FACTOR = 2
ALIAS_PAUSE_SECONDS = 10.0


class Contact(NamedTuple):
    """What is known of an address; times in seconds of the clock."""

    entry_id: str = ""
    answered_at: float = float("-inf")
    listed_at: float = float("-inf")
    failures: int = 0


class Announcer:
    """One task for each address: announce, wait, announce again.

    Starts from the addresses in the settings and goes on with those that the
    entries name in their replies. An address that no entry names any more and
    that doesn't answer is given up, but for those of the settings.

    Parameters
    ----------
    seeds : sequence of str
        Addresses of the settings; a balancer may be among them.
    seconds : float
        Interval between announcements.
    caller : Caller
    announcement : callable
        Returns the message to send.
    take_reply : callable
        Takes the address, the reply and the time at which the message left.
    """

    def __init__(
        self,
        seeds: tuple[str, ...],
        seconds: float,
        caller: Caller,
        announcement: Callable[[], Announcement],
        take_reply: Callable[[str, AnnouncementReply, float], None],
    ) -> None:
        self._seeds = seeds
        self._seconds = seconds
        self._caller = caller
        self._announcement = announcement
        self._take_reply = take_reply
        self._contacts: dict[str, Contact] = {}
        self._changed = Event()

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses announced to, aliases left out."""
        return tuple(a for a in sorted(self._contacts) if not self._is_alias(a))

    def run(self) -> None:
        """Start announcing to the addresses of the settings."""
        for address in self._seeds:
            self._start(address)

    def notify(self) -> None:
        """Announce again at once."""
        changed = self._changed
        self._changed = Event()
        changed.send(None)

    def _start(self, address: str) -> None:
        if address in self._contacts:
            return
        self._contacts[address] = Contact(listed_at=clock.now())
        eventlet.spawn(self._announce_to, address)

    def _announce_to(self, address: str) -> None:
        while not self._is_gone(address):
            changed = self._changed
            self._announce_once(address)
            with eventlet.Timeout(self._pause(address), False):
                changed.wait()
        del self._contacts[address]
        logger.bind(address=address).info("entry is gone")

    def _announce_once(self, address: str) -> None:
        sent_at = clock.now()
        outcome = self._caller.call(
            address, ANNOUNCE, self._announcement(), CALL_SECONDS
        )
        contact = self._contacts[address]
        if outcome.is_err():
            self._contacts[address] = contact._replace(failures=contact.failures + 1)
            return
        reply = outcome.unwrap()
        self._contacts[address] = contact._replace(
            entry_id=reply.entry_id, answered_at=clock.now(), failures=0
        )
        for listed in reply.entries:
            self._start(listed)
            known = self._contacts[listed]
            self._contacts[listed] = known._replace(listed_at=clock.now())
        self._take_reply(address, reply, sent_at)

    def _pause(self, address: str) -> float:
        if self._is_alias(address):
            return ALIAS_PAUSE_SECONDS
        failures = self._contacts[address].failures
        return self._seconds * min(LONGEST_PAUSE_FACTOR, 1 + failures // 3)

    def _is_gone(self, address: str) -> bool:
        if address in self._seeds:
            return False
        contact = self._contacts[address]
        last = max(contact.answered_at, contact.listed_at)
        return clock.now() - last > GONE_SECONDS

    def _is_alias(self, address: str) -> bool:
        """Return whether this seed only leads to entries reached directly."""
        contact = self._contacts[address]
        if address not in self._seeds or not contact.entry_id:
            return False
        if clock.now() - contact.listed_at <= GONE_SECONDS:
            return False
        for other, known in self._contacts.items():
            if other == address or other in self._seeds:
                continue
            if known.entry_id == contact.entry_id and not known.failures:
                return True
        return False
