"""Reads the simulated site (workers, kinds of jobs, fault rates) from YAML."""

from typing import Annotated

import msgspec
from msgspec import Meta

from sequoiachute.errors import SettingsError
from sequoiachute.yamlfile import YamlFileError, read_yaml_mapping

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]


class LogNormal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A log-normal distribution, cut off at ``most``.

    ``spread`` is the standard deviation of the logarithm.
    """

    mean: Positive
    spread: Annotated[float, Meta(ge=0)] = 0.0
    most: float = float("inf")


class JobKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of jobs drawn from the same distributions.

    ``per_second`` is the mean arrival rate, ``standing`` the jobs that wait when
    the day begins. A job of mean size earns ``worth``
    if it ends within its objective and ``late_worth`` up to three times the
    objective, which is ``stretch`` times the job's critical path plus
    ``slo_seconds``. Shares are of jobs, ``error_share`` is of tasks.
    ``estimate_off`` is the error of the declared run time and ``uneven`` the
    variation between the tasks of a step, both as standard deviations of the
    logarithm.
    """

    name: str
    per_second: Positive
    worth: float
    late_worth: float
    priority: int
    stretch: Positive
    slo_seconds: float
    seconds: LogNormal
    tasks: LogNormal
    cores: Positive
    memory_mb: int = 0
    gpus: tuple[int, ...] = (0,)
    steps: LogNormal = LogNormal(1.0)
    attempts: Count = 1
    gang: Share = 0.0
    same_rack: Share = 0.0
    checkpoints: Share = 0.0
    label: Share = 0.0
    data_rack: Share = 0.0
    spread_out: Share = 0.0
    uneven: float = 0.0
    estimate_off: float = 0.0
    error_share: Share = 0.0
    hopeless: Share = 0.0
    cancel: Share = 0.0
    standing: Annotated[int, Meta(ge=0)] = 0


class WorkerPool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Workers of equal capacity and different speeds, ``per_rack`` in each rack.

    ``cores``, ``memory_mb`` and ``gpus`` are those of one worker.
    """

    count: Count
    zones: Count
    per_rack: Count
    cores: int
    memory_mb: int
    gpus: int
    speeds: tuple[Positive, ...] = (1.0,)


class AccountMix(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Client accounts, and the share of accelerators guaranteed to all of them.

    The account with number ``i`` sends jobs in proportion to
    ``(i + 1) ** -skew``.
    """

    count: Count = 1
    skew: float = 0.0
    guaranteed: Share = 0.0


class FaultRates(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Mean number of faults of each kind in a day.

    A slow worker runs at a quarter of its speed or less, a failing one fails
    all its runs and a hanging one makes no progress. A lost worker loses its
    runs and may return; a leaving one announces its end ``notice_seconds``
    before. A closed zone gets no new runs. In an outage of the store nothing
    is decided. A burst raises the arrival rate of one kind of job for a while.
    """

    slow: float = 0.0
    failing: float = 0.0
    hanging: float = 0.0
    lost: float = 0.0
    leaving: float = 0.0
    closed_zones: float = 0.0
    outages: float = 0.0
    bursts: float = 0.0


class ReplaySite(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A simulated site and its load; times in seconds.

    ``load`` multiplies all arrival rates. Jobs arrive for ``seconds``, but for the
    standing ones after ``lead_seconds``. ``price`` is the cost of a
    core-second of lost work, on the scale of ``worth``; an accelerator counts
    as eight cores. A run outside the rack of its data, or a same-rack gang
    that is split over racks, takes ``far_factor`` times as long. ``weights``
    apply to the scores of the whole day, its two worst windows, the worst
    kind, the worst zone and the worst tenth of the accounts.
    """

    name: str
    workers: WorkerPool
    kinds: tuple[JobKind, ...]
    accounts: AccountMix = AccountMix()
    troubles: FaultRates = FaultRates()
    load: Positive = 1.0
    seconds: Positive = 34.0
    lead_seconds: Annotated[float, Meta(ge=0)] = 0.0
    tail_seconds: Positive = 20.0
    price: float = 0.0
    far_factor: Positive = 3.0
    save_seconds: Positive = 1.0
    restore_seconds: float = 0.1
    stop_seconds: float = 0.3
    notice_seconds: float = 4.5
    weights: tuple[float, float, float, float, float] = (1.0, 0.0, 0.0, 0.0, 0.0)

    def with_load(self, load: float) -> "ReplaySite":
        """Return the site with another load factor."""
        return msgspec.structs.replace(self, load=load)


def load_site(path: str) -> ReplaySite:
    """Return the site described in a YAML file.

    Raises
    ------
    SettingsError
        If the file can't be read or does not describe a site.
    """
    try:
        mapping = read_yaml_mapping(path)
        return msgspec.convert(mapping, ReplaySite)
    except YamlFileError as error:
        raise SettingsError(path, "file", error.reason, error.remedy) from error
    except msgspec.ValidationError as error:
        remedy = "use the fields listed in docs/design/replay.md"
        raise SettingsError(path, "site", str(error), remedy) from error
