"""Table of the request attempts that an agent has seen, so that none runs twice."""

from heapq import heappop, heappush
from typing import NamedTuple

from eventlet.event import Event

from sequoiachute.protocol.messages import ExecuteReply

NOT_RUN = "not-run"

MAX_ATTEMPTS = 20_000
MAX_HELD_ANSWER_BYTES = 16 * 1024 * 1024
ANSWER_KEEP_SECONDS = 900.0


class Attempt(NamedTuple):
    """One attempt to run a request.

    ``valid_until`` is a time on the agent's clock after which the agent would
    refuse to start the attempt. ``ended`` is an event that carries the reply.
    """

    attempt_id: str
    valid_until: float
    ended: Event


class AttemptTable:
    """Attempts by identity, bounded in number and in bytes of answers.

    An attempt is dropped only after its validity has passed. Until then a second
    attempt of the same identity is refused, whether the first one ran, is
    running or was refused.

    Parameters
    ----------
    max_attempts : int
        Attempts kept; at this number those past their validity are dropped early.
    max_held_bytes : int
        Bytes of answers kept; the oldest answers are dropped first.
    """

    def __init__(
        self,
        max_attempts: int = MAX_ATTEMPTS,
        max_held_bytes: int = MAX_HELD_ANSWER_BYTES,
    ) -> None:
        self._max_attempts = max_attempts
        self._max_held_bytes = max_held_bytes
        self._attempts: dict[str, Attempt] = {}
        self._replies: dict[str, ExecuteReply] = {}
        self._answer_sizes: dict[str, int] = {}
        self._held_bytes = 0
        self._expiries: list[tuple[float, str, bool]] = []
        self._dropped_valid_until = float("-inf")

    def __len__(self) -> int:
        return len(self._attempts)

    @property
    def held_bytes(self) -> int:
        """Total size in bytes of the answers kept."""
        return self._held_bytes

    def get(self, attempt_id: str) -> Attempt | None:
        """Return the attempt, ``None`` if it was not seen or has been dropped."""
        return self._attempts.get(attempt_id)

    def reply(self, attempt_id: str) -> ExecuteReply | None:
        """Return the reply of an ended attempt, ``None`` while it runs."""
        return self._replies.get(attempt_id)

    def is_forgotten(self, valid_until: float) -> bool:
        """Return whether an attempt valid until then may have run and been dropped."""
        return valid_until <= self._dropped_valid_until

    def is_full(self, now: float) -> bool:
        """Return whether the table has no space for another attempt at ``now``."""
        self._drop_expired(now)
        return len(self._attempts) >= self._max_attempts

    def begin(self, attempt_id: str, valid_until: float) -> Attempt:
        """Add an attempt as running."""
        attempt = Attempt(attempt_id, valid_until, Event())
        self._attempts[attempt_id] = attempt
        return attempt

    def end(self, attempt_id: str, reply: ExecuteReply, now: float, keep: bool) -> None:
        """Record the reply of an attempt and pass it to waiting callers.

        The body of the answer is kept only if ``keep`` is set.
        """
        attempt = self._attempts[attempt_id]
        kept = reply if keep else reply._replace(body=b"", held=not reply.length)
        self._replies[attempt_id] = kept
        expires_at = max(now, attempt.valid_until)
        if keep:
            expires_at += ANSWER_KEEP_SECONDS
        ran = keep and reply.outcome != NOT_RUN
        heappush(self._expiries, (expires_at, attempt_id, ran))
        self._hold_answer(attempt_id, len(kept.body))
        attempt.ended.send(reply)

    def refuse(self, reply: ExecuteReply, valid_until: float, now: float) -> None:
        """Record an attempt as refused, so that it never runs."""
        self.begin(reply.attempt_id, valid_until)
        self.end(reply.attempt_id, reply, now, False)
        self._drop_expired(now)

    def _hold_answer(self, attempt_id: str, size: int) -> None:
        if not size:
            return
        self._answer_sizes[attempt_id] = size
        self._held_bytes += size
        while self._held_bytes > self._max_held_bytes:
            self._release_answer(next(iter(self._answer_sizes)))

    def _release_answer(self, attempt_id: str) -> None:
        self._held_bytes -= self._answer_sizes.pop(attempt_id, 0)
        reply = self._replies[attempt_id]
        self._replies[attempt_id] = reply._replace(body=b"", held=not reply.length)

    def _drop_expired(self, now: float) -> None:
        while self._expiries:
            expires_at, attempt_id, ran = self._expiries[0]
            attempt = self._attempts[attempt_id]
            is_full = len(self._attempts) >= self._max_attempts
            if expires_at > now and not (is_full and attempt.valid_until < now):
                return
            heappop(self._expiries)
            self._release_answer(attempt_id)
            del self._attempts[attempt_id]
            del self._replies[attempt_id]
            if ran:
                latest = max(self._dropped_valid_until, attempt.valid_until)
                self._dropped_valid_until = latest
