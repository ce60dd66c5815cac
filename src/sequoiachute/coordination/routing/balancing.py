"""Load-balancing policies that choose a backend server for a request."""

from random import Random
from typing import NamedTuple, Protocol

from sequoiachute.state.fleet import Worker


class Candidate(NamedTuple):
    """A backend server that may take a request.

    ``outstanding`` counts the requests in progress there. ``expected_seconds``
    estimates when one more request would be answered; it is meant for
    comparing candidates. ``recent_seconds`` is the mean time of recent
    answers, zero where there was none.
    """

    worker: Worker
    outstanding: int
    expected_seconds: float
    recent_seconds: float = 0.0

    def would_miss(self, remaining_seconds: float) -> bool:
        """Return whether it would probably not answer in the remaining time.

        An idle backend server always gets the request; otherwise one that was
        once slow would never be measured again.
        """
        return self.outstanding > 0 and self.recent_seconds > remaining_seconds


class BalancingPolicy(Protocol):
    """A rule that picks one candidate."""

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return one of ``candidates``, which are never empty."""
        ...


class LeastExpectedTime:
    """Picks the candidate that is expected to answer first."""

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the first candidate with the least expected time."""
        best = candidates[0]
        for candidate in candidates[1:]:
            if candidate.expected_seconds < best.expected_seconds:
                best = candidate
        return best


class PowerOfTwoChoices:
    """Picks the better of two random candidates by expected time."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return whichever of two random candidates should answer first."""
        first = self._random.choice(candidates)
        second = self._random.choice(candidates)
        return first if first.expected_seconds <= second.expected_seconds else second
