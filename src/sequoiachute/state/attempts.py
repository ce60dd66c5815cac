"""Attempts that an agent has seen, so that none runs a second time."""

from heapq import heappop, heappush
from typing import NamedTuple

from eventlet.event import Event

from sequoiachute.protocol.messages import ExecuteReply

NOT_RUN = "not-run"

MAX_ATTEMPTS = 20_000
MAX_HELD_BYTES = 16 * 1024 * 1024
KEEP_SECONDS = 900.0


class Attempt(NamedTuple):
    """One attempt; ``ended`` is sent its reply.

    ``valid_until`` is on the agent's clock, after which the attempt could not
    begin again.
    """

    attempt_id: str
    valid_until: float
    ended: Event


class AttemptTable:
    """Attempts by identity, of bounded number and size.

    An attempt is forgotten only after its validity has passed. Until then
    its identity is refused, whether it ran, runs or was refused.
    """

    def __init__(
        self, max_attempts: int = MAX_ATTEMPTS, max_held_bytes: int = MAX_HELD_BYTES
    ) -> None:
        self._max_attempts = max_attempts
        self._max_held_bytes = max_held_bytes
        self._attempts: dict[str, Attempt] = {}
        self._replies: dict[str, ExecuteReply] = {}
        self._held: dict[str, int] = {}
        self._held_bytes = 0
        self._order: list[tuple[float, str, bool]] = []
        self._forgotten_until = float("-inf")

    def __len__(self) -> int:
        return len(self._attempts)

    @property
    def held_bytes(self) -> int:
        """Bytes of the answers kept."""
        return self._held_bytes

    def get(self, attempt_id: str) -> Attempt | None:
        """Return the attempt if it was seen."""
        return self._attempts.get(attempt_id)

    def reply(self, attempt_id: str) -> ExecuteReply | None:
        """Return how the attempt ended, ``None`` while it runs."""
        return self._replies.get(attempt_id)

    def is_forgotten(self, valid_until: float) -> bool:
        """Whether a kept attempt of this validity may have run unremembered."""
        return valid_until <= self._forgotten_until

    def is_full(self, now: float) -> bool:
        """Whether no further attempt can be remembered."""
        self._forget(now)
        return len(self._attempts) >= self._max_attempts

    def begin(self, attempt_id: str, valid_until: float) -> Attempt:
        """Note an attempt as seen and running."""
        attempt = Attempt(attempt_id, valid_until, Event())
        self._attempts[attempt_id] = attempt
        return attempt

    def end(self, attempt_id: str, reply: ExecuteReply, now: float, keep: bool) -> None:
        """Note how an attempt ended; its answer stays if ``keep``."""
        attempt = self._attempts[attempt_id]
        kept = reply if keep else reply._replace(body=b"", held=not reply.length)
        self._replies[attempt_id] = kept
        forget_at = max(now, attempt.valid_until)
        if keep:
            forget_at += KEEP_SECONDS
        ran = keep and reply.outcome != NOT_RUN
        heappush(self._order, (forget_at, attempt_id, ran))
        self._hold(attempt_id, len(kept.body))
        attempt.ended.send(reply)

    def refuse(self, reply: ExecuteReply, valid_until: float, now: float) -> None:
        """Note that an attempt was refused, so that it never runs."""
        self.begin(reply.attempt_id, valid_until)
        self.end(reply.attempt_id, reply, now, False)
        self._forget(now)

    def _hold(self, attempt_id: str, size: int) -> None:
        if not size:
            return
        self._held[attempt_id] = size
        self._held_bytes += size
        while self._held_bytes > self._max_held_bytes:
            self._release(next(iter(self._held)))

    def _release(self, attempt_id: str) -> None:
        self._held_bytes -= self._held.pop(attempt_id, 0)
        reply = self._replies[attempt_id]
        self._replies[attempt_id] = reply._replace(body=b"", held=not reply.length)

    def _forget(self, now: float) -> None:
        while self._order:
            forget_at, attempt_id, ran = self._order[0]
            attempt = self._attempts[attempt_id]
            crowded = len(self._attempts) >= self._max_attempts
            if forget_at > now and not (crowded and attempt.valid_until < now):
                return
            heappop(self._order)
            self._release(attempt_id)
            del self._attempts[attempt_id]
            del self._replies[attempt_id]
            if ran:
                latest = max(self._forgotten_until, attempt.valid_until)
                self._forgotten_until = latest
