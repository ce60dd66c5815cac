"""What an agent has granted: the sole authority over its worker."""

from typing import NamedTuple

from sequoiachute.protocol.messages import Occupant, Reserve

RESERVED = "reserved"
STARTED = "started"


class Grant(NamedTuple):
    """Accelerators and a slot held for one member of a gang."""

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


class GrantTable:
    """Grants of one worker; no accelerator and no slot is held twice."""

    def __init__(self, accelerators: int, slots: int) -> None:
        self._accelerators = accelerators
        self._slots = slots
        self._grants: dict[tuple[str, int, int], Grant] = {}
        self._last_token = 0

    def occupants(self) -> tuple[Occupant, ...]:
        """Return the holders as they are announced."""
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

    def get(self, job_id: str, attempt: int, member: int) -> Grant | None:
        """Return the grant of a member, ``None`` if there is none."""
        return self._grants.get((job_id, attempt, member))

    def reserve(self, message: Reserve, now: float) -> Grant | str:
        """Hold what ``message`` asks for; return the reason if refused."""
        self.expire(now)
        key = (message.job_id, message.attempt, message.member)
        if key in self._grants:
            return "this member holds a grant already"
        if len(self._grants) >= self._slots:
            return "no free slot"
        for index in message.accelerators:
            if not 0 <= index < self._accelerators:
                return f"accelerator {index} does not exist"
            if self._holder(index) is not None:
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

    def start(
        self, job_id: str, attempt: int, member: int, token: int, now: float
    ) -> Grant | str:
        """Turn a live reservation into a start; return the reason if refused."""
        self.expire(now)
        grant = self._grants.get((job_id, attempt, member))
        if grant is None:
            return "the reservation has expired"
        if grant.token != token:
            return "the fencing token is stale"
        if grant.state == STARTED:
            return grant
        started = grant._replace(state=STARTED)
        self._grants[(job_id, attempt, member)] = started
        return started

    def release(self, job_id: str, attempt: int, member: int) -> bool:
        """Drop a grant; return whether there was one."""
        return self._grants.pop((job_id, attempt, member), None) is not None

    def expire(self, now: float) -> None:
        """Drop the reservations whose time has passed."""
        for key, grant in list(self._grants.items()):
            if grant.state == RESERVED and now >= grant.expires_at:
                del self._grants[key]

    def _holder(self, index: int) -> Grant | None:
        for grant in self._grants.values():
            if index in grant.accelerators:
                return grant
        return None
