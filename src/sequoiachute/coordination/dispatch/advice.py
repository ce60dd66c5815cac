"""Asking the advisor where steps of an advised queue may run."""

from collections.abc import Callable
from typing import NamedTuple

import eventlet
from loguru import logger

from sequoiachute import clock
from sequoiachute.transport.machines import Advisor

MOST_WORKERS = 30  # each one named costs the advisor time; a step rarely needs more
FRESH_SHARE = 0.5  # of a ticket's validity; what is left must cover the start
RETRY_SECONDS = 0.3


class _Known(NamedTuple):
    tickets: dict[str, str]
    until: float


class Advisory:
    """Keeps tickets for the steps that wait, one question at a time.

    Parameters
    ----------
    advisor : Advisor or None
        Without one no step of an advised queue can be placed.
    wake : callable
        Called when there is new advice.
    """

    def __init__(self, advisor: Advisor | None, wake: Callable[[], None]) -> None:
        self._advisor = advisor
        self._wake = wake
        self._known: dict[str, _Known] = {}
        self._asked: dict[str, tuple[str, ...]] = {}
        self._is_busy = False

    def tickets(self, step: str, workers: tuple[str, ...]) -> dict[str, str]:
        """Return valid tickets by worker, and ask for them if there are none."""
        known = self._known.get(step)
        if known is not None and known.until > clock.now():
            return known.tickets
        self._known.pop(step, None)
        if workers:
            self._asked[step] = workers[:MOST_WORKERS]
            self._begin()
        return {}

    def _begin(self) -> None:
        if self._advisor is None or self._is_busy:
            return
        self._is_busy = True
        eventlet.spawn(self._ask_all, self._advisor)

    def _ask_all(self, advisor: Advisor) -> None:
        try:
            while self._asked:
                step = next(iter(self._asked))
                self._ask(advisor, step, self._asked.pop(step))
        finally:
            self._is_busy = False

    def _ask(self, advisor: Advisor, step: str, workers: tuple[str, ...]) -> None:
        outcome = advisor.advise(step, workers)
        log = logger.bind(step=step, workers=len(workers))
        if outcome.is_err():
            log.bind(reason=outcome.unwrap_err()).info("no advice")
            clock.sleep(RETRY_SECONDS)
            return
        advice = outcome.unwrap()
        until = clock.now() + FRESH_SHARE * advice.valid_seconds
        self._known[step] = _Known(advice.tickets, until)
        log.bind(allowed=len(advice.tickets)).info("advice taken")
        self._wake()
