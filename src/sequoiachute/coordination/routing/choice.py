"""Choosing one of several backend servers."""

from random import Random
from typing import NamedTuple, Protocol

from sequoiachute.state.fleet import Worker


class Candidate(NamedTuple):
    """A backend server that may take a request.

    ``outstanding`` counts the requests in progress there. ``expected`` is the
    time in seconds in which one more would be answered.
    """

    worker: Worker
    outstanding: int
    expected: float


class Choice(Protocol):
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
