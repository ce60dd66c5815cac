"""Estimates workers' speeds separately from errors in the declared times.

A run that progresses twice as fast as declared is on a fast worker or belongs
to a step whose declared time is too long. Tasks of one step on several workers,
and tasks of several steps on one worker, separate the two: the logarithm of
each ratio is the log speed of the worker minus the log error of the step. Both
are fitted together by regularised least squares with a prior mean of zero.
"""

from math import exp, log, sqrt
from typing import NamedTuple

from sequoiachute.protocol.workload import Machine, MachineSpeed
from sequoiachute.state.ledger import UNKNOWN_SPEED_ERROR

# Variances are of natural logarithms.
FIT_ITERATIONS = 5  # further ones change the fit by less than 10 %
TASK_VARIANCE = 0.06  # between the tasks of a step; the sites' "uneven"
SPEED_VARIANCE = UNKNOWN_SPEED_ERROR**2  # between workers
PRIOR_ERROR_VARIANCE = 0.5  # between steps, before any is known
PRIOR_ERROR_WEIGHT = 3.0  # of the prior variance, in steps
MIN_ERROR_VARIANCE = 0.02


class SpeedSample(NamedTuple):
    """Logarithm of a task's actual to declared rate of progress."""

    machine: Machine
    step: str
    log_ratio: float
    weight: float


class _Prior(NamedTuple):
    """What is known of the logarithm of a machine's speed before any sample."""

    mean: float
    precision: float


_UNKNOWN = _Prior(0.0, 1.0 / SPEED_VARIANCE)


def _prior(known: MachineSpeed) -> _Prior:
    return _Prior(log(known.speed), 1.0 / known.error**2)


class SpeedEstimator:
    """Fits workers' speeds and steps' errors to samples."""

    def __init__(self) -> None:
        self._speeds: dict[Machine, float] = {}
        self._precisions: dict[Machine, float] = {}
        self._errors: dict[str, float] = {}
        self._error_variance = PRIOR_ERROR_VARIANCE

    def speed(self, machine: Machine) -> float:
        """Return a worker's speed; 1.0 for a worker without samples."""
        return exp(self._speeds.get(machine, 0.0))

    def speed_error(self, machine: Machine) -> float:
        """Return the standard error of the logarithm of a machine's speed."""
        return sqrt(1.0 / self._precisions.get(machine, _UNKNOWN.precision))

    def fit(
        self, samples: list[SpeedSample], inherited: dict[Machine, MachineSpeed]
    ) -> None:
        """Fit speeds and errors to ``samples``.

        Parameters
        ----------
        samples : list of SpeedSample
        inherited : dict
            Speeds recorded by earlier placers, by machine.
        """
        priors = {machine: _prior(known) for machine, known in inherited.items()}
        speeds = {machine: prior.mean for machine, prior in priors.items()}
        by_machine: dict[Machine, list[SpeedSample]] = {}
        by_step: dict[str, list[SpeedSample]] = {}
        for sample in samples:
            by_machine.setdefault(sample.machine, []).append(sample)
            by_step.setdefault(sample.step, []).append(sample)
        errors: dict[str, float] = {}
        for _ in range(FIT_ITERATIONS):
            prior_weight = TASK_VARIANCE / self._error_variance
            for step, group in by_step.items():
                total = weight = 0.0
                for sample in group:
                    residual = speeds.get(sample.machine, 0.0) - sample.log_ratio
                    total += sample.weight * residual
                    weight += sample.weight
                errors[step] = total / (weight + prior_weight)
            for machine, group in by_machine.items():
                prior = priors.get(machine, _UNKNOWN)
                weight = TASK_VARIANCE * prior.precision
                total = weight * prior.mean
                for sample in group:
                    residual = sample.log_ratio + errors[sample.step]
                    total += sample.weight * residual
                    weight += sample.weight
                speeds[machine] = total / weight
        self._speeds = speeds
        self._errors = errors
        self._precisions = {
            machine: prior.precision for machine, prior in priors.items()
        }
        self._add_precisions(by_step)
        self._update_error_variance()

    def _add_precisions(self, by_step: dict[str, list[SpeedSample]]) -> None:
        """Add what the samples of each step tell of the machines' speeds.

        A step's own error is known from its tasks on other machines only: a step
        that runs on one machine tells little of its speed.
        """
        for group in by_step.values():
            weights: dict[Machine, float] = {}
            for sample in group:
                weight = weights.get(sample.machine, 0.0)
                weights[sample.machine] = weight + sample.weight
            shares = {
                machine: 1.0 / (SPEED_VARIANCE + TASK_VARIANCE / weight)
                for machine, weight in weights.items()
            }
            total = sum(shares.values()) + 1.0 / self._error_variance
            for machine, weight in weights.items():
                error_variance = 1.0 / (total - shares[machine])
                precision = 1.0 / (TASK_VARIANCE / weight + error_variance)
                known = self._precisions.get(machine, _UNKNOWN.precision)
                self._precisions[machine] = known + precision

    def _update_error_variance(self) -> None:
        squares = sum(error * error for error in self._errors.values())
        total = PRIOR_ERROR_WEIGHT * PRIOR_ERROR_VARIANCE + squares
        variance = total / (PRIOR_ERROR_WEIGHT + len(self._errors))
        self._error_variance = max(variance, MIN_ERROR_VARIANCE)
