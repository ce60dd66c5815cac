"""Table of the reservations and starts that an agent has granted on its worker.

The agent alone decides what its worker holds; entries only ask.
"""

from typing import NamedTuple

from sequoiachute.protocol.messages import NO_TERM, Occupant, Reserve

RESERVED = "reserved"
STARTED = "started"

MemberKey = tuple[str, int, int]


class Grant(NamedTuple):
    """Accelerators and a slot held for one member of a gang.

    ``token`` fences the reservation. ``expires_at`` is clock time in seconds and
    counts only while ``state`` is ``RESERVED``.
    """

    job_id: str
    attempt: int
    member: int
    account: str
    guaranteed: bool
    accelerators: tuple[int, ...]
    token: int
    term: int
    state: str
    expires_at: float

    @property
    def key(self) -> MemberKey:
        """Job, attempt and member that hold the grant."""
        return (self.job_id, self.attempt, self.member)


class GrantTable:
    """Grants of one worker; no accelerator and no slot is held twice.

    Parameters
    ----------
    accelerators, slots : int
        Number of accelerators and of task slots of the worker.
    last_token : int
        Fencing tokens start after it; it must be larger than every token issued
        by earlier incarnations of the agent.
    """

    def __init__(self, accelerators: int, slots: int, last_token: int = 0) -> None:
        self._accelerators = accelerators
        self._slots = slots
        self._grants: dict[MemberKey, Grant] = {}
        self._last_token = last_token
        self._term = NO_TERM

    @property
    def term(self) -> int:
        """The highest term of a placer seen so far."""
        return self._term

    def admit_term(self, term: int) -> bool:
        """Record a placer's term; return whether no higher one has been seen."""
        if term < self._term:
            return False
        self._term = term
        return True

    def occupants(self) -> tuple[Occupant, ...]:
        """Return the grants in the form in which they are announced."""
        occupants = []
        for grant in self._grants.values():
            occupants.append(
                Occupant(
                    job_id=grant.job_id,
                    attempt=grant.attempt,
                    account=grant.account,
                    accelerators=grant.accelerators,
                    guaranteed=grant.guaranteed,
                    started=grant.state == STARTED,
                )
            )
        return tuple(occupants)

    def grants(self) -> list[Grant]:
        """Return every grant."""
        return list(self._grants.values())

    def of_attempt(self, job_id: str, attempt: int) -> list[Grant]:
        """Return the grants of one attempt of a job."""
        grants = []
        for grant in self._grants.values():
            if (grant.job_id, grant.attempt) == (job_id, attempt):
                grants.append(grant)
        return grants

    def get(self, job_id: str, attempt: int, member: int) -> Grant | None:
        """Return the grant of a member, ``None`` if there is none."""
        return self._grants.get((job_id, attempt, member))

    def reserve(self, message: Reserve, now: float) -> Grant | str:
        """Reserve what ``message`` asks for; return the reason if refused.

        A repeated reservation replaces the earlier one, whose token becomes
        stale.
        """
        if not self.admit_term(message.term):
            return (
                f"the placer's term {message.term} has been succeeded by {self._term}"
            )
        self.expire(now)
        key = (message.job_id, message.attempt, message.member)
        existing = self._grants.get(key)
        if existing is not None and existing.state == STARTED:
            return "this member has been started already"
        self._grants.pop(key, None)
        if len(self._grants) >= self._slots:
            return f"no free slot, all {self._slots} are held"
        for index in message.accelerators:
            if not 0 <= index < self._accelerators:
                return f"accelerator {index} does not exist"
            if self._grant_of_accelerator(index) is not None:
                return f"accelerator {index} is held by another task"
        self._last_token += 1
        grant = Grant(
            job_id=message.job_id,
            attempt=message.attempt,
            member=message.member,
            account=message.account,
            guaranteed=message.guaranteed,
            accelerators=message.accelerators,
            token=self._last_token,
            term=message.term,
            state=RESERVED,
            expires_at=now + message.hold_seconds,
        )
        self._grants[key] = grant
        return grant

    def extend(self, key: MemberKey, token: int, until: float, now: float) -> str:
        """Extend an unexpired reservation; return the reason if refused."""
        self.expire(now)
        refusal = self._refusal(key, token)
        if refusal:
            return refusal
        grant = self._grants[key]
        later = max(until, grant.expires_at)
        self._grants[key] = grant._replace(expires_at=later)
        return ""

    def start(self, key: MemberKey, token: int, now: float) -> Grant | str:
        """Mark an unexpired reservation as started; return the reason if refused."""
        self.expire(now)
        refusal = self._refusal(key, token)
        if refusal:
            return refusal
        started = self._grants[key]._replace(state=STARTED)
        self._grants[key] = started
        return started

    def release(self, job_id: str, attempt: int, member: int) -> bool:
        """Drop a grant; return whether there was one."""
        return self._grants.pop((job_id, attempt, member), None) is not None

    def expire(self, now: float) -> None:
        """Drop the reservations that have expired by ``now``."""
        for key, grant in list(self._grants.items()):
            if grant.state == RESERVED and now >= grant.expires_at:
                del self._grants[key]

    def _refusal(self, key: MemberKey, token: int) -> str:
        grant = self._grants.get(key)
        if grant is None:
            return "the reservation has expired"
        if grant.token != token:
            return "the fencing token is stale"
        if grant.state == STARTED:
            return "this member has been started already"
        return ""

    def _grant_of_accelerator(self, index: int) -> Grant | None:
        for grant in self._grants.values():
            if index in grant.accelerators:
                return grant
        return None
