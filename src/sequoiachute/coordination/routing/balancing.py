"""Choosing one of several backend servers."""

from random import Random
from typing import NamedTuple, Protocol

from sequoiachute.state.fleet import Worker


class Candidate(NamedTuple):
    """A backend server that may take a request.

    ``outstanding`` counts the requests in progress there. ``expected`` is the
    time in seconds in which one more would be answered, good for comparing.
    ``recent`` is the time in which requests were answered lately, zero where
    none was.
    """

    worker: Worker
    outstanding: int
    expected: float
    recent: float = 0.0

    def is_late(self, left: float) -> bool:
        """Whether it would not answer within ``left`` seconds.

        An idle one is never called late, or its speed would never be learnt.
        """
        return self.outstanding > 0 and self.recent > left


class BalancingPolicy(Protocol):
    """A rule that picks one candidate."""

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return one of ``candidates``, which are never empty."""
        ...


class LeastExpected:
    """Picks the candidate expected to answer first."""

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the candidate with the least expected time."""
        best = candidates[0]
        for candidate in candidates[1:]:
            if candidate.expected < best.expected:
                best = candidate
        return best


class TwoChoices:
    """Picks the better of two random candidates by expected time."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the better of two."""
        first = self._random.choice(candidates)
        second = self._random.choice(candidates)
        return first if first.expected <= second.expected else second
