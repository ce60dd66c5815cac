"""Draws a reproducible schedule of faults from a seed."""

import random
from typing import NamedTuple

from soak.proxy import CLEAR, CUT_TO_CLIENT, CUT_TO_SERVER, DELAYED, LATE, SILENT

PROCESS_CLASSES = ("entry", "agent")
SIGNALS = ("kill", "stop", "pause")
LOG_FAULTS = ("down", "lose_replies", "reads_fail", "slow")
LINK_CLASSES = ("caller", "entry-log", "agent-entry", "agent-worker")
LINK_FAULTS = (DELAYED, SILENT, CUT_TO_SERVER, CUT_TO_CLIENT, "reset")
# What the calls to a worker begin with that a link delivers late.
LATE_CALLS = {
    LATE: b"",
    "late starts": b"POST /tasks ",
    "late requests": b"POST /requests ",
}
OPERATOR_CHANGES = ("publish", "drain", "restore")
# Repeated kinds are drawn more often.
FAULT_KINDS = ("signal", "signal", "signal", "link", "link", "link", "log", "change")
# A worker that is killed, calls to a worker that arrive late, also at its next process,
# and a task that crashes the workers that start it.
WORKER_FAULT_KINDS = ("worker", "worker", "late", "late", "deadly")
# States of the link to a worker around its end.
LINKS_OF_KILLED = (CLEAR, DELAYED, SILENT, CUT_TO_SERVER, CUT_TO_CLIENT)

FAULT_INTERVAL_SECONDS = (0.0, 1.2)  # so that about three faults overlap
FAULT_DURATION_SECONDS = (0.3, 3.0)
# State survives longer outages of the log, but callers are not served through them.
MAX_LOG_FAULT_SECONDS = 4.0
KILL_PROBABILITY = 0.3  # that a worker is killed while calls to it are late
REPEAT_PROBABILITY = 0.25  # that a fault recurs at the same place within a second
DELAY_SECONDS = (0.02, 0.4)
LATE_SECONDS = (0.5, 7.0)  # more than the timeout of a call to a worker
LATE_DURATION_SECONDS = (0.3, 5.0)
CALLS_BEFORE_KILL_SECONDS = (0.0, 0.6)  # for which calls gather on a disturbed link
WORKER_DOWN_SECONDS = (0.1, 2.0)
LINK_AFTER_RESTART_SECONDS = (0.2, 2.0)  # for which the link stays disturbed


class Fault(NamedTuple):
    """A fault with its start and end.

    Attributes
    ----------
    at, until : float
        Start and end, in seconds from the start of the run.
    kind : str
        One of ``FAULT_KINDS`` or ``WORKER_FAULT_KINDS``.
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


def draw_plan(
    seed: int, seconds: float, kinds: tuple[str, ...] = FAULT_KINDS
) -> list[Fault]:
    """Return the faults of a run of ``seconds``, ordered by start.

    A kind that is repeated in ``kinds`` is drawn more often.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    at = 1.0
    while at < seconds:
        kind = rng.choice(kinds)
        if kind in ("worker", "late"):
            faults += _draw_worker_faults(rng, kind, at)
            at += rng.uniform(*FAULT_INTERVAL_SECONDS)
            continue
        fault = _draw_fault(rng, kind, at, seconds)
        faults.append(fault)
        if rng.random() < REPEAT_PROBABILITY:
            repeat_at = fault.until + rng.uniform(0.0, 1.0)
            duration = fault.until - fault.at
            faults.append(fault._replace(at=repeat_at, until=repeat_at + duration))
        at += rng.uniform(*FAULT_INTERVAL_SECONDS)
    return sorted(fault for fault in faults if fault.until <= seconds)


def _draw_worker_faults(rng: random.Random, kind: str, at: float) -> list[Fault]:
    """Draw a kill of a worker, a fault of the link to it, or one within the other."""
    index = rng.randrange(1000)
    killed_at = at + rng.uniform(*CALLS_BEFORE_KILL_SECONDS)
    back_at = killed_at + rng.uniform(*WORKER_DOWN_SECONDS)
    kill = Fault(killed_at, back_at, "worker", "worker", "kill", index)
    clear_at = back_at + rng.uniform(*LINK_AFTER_RESTART_SECONDS)
    if kind == "worker":
        state = rng.choice(LINKS_OF_KILLED)
        delay = rng.uniform(*DELAY_SECONDS)
        link = Fault(at, clear_at, "link", "agent-worker", state, index, delay)
        return [kill] if state == CLEAR else [link, kill]
    how = rng.choice(tuple(LATE_CALLS))
    delay = rng.uniform(*LATE_SECONDS)
    if rng.random() < KILL_PROBABILITY:
        return [Fault(at, clear_at, "link", "agent-worker", how, index, delay), kill]
    until = at + rng.uniform(*LATE_DURATION_SECONDS)
    return [Fault(at, until, "link", "agent-worker", how, index, delay)]


def _draw_fault(rng: random.Random, kind: str, at: float, seconds: float) -> Fault:
    until = min(at + rng.uniform(*FAULT_DURATION_SECONDS), seconds)
    index = rng.randrange(1000)
    if kind == "signal":
        where, how = rng.choice(PROCESS_CLASSES), rng.choice(SIGNALS)
    elif kind == "link":
        where, how = rng.choice(LINK_CLASSES), rng.choice(LINK_FAULTS)
    elif kind == "log":
        where, how = "log", rng.choice(LOG_FAULTS)
        until = min(until, at + MAX_LOG_FAULT_SECONDS)
    elif kind == "deadly":
        where, how = "job", "crash"
    else:
        where, how = "operator", rng.choice(OPERATOR_CHANGES)
    return Fault(at, until, kind, where, how, index, rng.uniform(*DELAY_SECONDS))
