"""Elects the placer by the store's groups and conditional appends.

The group names one candidate. It claims the term by an append that succeeds only
at the offset up to which it has read and that raises the writer's epoch: from
then on the store refuses every append of an older placer. The term is the epoch.
"""

from collections.abc import Callable

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.store.follower import Follower
from sequoiachute.coordination.store.group import GROUP, address_of
from sequoiachute.state.ledger import LEADER_KEY, Leader, Ledger, encode_leader
from sequoiachute.transport.store import (
    KeyedStore,
    Membership,
    StoreUnavailableError,
    Writer,
)

WRITER = "placer"
MEMBERSHIP_TTL_SECONDS = 1.2  # delay until a failed placer is replaced
JOIN_INTERVAL_SECONDS = 0.3  # four joins per time to live
# After a change of the group, which moves partitions only as the members join again.
SETTLING_JOIN_SECONDS = 0.05
# The list goes to agents and names the peers that relay calls to the store.
MEMBER_LIST_INTERVAL_SECONDS = 2.0
CLAIM_TIMEOUT_SECONDS = 1.0
# Two joins of another candidate, in which it learns of the ended membership.
MAX_DEFERRAL_SECONDS = 2 * JOIN_INTERVAL_SECONDS
DEFERRAL_INTERVAL_SECONDS = 0.1


class Election:
    """Keeps this entry a candidate and claims the term when there is no placer.

    Parameters
    ----------
    member : str
        Identity of this lifetime of the entry, ``address/name``.
    address : str
        Address at which agents reach this entry.
    topic : str
        Topic that only the placer writes.
    on_elected : callable
        Called with the term once this entry is the placer.
    """

    def __init__(
        self,
        member: str,
        address: str,
        topic: str,
        store: KeyedStore,
        ledger: Ledger,
        follower: Follower,
        on_elected: Callable[[int], None],
    ) -> None:
        self._member = member
        self._address = address
        self._topic = topic
        self._store = store
        self._ledger = ledger
        self._follower = follower
        self._on_elected = on_elected
        self._membership = Membership(0, False)
        self._leaving = False
        self._last_term = 0
        self._earlier_members: tuple[str, ...] = ()
        self._members_read_at = float("-inf")
        self._changed_at = float("-inf")
        self.term = 0
        self.group_members: tuple[str, ...] = ()

    @property
    def is_leading(self) -> bool:
        """Whether the newest known claim is this entry's."""
        leader = self._ledger.leader
        return self.term > 0 and leader is not None and leader.term == self.term

    def run(self) -> None:
        """Renew the candidacy until this entry leaves."""
        self._follower.wait_caught_up(float("inf"))
        may_have_predecessor = True
        while not self._leaving:
            try:
                if may_have_predecessor:
                    self._remove_predecessors()
                    may_have_predecessor = False
                self._renew_candidacy()
            except StoreUnavailableError as error:
                logger.bind(reason=str(error)).debug("joining the group failed")
            clock.sleep(self._join_interval())

    def _join_interval(self) -> float:
        is_settled = clock.now() >= self._changed_at + JOIN_INTERVAL_SECONDS
        return JOIN_INTERVAL_SECONDS if is_settled else SETTLING_JOIN_SECONDS

    def resign(self) -> None:
        """Stop leading until a new claim succeeds."""
        self.term = 0

    def leave(self) -> None:
        """Leave the group, so that another entry takes over at once."""
        self._leaving = True
        self.term = 0
        try:
            self._store.leave(GROUP, self._member)
        except StoreUnavailableError as error:
            logger.bind(reason=str(error)).info(
                "leaving the group failed, membership expires"
            )

    def _remove_predecessors(self) -> None:
        """End the memberships of earlier processes at this entry's address.

        They have ended, since this process listens there. Until their memberships
        expire one of them may be the candidate, and no entry can replace it.
        """
        members = self._store.members(GROUP)
        for member in members:
            if member != self._member and address_of(member) == self._address:
                logger.bind(member=member).info("removing an ended member")
                self._store.leave(GROUP, member)
        self._earlier_members = tuple(
            member for member in members if address_of(member) != self._address
        )

    def _renew_candidacy(self) -> None:
        generation = self._membership.generation
        self._membership = self._store.join(
            GROUP, self._member, generation, MEMBERSHIP_TTL_SECONDS
        )
        self._adopt_own_claim()
        if self._membership.generation != generation:
            self._changed_at = clock.now()
        if clock.now() >= self._members_read_at + MEMBER_LIST_INTERVAL_SECONDS:
            self._read_group_members()
        if not self._membership.candidate or self.is_leading:
            return
        leader = self._ledger.leader
        self._read_group_members()
        if leader is not None and self._may_be_followed_by_another(leader):
            self._give_way(leader)
            return
        if (
            leader is None
            or leader.member == self._member
            or leader.member not in self.group_members
        ):
            self._claim()

    def _may_be_followed_by_another(self, leader: Leader) -> bool:
        """Return whether a placer before this process has other heirs.

        They have followed the store and know since when each record holds, while this
        process has just read them all.
        """
        is_predecessor = (
            leader.member != self._member and address_of(leader.member) == self._address
        )
        return is_predecessor and not set(self._earlier_members).isdisjoint(
            self.group_members
        )

    def _give_way(self, leader: Leader) -> None:
        """Leave the group until another member has claimed, once and for a moment."""
        logger.bind(leader=leader.member).info("giving way to another candidate")
        self._membership = Membership(0, False)
        self._store.leave(GROUP, self._member)
        until = clock.now() + MAX_DEFERRAL_SECONDS
        while clock.now() < until and self._ledger.leader == leader:
            clock.sleep(DEFERRAL_INTERVAL_SECONDS)
            self._read_group_members()
            if not self._may_be_followed_by_another(leader):
                break
        self._earlier_members = ()

    def _read_group_members(self) -> None:
        self.group_members = self._store.members(GROUP)
        self._members_read_at = clock.now()

    def _adopt_own_claim(self) -> None:
        """Begin the term of an own claim, also if its answer was lost."""
        leader = self._ledger.leader
        if leader is None or leader.member != self._member or self._leaving:
            return
        if leader.term > self._last_term:
            self._begin_term(leader.term, "read back")

    def _claim(self) -> None:
        if not self._follower.read_once():
            return
        end = self._follower.next_offset
        leader = Leader(end + 1, self._address, self._member)
        outcome = self._store.append(
            self._topic,
            [(LEADER_KEY, encode_leader(leader))],
            at=end,
            writer=Writer(WRITER, leader.term, 0),
            timeout=CLAIM_TIMEOUT_SECONDS,
        )
        if outcome.is_err():
            log = logger.bind(term=leader.term, reason=outcome.unwrap_err().reason)
            log.info("claim of the placer's term failed")
        self._follower.read_once()
        self._adopt_own_claim()

    def _begin_term(self, term: int, how: str) -> None:
        self.term = self._last_term = term
        logger.bind(term=term, how=how).info("leading")
        try:
            self._on_elected(term)
        except Exception:
            # Without a placer the term would be held for nothing.
            self.resign()
            raise
