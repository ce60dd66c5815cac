"""What goes wrong and when, drawn from a seed."""

import random
from typing import NamedTuple

from soak.proxy import CUT_TO_CLIENT, CUT_TO_SERVER, DELAYED, SILENT

PROCESSES = ("entry", "agent")
SIGNALS = ("kill", "stop", "pause")
LOG_FAULTS = ("down", "lose_replies", "reads_fail", "slow")
LINKS = ("caller", "entry-log", "agent-entry", "agent-worker")
LINK_FAULTS = (DELAYED, SILENT, CUT_TO_SERVER, CUT_TO_CLIENT, "reset")
CHANGES = ("publish", "drain", "restore")
KINDS = ("signal", "signal", "signal", "link", "link", "link", "log", "change")

GAP_SECONDS = (0.0, 1.2)  # so that about three faults overlap
LASTING_SECONDS = (0.3, 3.0)
LONGEST_LOG_SECONDS = 4.0  # state is kept through longer ones; callers are not
REPEAT_SHARE = 0.25  # of faults, that strike the same place again within a second
DELAY_SECONDS = (0.02, 0.4)


class Fault(NamedTuple):
    """Something done at ``at`` and undone at ``until``, seconds from the start.

    ``where`` is a class of processes or links, ``index`` one of them, taken
    modulo how many there are.
    """

    at: float
    until: float
    kind: str
    where: str
    how: str
    index: int
    strength: float = 0.0


def draw_plan(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run, in order of their time."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    at = 1.0
    while at < seconds:
        fault = _draw(rng, at, seconds)
        faults.append(fault)
        if rng.random() < REPEAT_SHARE:
            again = fault.until + rng.uniform(0.0, 1.0)
            lasts = fault.until - fault.at
            faults.append(fault._replace(at=again, until=again + lasts))
        at += rng.uniform(*GAP_SECONDS)
    return sorted(fault for fault in faults if fault.until <= seconds)


def _draw(rng: random.Random, at: float, seconds: float) -> Fault:
    kind = rng.choice(KINDS)
    until = min(at + rng.uniform(*LASTING_SECONDS), seconds)
    index = rng.randrange(1000)
    if kind == "signal":
        where, how = rng.choice(PROCESSES), rng.choice(SIGNALS)
    elif kind == "link":
        where, how = rng.choice(LINKS), rng.choice(LINK_FAULTS)
    elif kind == "log":
        where, how = "log", rng.choice(LOG_FAULTS)
        until = min(until, at + LONGEST_LOG_SECONDS)
    else:
        where, how = "operator", rng.choice(CHANGES)
    return Fault(at, until, kind, where, how, index, rng.uniform(*DELAY_SECONDS))
