"""Telling quick workers from tasks that are larger or smaller than declared.

A run that makes twice the progress declared is on a quick worker or belongs to
a step that was declared too long. Tasks of one step on several workers, and
tasks of several steps on one worker, tell the two apart: the logarithm of each
ratio is the worker's speed less the step's error, and both are estimated
together, as a least-squares fit that is drawn towards nothing unusual.
"""

from math import exp, log
from typing import NamedTuple

from sequoiachute.protocol.workload import Lifetime

ROUNDS = 5  # of the fit; it changes by under 2 % after them
UNEVEN_VARIANCE = 0.06  # of a task's logarithm within its step; the sites' uneven
SPEED_VARIANCE = 0.16  # of workers' speeds; 0.6, 1.0 and 1.6 are equally frequent
ERROR_VARIANCE = 0.16  # of steps' errors until some are known
ERROR_BELIEF = 3.0  # steps' worth of belief in it
LEAST_ERROR_VARIANCE = 0.02
EARLIER_WEIGHT = 1.0  # of what an earlier placer has learned, in tasks


class Sample(NamedTuple):
    """A task's progress against the declared, as logarithm of the ratio."""

    life: Lifetime
    step: str
    ratio: float
    weight: float


class SpeedEstimate:
    """Speeds of workers and errors of steps, from samples."""

    def __init__(self) -> None:
        self._speeds: dict[Lifetime, float] = {}
        self._errors: dict[str, float] = {}
        self._error_variance = ERROR_VARIANCE

    def speed(self, life: Lifetime) -> float:
        """Return a worker's speed; one for a worker of which nothing is known."""
        return exp(self._speeds.get(life, 0.0))

    def renew(self, samples: list[Sample], earlier: dict[Lifetime, float]) -> None:
        """Estimate anew; ``earlier`` are speeds that another placer has learned."""
        known = {life: log(speed) for life, speed in earlier.items()}
        speeds = dict(known)
        by_life: dict[Lifetime, list[Sample]] = {}
        by_step: dict[str, list[Sample]] = {}
        for sample in samples:
            by_life.setdefault(sample.life, []).append(sample)
            by_step.setdefault(sample.step, []).append(sample)
        errors: dict[str, float] = {}
        for _ in range(ROUNDS):
            doubt = UNEVEN_VARIANCE / self._error_variance
            for step, members in by_step.items():
                total = weight = 0.0
                for sample in members:
                    off = speeds.get(sample.life, 0.0) - sample.ratio
                    total += sample.weight * off
                    weight += sample.weight
                errors[step] = total / (weight + doubt)
            for life, members in by_life.items():
                weight = UNEVEN_VARIANCE / SPEED_VARIANCE
                total = 0.0
                if life in known:
                    weight = EARLIER_WEIGHT
                    total = EARLIER_WEIGHT * known[life]
                for sample in members:
                    off = sample.ratio + errors[sample.step]
                    total += sample.weight * off
                    weight += sample.weight
                speeds[life] = total / weight
        self._speeds = speeds
        self._errors = errors
        self._learn_variance()

    def _learn_variance(self) -> None:
        squares = sum(error * error for error in self._errors.values())
        total = ERROR_BELIEF * ERROR_VARIANCE + squares
        variance = total / (ERROR_BELIEF + len(self._errors))
        self._error_variance = max(variance, LEAST_ERROR_VARIANCE)
