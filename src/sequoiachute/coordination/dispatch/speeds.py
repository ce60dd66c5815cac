"""Telling quick workers from tasks that are larger or smaller than declared.

A run that makes twice the progress declared is on a quick worker or belongs to
a step that was declared too long. Tasks of one step on several workers, and
tasks of several steps on one worker, tell the two apart: the logarithm of each
ratio is the worker's speed less the step's error, and both are estimated
together, as a least-squares fit that is drawn towards nothing unusual.
"""

from math import exp, log
from typing import NamedTuple

from sequoiachute.protocol.workload import Life

FIT_ITERATIONS = 5  # of the fit; it changes by under 2 % after them
TASK_VARIANCE = 0.06  # of a task's logarithm within its step; the sites' uneven
SPEED_VARIANCE = 0.16  # of workers' speeds; 0.6, 1.0 and 1.6 are equally frequent
PRIOR_ERROR_VARIANCE = 0.16  # of steps' errors until some are known
PRIOR_ERROR_WEIGHT = 3.0  # steps' worth of belief in it
MIN_ERROR_VARIANCE = 0.02
INHERITED_WEIGHT = 1.0  # of what an earlier placer has learned, in tasks


class SpeedSample(NamedTuple):
    """A task's progress against the declared, as logarithm of the ratio."""

    life: Life
    step: str
    log_ratio: float
    weight: float


class SpeedEstimator:
    """Speeds of workers and errors of steps, from samples."""

    def __init__(self) -> None:
        self._speeds: dict[Life, float] = {}
        self._errors: dict[str, float] = {}
        self._error_variance = PRIOR_ERROR_VARIANCE

    def speed(self, life: Life) -> float:
        """Return a worker's speed; one for a worker of which nothing is known."""
        return exp(self._speeds.get(life, 0.0))

    def fit(self, samples: list[SpeedSample], inherited: dict[Life, float]) -> None:
        """Estimate anew; ``earlier`` are speeds that another placer has learned."""
        inherited_logs = {life: log(speed) for life, speed in inherited.items()}
        speeds = dict(inherited_logs)
        by_life: dict[Life, list[SpeedSample]] = {}
        by_step: dict[str, list[SpeedSample]] = {}
        for sample in samples:
            by_life.setdefault(sample.life, []).append(sample)
            by_step.setdefault(sample.step, []).append(sample)
        errors: dict[str, float] = {}
        for _ in range(FIT_ITERATIONS):
            prior_weight = TASK_VARIANCE / self._error_variance
            for step, group in by_step.items():
                total = weight = 0.0
                for sample in group:
                    residual = speeds.get(sample.life, 0.0) - sample.log_ratio
                    total += sample.weight * residual
                    weight += sample.weight
                errors[step] = total / (weight + prior_weight)
            for life, group in by_life.items():
                weight = TASK_VARIANCE / SPEED_VARIANCE
                total = 0.0
                if life in inherited_logs:
                    weight = INHERITED_WEIGHT
                    total = INHERITED_WEIGHT * inherited_logs[life]
                for sample in group:
                    residual = sample.log_ratio + errors[sample.step]
                    total += sample.weight * residual
                    weight += sample.weight
                speeds[life] = total / weight
        self._speeds = speeds
        self._errors = errors
        self._update_error_variance()

    def _update_error_variance(self) -> None:
        squares = sum(error * error for error in self._errors.values())
        total = PRIOR_ERROR_WEIGHT * PRIOR_ERROR_VARIANCE + squares
        variance = total / (PRIOR_ERROR_WEIGHT + len(self._errors))
        self._error_variance = max(variance, MIN_ERROR_VARIANCE)
