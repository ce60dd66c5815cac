"""Announcing a backend server to every current entry instance."""

from collections.abc import Callable
from typing import NamedTuple

import eventlet
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.protocol.messages import (
    ANNOUNCE,
    KEEP_ALIVE,
    Announcement,
    AnnouncementReply,
    KeepAlive,
)
from sequoiachute.transport.ports import RpcCaller

CALL_SECONDS = 2.0
GONE_SECONDS = 10.0
LONGEST_PAUSE_FACTOR = 2
ALIAS_PAUSE_SECONDS = 10.0


class Contact(NamedTuple):
    """What is known of an address; ``listed_at`` is clock time in seconds.

    ``held`` is the last whole announcement that the entry has.
    """

    entry_id: str = ""
    listed_at: float = float("-inf")
    failures: int = 0
    held: Announcement | None = None


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
    caller : RpcCaller
    announcement : callable
        Returns the message to send.
    take_reply : callable
        Takes the address, the reply and the time at which the message left.
    """

    def __init__(
        self,
        seeds: tuple[str, ...],
        seconds: float,
        caller: RpcCaller,
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
        message = self._announcement()
        reply = self._send(address, message)
        if reply is not None and reply.full_wanted:
            reply = self._send(address, message)
        if reply is None:
            return
        for listed in reply.entries:
            self._start(listed)
            known = self._contacts[listed]
            self._contacts[listed] = known._replace(listed_at=clock.now())
        self._take_reply(address, reply, sent_at)

    def _send(self, address: str, message: Announcement) -> AnnouncementReply | None:
        """Send ``message``, or a keep-alive where the entry holds all of it."""
        held = self._contacts[address].held
        # Behind an alias another entry may answer each time.
        direct = held is not None and not self._is_alias(address)
        is_held = direct and _is_same(held, message)
        if is_held:
            short = _shorten(message, held.sequence)
            outcome = self._caller.call(address, KEEP_ALIVE, short, CALL_SECONDS)
        else:
            outcome = self._caller.call(address, ANNOUNCE, message, CALL_SECONDS)
        contact = self._contacts[address]
        if outcome.is_err():
            self._contacts[address] = contact._replace(
                failures=contact.failures + 1, held=None
            )
            return None
        reply = outcome.unwrap()
        holds = held if is_held else message
        self._contacts[address] = contact._replace(
            entry_id=reply.entry_id,
            failures=0,
            held=None if reply.full_wanted else holds,
        )
        return reply

    def _pause(self, address: str) -> float:
        if self._is_alias(address):
            return ALIAS_PAUSE_SECONDS
        failures = self._contacts[address].failures
        return self._seconds * min(LONGEST_PAUSE_FACTOR, 1 + failures // 3)

    def _is_gone(self, address: str) -> bool:
        if address in self._seeds:
            return False
        # An entry names itself, so that one which answers is never gone.
        return clock.now() - self._contacts[address].listed_at > GONE_SECONDS

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


def _is_same(held: Announcement, message: Announcement) -> bool:
    """Return whether a keep-alive can stand for ``message``."""
    if message.reports:
        return False
    like_held = message._replace(
        sequence=held.sequence,
        config_offset=held.config_offset,
        open_connections=held.open_connections,
        agent_clock=held.agent_clock,
    )
    return like_held == held


def _shorten(message: Announcement, full_sequence: int) -> KeepAlive:
    return KeepAlive(
        worker_id=message.worker_id,
        incarnation=message.incarnation,
        sequence=message.sequence,
        full_sequence=full_sequence,
        config_offset=message.config_offset,
        open_connections=message.open_connections,
        agent_clock=message.agent_clock,
    )
