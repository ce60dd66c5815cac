"""Announces a backend server to every current entry instance."""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import eventlet
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.loop import spawn_loop
from sequoiachute.protocol.messages import (
    ANNOUNCE,
    KEEP_ALIVE,
    Announcement,
    AnnouncementReply,
    KeepAlive,
)
from sequoiachute.transport.ports import RpcCaller

ANNOUNCE_TIMEOUT_SECONDS = 2.0
UNLISTED_ENTRY_TIMEOUT_SECONDS = 10.0
MAX_BACKOFF_FACTOR = 2  # of the interval, for an address that does not answer
ALIAS_INTERVAL_SECONDS = 10.0


class EntryContact(NamedTuple):
    """State of the announcements to an address.

    ``listed_at`` is the clock time in seconds at which an entry last named the
    address, ``failures`` the number of failed calls in a row and
    ``acknowledged`` the last full announcement that the entry has accepted.
    """

    entry_id: str = ""
    listed_at: float = float("-inf")
    failures: int = 0
    acknowledged: Announcement | None = None


class Announcer:
    """Announces to each address at intervals, in a green thread of its own.

    Starts with the seed addresses and adds those that entries list in their
    replies. An address that no entry lists any more is dropped, unless it is a
    seed.

    Parameters
    ----------
    seeds : sequence of str
        Addresses from the settings; a load balancer may be among them.
    interval_seconds : float
        Interval between announcements in seconds.
    caller : RpcCaller
    build_announcement : callable
        Returns the message to send.
    on_reply : callable
        Called with the address, the reply and the clock time of sending.
    """

    def __init__(
        self,
        seeds: tuple[str, ...],
        interval_seconds: float,
        caller: RpcCaller,
        build_announcement: Callable[[], Announcement],
        on_reply: Callable[[str, AnnouncementReply, float], None],
    ) -> None:
        self._seeds = seeds
        self._interval_seconds = interval_seconds
        self._caller = caller
        self._build_announcement = build_announcement
        self._on_reply = on_reply
        self._contacts: dict[str, EntryContact] = {}
        self._change_event = Event()

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses announced to, without aliases."""
        return tuple(a for a in sorted(self._contacts) if not self._is_alias(a))

    def run(self) -> None:
        """Start announcing to the seed addresses."""
        for address in self._seeds:
            self._start(address)

    def announce_now(self) -> None:
        """Announce to every address at once instead of after the interval."""
        change_event = self._change_event
        self._change_event = Event()
        change_event.send(None)

    def _start(self, address: str) -> None:
        if address in self._contacts:
            return
        self._contacts[address] = EntryContact(listed_at=clock.now())
        spawn_loop("announcements", partial(self._announce_to, address))

    def _announce_to(self, address: str) -> None:
        while not self._is_unlisted(address):
            change_event = self._change_event
            self._announce_once(address)
            with eventlet.Timeout(self._wait_seconds(address), False):
                change_event.wait()
        del self._contacts[address]
        logger.bind(address=address).info("entry no longer listed")

    def _announce_once(self, address: str) -> None:
        sent_at = clock.now()
        message = self._build_announcement()
        reply = self._send(address, message)
        if reply is not None and reply.full_requested:
            reply = self._send(address, message)
        if reply is None:
            return
        for listed in reply.entries:
            self._start(listed)
            contact = self._contacts[listed]
            self._contacts[listed] = contact._replace(listed_at=clock.now())
        self._on_reply(address, reply, sent_at)

    def _send(self, address: str, message: Announcement) -> AnnouncementReply | None:
        """Send ``message``, or a keep-alive if the entry has its content already."""
        acknowledged = self._contacts[address].acknowledged
        # Behind an alias, such as a load balancer, any entry may answer.
        is_direct = acknowledged is not None and not self._is_alias(address)
        sends_keep_alive = is_direct and _can_keep_alive(acknowledged, message)
        if sends_keep_alive:
            keep_alive = _build_keep_alive(message, acknowledged.sequence)
            outcome = self._caller.call(
                address, KEEP_ALIVE, keep_alive, ANNOUNCE_TIMEOUT_SECONDS
            )
        else:
            outcome = self._caller.call(
                address, ANNOUNCE, message, ANNOUNCE_TIMEOUT_SECONDS
            )
        contact = self._contacts[address]
        if outcome.is_err():
            self._contacts[address] = contact._replace(
                failures=contact.failures + 1, acknowledged=None
            )
            return None
        reply = outcome.unwrap()
        accepted = acknowledged if sends_keep_alive else message
        self._contacts[address] = contact._replace(
            entry_id=reply.entry_id,
            failures=0,
            acknowledged=None if reply.full_requested else accepted,
        )
        return reply

    def _wait_seconds(self, address: str) -> float:
        if self._is_alias(address):
            return ALIAS_INTERVAL_SECONDS
        failures = self._contacts[address].failures
        return self._interval_seconds * min(MAX_BACKOFF_FACTOR, 1 + failures // 3)

    def _is_unlisted(self, address: str) -> bool:
        if address in self._seeds:
            return False
        # An entry lists itself, so one that answers never times out.
        return (
            clock.now() - self._contacts[address].listed_at
            > UNLISTED_ENTRY_TIMEOUT_SECONDS
        )

    def _is_alias(self, address: str) -> bool:
        """Return whether ``address`` is a seed of an entry reached directly as well.

        No entry lists an alias, such as a load balancer's address.
        """
        contact = self._contacts[address]
        if address not in self._seeds or not contact.entry_id:
            return False
        if clock.now() - contact.listed_at <= UNLISTED_ENTRY_TIMEOUT_SECONDS:
            return False
        for other, peer in self._contacts.items():
            if other == address or other in self._seeds:
                continue
            if peer.entry_id == contact.entry_id and not peer.failures:
                return True
        return False


def _can_keep_alive(acknowledged: Announcement, message: Announcement) -> bool:
    """Return whether a keep-alive can replace ``message``.

    It can if only fields that a keep-alive carries have changed since
    ``acknowledged`` and no task reports are pending.
    """
    if message.reports:
        return False
    comparable = message._replace(
        sequence=acknowledged.sequence,
        config_offset=acknowledged.config_offset,
        open_connections=acknowledged.open_connections,
        agent_clock=acknowledged.agent_clock,
    )
    return comparable == acknowledged


def _build_keep_alive(message: Announcement, full_sequence: int) -> KeepAlive:
    return KeepAlive(
        worker_id=message.worker_id,
        incarnation=message.incarnation,
        sequence=message.sequence,
        full_sequence=full_sequence,
        config_offset=message.config_offset,
        open_connections=message.open_connections,
        agent_clock=message.agent_clock,
    )
