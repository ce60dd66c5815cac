"""Draws a reproducible schedule of faults from a seed."""

import random
from typing import NamedTuple

from soak.proxy import CUT_TO_CLIENT, CUT_TO_SERVER, DELAYED, SILENT

PROCESS_CLASSES = ("entry", "agent")
SIGNALS = ("kill", "stop", "pause")
LOG_FAULTS = ("down", "lose_replies", "reads_fail", "slow")
LINK_CLASSES = ("caller", "entry-log", "agent-entry", "agent-worker")
LINK_FAULTS = (DELAYED, SILENT, CUT_TO_SERVER, CUT_TO_CLIENT, "reset")
OPERATOR_CHANGES = ("publish", "drain", "restore")
# Repeated kinds are drawn more often.
FAULT_KINDS = ("signal", "signal", "signal", "link", "link", "link", "log", "change")

FAULT_INTERVAL_SECONDS = (0.0, 1.2)  # so that about three faults overlap
FAULT_DURATION_SECONDS = (0.3, 3.0)
# State survives longer outages of the log, but callers are not served through them.
MAX_LOG_FAULT_SECONDS = 4.0
REPEAT_PROBABILITY = 0.25  # that a fault recurs at the same place within a second
DELAY_SECONDS = (0.02, 0.4)


class Fault(NamedTuple):
    """A fault with its start and end.

    Attributes
    ----------
    at, until : float
        Start and end, in seconds from the start of the run.
    kind : str
        One of ``FAULT_KINDS``.
    where : str
        Class of processes or links.
    how : str
        What is done to the process, link, log or configuration.
    index : int
        Number of the process or link, modulo the size of its class.
    strength : float
        Added delay in seconds, for faults that delay.
    """

    at: float
    until: float
    kind: str
    where: str
    how: str
    index: int
    strength: float = 0.0


def draw_plan(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run of ``seconds``, ordered by start."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    at = 1.0
    while at < seconds:
        fault = _draw_fault(rng, at, seconds)
        faults.append(fault)
        if rng.random() < REPEAT_PROBABILITY:
            repeat_at = fault.until + rng.uniform(0.0, 1.0)
            duration = fault.until - fault.at
            faults.append(fault._replace(at=repeat_at, until=repeat_at + duration))
        at += rng.uniform(*FAULT_INTERVAL_SECONDS)
    return sorted(fault for fault in faults if fault.until <= seconds)


def _draw_fault(rng: random.Random, at: float, seconds: float) -> Fault:
    kind = rng.choice(FAULT_KINDS)
    until = min(at + rng.uniform(*FAULT_DURATION_SECONDS), seconds)
    index = rng.randrange(1000)
    if kind == "signal":
        where, how = rng.choice(PROCESS_CLASSES), rng.choice(SIGNALS)
    elif kind == "link":
        where, how = rng.choice(LINK_CLASSES), rng.choice(LINK_FAULTS)
    elif kind == "log":
        where, how = "log", rng.choice(LOG_FAULTS)
        until = min(until, at + MAX_LOG_FAULT_SECONDS)
    else:
        where, how = "operator", rng.choice(OPERATOR_CHANGES)
    return Fault(at, until, kind, where, how, index, rng.uniform(*DELAY_SECONDS))
