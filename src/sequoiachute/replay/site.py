"""What is played: workers, kinds of jobs and troubles, from a YAML file."""

from typing import Annotated

import msgspec
from msgspec import Meta

from sequoiachute.errors import SettingsError
from sequoiachute.yamlfile import YamlFileError, read_yaml_mapping

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]


class Spread(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Values around ``mean``, log-normal, at most ``most``."""

    mean: Positive
    spread: Annotated[float, Meta(ge=0)] = 0.0
    most: float = float("inf")


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Jobs that are alike.

    ``per_second`` is the mean rate of arrivals, ``worth`` what a job of mean
    size earns in time, ``late_worth`` what it earns up to three times its
    objective. The objective is ``stretch`` times the job's longest chain of
    work and ``slo_seconds`` more. Shares are of jobs, ``error_share`` of runs.
    ``estimate_off`` is how far the declared time is off, ``uneven`` how far
    the tasks of a step differ, both as deviations of the logarithm.
    """

    name: str
    per_second: Positive
    worth: float
    late_worth: float
    priority: int
    stretch: Positive
    slo_seconds: float
    seconds: Spread
    tasks: Spread
    cores: Positive
    memory_mb: int = 0
    gpus: tuple[int, ...] = (0,)
    steps: Spread = Spread(1.0)
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


class Workers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Alike workers of uneven speed, ``per_rack`` in each rack of a zone."""

    count: Count
    zones: Count
    per_rack: Count
    cores: int
    memory_mb: int
    gpus: int
    speeds: tuple[Positive, ...] = (1.0,)


class Accounts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Client accounts, and the share of accelerators guaranteed to them."""

    count: Count = 1
    skew: float = 0.0
    guaranteed: Share = 0.0


class Troubles(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many of each come in a day, on average.

    A slow worker works at a fifth of its speed or less, a failing one ends
    all its runs as failed, a hanging one shows no progress, a lost one takes
    its runs with it and may come back, a leaving one says so before. A closed
    zone gets nothing new; in an outage of the store nothing is decided.
    """

    slow: float = 0.0
    failing: float = 0.0
    hanging: float = 0.0
    lost: float = 0.0
    leaving: float = 0.0
    closed_zones: float = 0.0
    outages: float = 0.0
    bursts: float = 0.0


class Site(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A site and the load that is played on it; times in seconds.

    ``load`` multiplies all arrivals. ``price`` is what a core-second of work
    thrown away costs, on the scale of worths; an accelerator counts as eight
    cores. Away from its data or split over racks work takes ``far_factor``
    times as long. ``weights`` are those of the whole day, of its two worst
    windows, the worst kind, zone and tenth of accounts.
    """

    name: str
    workers: Workers
    kinds: tuple[Kind, ...]
    accounts: Accounts = Accounts()
    troubles: Troubles = Troubles()
    load: Positive = 1.0
    seconds: Positive = 34.0
    tail_seconds: Positive = 20.0
    price: float = 0.0
    far_factor: Positive = 3.0
    save_seconds: Positive = 1.0
    restore_seconds: float = 0.1
    stop_seconds: float = 0.3
    notice_seconds: float = 4.5
    weights: tuple[float, float, float, float, float] = (1.0, 0.0, 0.0, 0.0, 0.0)

    def with_load(self, load: float) -> "Site":
        """Return the site under another load."""
        return msgspec.structs.replace(self, load=load)


def load_site(path: str) -> Site:
    """Return the site described in a YAML file.

    Raises
    ------
    SettingsError
        If the file can't be read or describes no site.
    """
    try:
        mapping = read_yaml_mapping(path)
        return msgspec.convert(mapping, Site)
    except YamlFileError as error:
        raise SettingsError(path, "file", error.reason, error.remedy) from error
    except msgspec.ValidationError as error:
        remedy = "write what docs/design/replay.md lists"
        raise SettingsError(path, "site", str(error), remedy) from error
