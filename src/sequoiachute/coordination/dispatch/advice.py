"""Requests and caches the tickets that let steps of an advised queue run."""

from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.loop import spawn_task
from sequoiachute.transport.machines import Advisor

# Each worker in a request costs the advisor time; a step rarely needs more.
MAX_WORKERS_PER_REQUEST = 30
# Tickets are used for this share of their validity; the rest covers the start.
USABLE_VALIDITY_SHARE = 0.5
ADVICE_RETRY_SECONDS = 0.3


class _CachedTickets(NamedTuple):
    """Tickets by worker, and the workers that have been asked about."""

    tickets: dict[str, str]
    expires_at: float
    asked: frozenset[str]


class TicketCache:
    """Caches tickets of waiting steps; sends one request at a time.

    Parameters
    ----------
    advisor : Advisor or None
        Without an advisor no step of an advised queue can be placed.
    wake : callable
        Called when new tickets have arrived.
    """

    def __init__(self, advisor: Advisor | None, wake: Callable[[], None]) -> None:
        self._advisor = advisor
        self._wake = wake
        self._cache: dict[str, _CachedTickets] = {}
        self._pending: dict[str, tuple[str, ...]] = {}
        self._is_requesting = False

    def tickets(
        self, step: str, workers: tuple[str, ...], do_not_suffice: bool = False
    ) -> dict[str, str]:
        """Return valid tickets by worker; request them if there are none.

        Parameters
        ----------
        step : str
        workers : tuple of str
            Workers to ask about, the preferred ones first.
        do_not_suffice : bool
            Whether to ask about further workers although there are tickets.
        """
        cached = self._valid_tickets(step)
        if cached is None:
            self._request_later(step, workers)
            return {}
        if do_not_suffice:
            others = tuple(name for name in workers if name not in cached.asked)
            self._request_later(step, others)
        return cached.tickets

    def drop(self, step: str, ticket: str) -> None:
        """Drop the tickets of a step if ``ticket``, which was refused, is one."""
        cached = self._cache.get(step)
        if cached is not None and ticket in cached.tickets.values():
            del self._cache[step]

    def _valid_tickets(self, step: str) -> _CachedTickets | None:
        cached = self._cache.get(step)
        if cached is not None and cached.expires_at <= clock.now():
            del self._cache[step]
            return None
        return cached

    def _request_later(self, step: str, workers: tuple[str, ...]) -> None:
        if workers:
            self._pending[step] = workers[:MAX_WORKERS_PER_REQUEST]
            self._start_requests()

    def _start_requests(self) -> None:
        if self._advisor is None or self._is_requesting:
            return
        self._is_requesting = True
        spawn_task("requests for advice", self._request_pending, self._advisor)

    def _request_pending(self, advisor: Advisor) -> None:
        try:
            while self._pending:
                step = next(iter(self._pending))
                self._request(advisor, step, self._pending.pop(step))
        finally:
            self._is_requesting = False

    def _request(self, advisor: Advisor, step: str, workers: tuple[str, ...]) -> None:
        outcome = advisor.advise(step, workers)
        log = logger.bind(step=step, workers=len(workers))
        if outcome.is_err():
            log.bind(reason=outcome.unwrap_err()).info("request for advice failed")
            clock.sleep(ADVICE_RETRY_SECONDS)
            return
        advice = outcome.unwrap()
        expires_at = clock.now() + USABLE_VALIDITY_SHARE * advice.valid_seconds
        tickets, asked = advice.tickets, frozenset(workers)
        cached = self._valid_tickets(step)
        if cached is not None:
            tickets = {**cached.tickets, **tickets}
            expires_at = min(expires_at, cached.expires_at)
            asked |= cached.asked
        self._cache[step] = _CachedTickets(tickets, expires_at, asked)
        log.bind(allowed=len(advice.tickets)).info("advice received")
        self._wake()
