"""What callers get of a day: worth earned against worth owed."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from math import ceil
from typing import NamedTuple

from sequoiachute.coordination.dispatch.views import count_waves
from sequoiachute.coordination.scheduling.space import core_seconds
from sequoiachute.protocol.workload import Resources
from sequoiachute.replay.day import Arrival, Day
from sequoiachute.replay.site import Site

LATE_FACTOR = 3.0  # up to this multiple of its objective a job earns its late worth
LEAST_SHARE = 0.3  # of a kind's worth that the smallest job has
MOST_SHARE = 4.0
WINDOW_SECONDS = 5.0
WORST_WINDOWS = 2
WORST_ACCOUNTS = 0.1  # share of the accounts


class Debt(NamedTuple):
    """What is owed for a job, and until when: seconds from its first send."""

    arrival: Arrival
    worth: float
    late_worth: float
    objective: float


class Paid(NamedTuple):
    """A debt and what was earned of it; ``took`` is ``None`` if it never ended."""

    debt: Debt
    took: float | None
    earned: float


class Worth(NamedTuple):
    """Shares of what was owed, before and after the price of lost work.

    ``score`` weighs the day, its worst windows, kind, zone and accounts as
    the site does, and takes the price off.
    """

    whole: float
    windows: float
    kind: float
    zone: float
    accounts: float
    thrown: float
    score: float


def reckon_debts(site: Site, day: Day) -> dict[str, Debt]:
    """Return what is owed by job; cancelled jobs are not."""
    works: dict[str, list[float]] = defaultdict(list)
    for arrival in day.arrivals:
        works[arrival.kind.name].append(work_of(arrival))
    room = Resources()
    for machine in day.machines:
        room = room.plus(machine.capacity)
    debts = {}
    for arrival in day.arrivals:
        if arrival.cancel_at is not None:
            continue
        kind = arrival.kind
        mean = sum(works[kind.name]) / len(works[kind.name])
        share = LEAST_SHARE + (1 - LEAST_SHARE) * work_of(arrival) / mean
        share = min(share, MOST_SHARE)
        objective = kind.stretch * true_chain(arrival, room) + kind.slo_seconds
        debt = Debt(arrival, share * kind.worth, share * kind.late_worth, objective)
        debts[arrival.job.job_id] = debt
    return debts


def work_of(arrival: Arrival) -> float:
    """Return a job's work in core-seconds."""
    total = 0.0
    for step, seconds in zip(arrival.job.steps, arrival.seconds, strict=True):
        total += core_seconds(step.need, sum(seconds))
    return total


def true_chain(arrival: Arrival, room: Resources) -> float:
    """Return what the job takes on typical workers, in seconds.

    Its own failing runs count; a step that is wide for the room runs in waves.
    """
    total = 0.0
    for number, step in enumerate(arrival.job.steps):
        longest = 0.0
        for index, seconds in enumerate(arrival.seconds[number]):
            shares = arrival.failures.get((number, index), ())
            longest = max(longest, seconds * (1 + sum(shares)))
        total += longest * count_waves(step, room)
    return total


def pay(debt: Debt, took: float | None, as_owed: bool) -> Paid:
    """Return what a job has earned that ended after ``took`` seconds.

    It ended ``as_owed`` if it is complete, or failed and could not be done.
    """
    if took is None or not as_owed or took > LATE_FACTOR * debt.objective:
        return Paid(debt, took, 0.0)
    earned = debt.worth if took <= debt.objective else debt.late_worth
    return Paid(debt, took, earned)


def weigh(site: Site, paid: list[Paid], thrown: float) -> Worth:
    """Return a day's worth; ``thrown`` is in core-seconds."""
    owed = sum(item.debt.worth for item in paid)
    if not owed:
        return Worth(1.0, 1.0, 1.0, 1.0, 1.0, thrown, 1.0)
    whole = _share(paid)
    windows = _worst(paid, lambda d: int(d.arrival.at // WINDOW_SECONDS), WORST_WINDOWS)
    kind = _worst(paid, lambda d: d.arrival.kind.name, 1)
    zone = _worst(paid, lambda d: d.arrival.zone, 1)
    tenth = ceil(WORST_ACCOUNTS * site.accounts.count)
    accounts = _worst(paid, lambda d: d.arrival.job.account, tenth)
    parts = (whole, windows, kind, zone, accounts)
    total = sum(site.weights)
    mixed = sum(w * p for w, p in zip(site.weights, parts, strict=True)) / total
    return Worth(*parts, thrown, mixed - site.price * thrown / owed)


def _worst(paid: list[Paid], group: Callable[[Debt], object], count: int) -> float:
    groups: dict[object, list[Paid]] = defaultdict(list)
    for item in paid:
        groups[group(item.debt)].append(item)
    worst = sorted(groups.values(), key=_share)[:count]
    return _share(item for members in worst for item in members)


def _share(paid: Iterable[Paid]) -> float:
    items = list(paid)
    owed = sum(item.debt.worth for item in items)
    return sum(item.earned for item in items) / owed if owed else 1.0


def best_case(site: Site, day: Day) -> float:
    """Return the share of what is owed that no scheduler can exceed.

    Each job is alone on the site's quickest workers from the moment it is
    sent, so that nothing ever waits for room.
    """
    quickest = max(machine.speed for machine in day.machines)
    paid = []
    for debt in reckon_debts(site, day).values():
        took = sum(max(seconds) for seconds in debt.arrival.seconds) / quickest
        paid.append(pay(debt, took, True))
    return _share(paid)
