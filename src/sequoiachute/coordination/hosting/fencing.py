"""Fencing tokens of an agent's calls to the lives of its worker."""

from sequoiachute.protocol.workload import Lifetime
from sequoiachute.transport.worker import MAX_CALL_DELAY_SECONDS

MAX_LIVES = 4  # the newest, whose bases are kept
# Longer than a placer that has lost its role grants leases, or than its calls take.
MAX_REFUSED_SECONDS = MAX_CALL_DELAY_SECONDS


class Fencing:
    """Tokens that rise with the worker's lives and with the placers' terms.

    A worker that starts again has seen no token, and calls to its earlier lifetime may
    be carried out seconds later. A later lifetime has a higher token than any earlier
    one under the same or a lower term, so that such calls are refused once it has
    answered a poll under the term of the present placer. The base of a lifetime's
    tokens is its start, or follows that of the lifetime before if the worker's time of
    day has gone back meanwhile.
    """

    def __init__(self) -> None:
        self._bases: dict[Lifetime, int] = {}
        self._refused_since: float | None = None
        self._step = 1

    def base(self, lifetime: Lifetime) -> int:
        """Return the base of a lifetime's tokens; a new one is the latest lifetime."""
        if lifetime not in self._bases:
            newest = max(self._bases.values(), default=-1)
            self._bases[lifetime] = max(lifetime.started_ms, newest + 1)
            while len(self._bases) > MAX_LIVES:
                del self._bases[next(iter(self._bases))]
        return self._bases[lifetime]

    def raise_base(self, lifetime: Lifetime, base: int) -> bool:
        """Raise the base of a lifetime's tokens; return whether it was lower."""
        if base <= self.base(lifetime):
            return False
        self._bases[lifetime] = base
        return True

    def record_answer(self, lifetime: Lifetime, is_refused: bool, now: float) -> int:
        """Record whether the token of a call was refused; return the base to use.

        It rises, in doubling steps, once the lifetime has refused all tokens for
        ``MAX_REFUSED_SECONDS``. Until then an earlier process of this agent may have
        called it under a later term, which this one has yet to learn. ``now`` is a
        time of ``clock.elapsed``.
        """
        base = self.base(lifetime)
        if not is_refused:
            self._refused_since = None
            self._step = 1
            return base
        if self._refused_since is None:
            self._refused_since = now
        if now < self._refused_since + MAX_REFUSED_SECONDS:
            return base
        self._step *= 2
        return base + self._step

    def token(self, lifetime: Lifetime, term: int) -> int:
        """Return the token of calls to a lifetime under a placer's term."""
        return self.base(lifetime) + term
