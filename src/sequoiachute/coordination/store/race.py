"""Starts alternative ways of one append, one after the other, until one succeeds."""

from collections.abc import Callable, Iterable
from functools import partial
from typing import Generic, NamedTuple, TypeVar

import eventlet
from eventlet.queue import Empty, LightQueue
from result import Err, Ok, Result

from sequoiachute import clock
from sequoiachute.transport.store import AppendError, KeyedStore

Position = TypeVar("Position")


class RecordPosition(NamedTuple):
    """Where a record is stored."""

    topic: str
    offset: int


class Race(Generic[Position]):
    """One append in several ways; the first that succeeds counts.

    It must be harmless to append the record twice: with the same writer, or with the
    same content whoever writes it.

    The next way starts once the earlier ones have failed, or ``stagger`` seconds
    after the last one. Earlier ones go on, so that a slow store is waited for while a
    route that has gone silent costs little.
    """

    def __init__(self, stagger: float) -> None:
        self._stagger = stagger
        self._waiting: list[Callable[[], Result[Position, AppendError]]] = []
        self._results: LightQueue = LightQueue()
        self._pending = 0
        self._next_start = float("-inf")
        self._error = AppendError("", False)
        self._interrupted = False
        self.started = 0

    @property
    def is_pending(self) -> bool:
        """Whether a way that has been started has no result yet."""
        return self._pending > 0

    def add(
        self, alternatives: Iterable[Callable[[], Result[Position, AppendError]]]
    ) -> None:
        """Add ways, to be started in this order; each returns by itself."""
        self._waiting.extend(alternatives)
        self._next_start = clock.now()

    def repeat(self, alternative: Callable[[], Result[Position, AppendError]]) -> None:
        """Start a further way at once, while the race runs."""
        self._waiting.insert(0, alternative)
        self._next_start = clock.now()
        self._results.put(None)

    def confirm(self, position: Position) -> None:
        """End the race as won: the record has been read back at ``position``."""
        self._results.put(Ok(position))

    def interrupt(self) -> None:
        """End the current run with what is known by now; ways go on."""
        self._interrupted = True
        self._results.put(None)

    def run(self, timeout: float) -> Result[Position, AppendError]:
        """Return where the record is stored, or the merged error of all ways.

        After ``timeout`` seconds the effect of ways without a result is unknown; the
        race may be run again.
        """
        deadline = clock.now() + timeout
        self._interrupted = False
        while True:
            now = clock.now()
            if self._waiting and (now >= self._next_start or not self._pending):
                self._start(self._waiting.pop(0), now)
                continue
            if not self._pending:
                return Err(self._error)
            if now >= deadline or (self._interrupted and self._results.empty()):
                return Err(merge_errors(self._error, AppendError("no answer", None)))
            until = min(deadline, self._next_start) if self._waiting else deadline
            outcome = self._next_result(until - now)
            if outcome is None:
                continue
            if outcome.is_ok():
                return outcome
            self._pending -= 1
            self._error = merge_errors(self._error, outcome.unwrap_err())
            if is_conclusive(self._error):
                # One that has no answer yet may be what the store refused this one for.
                applied = None if self._pending else self._error.applied
                return Err(self._error._replace(applied=applied))

    def _start(
        self, alternative: Callable[[], Result[Position, AppendError]], now: float
    ) -> None:
        self._pending += 1
        self.started += 1
        self._next_start = now + self._stagger
        eventlet.spawn(self._try, alternative)

    def _next_result(self, timeout: float) -> Result[Position, AppendError] | None:
        try:
            result = self._results.get(timeout=timeout)
        except Empty:
            return None
        if isinstance(result, BaseException):
            raise result
        return result

    def _try(self, alternative: Callable[[], Result[Position, AppendError]]) -> None:
        try:
            self._results.put(alternative())
        except BaseException as error:
            # Raised again where the race is run.
            self._results.put(error)


def topic_appends(
    store: KeyedStore,
    topics: Iterable[str],
    records: list[tuple[str, bytes | None]],
    timeout: float,
) -> list[Callable[[], Result[RecordPosition, AppendError]]]:
    """Return the ways to append ``records`` to one of ``topics``."""

    def append(topic: str) -> Result[RecordPosition, AppendError]:
        outcome = store.append(topic, records, timeout=timeout)
        return outcome.map(partial(RecordPosition, topic))

    return [partial(append, topic) for topic in topics]


def merge_errors(earlier: AppendError, later: AppendError) -> AppendError:
    """Return the later error with both reasons.

    It is unknown if the earlier append may take effect.
    """
    reasons = dict.fromkeys((*earlier.reason.split("; "), later.reason))
    applied = later.applied if earlier.applied is False else None
    return later._replace(reason="; ".join(filter(None, reasons)), applied=applied)


def is_conclusive(error: AppendError) -> bool:
    """Return whether the store gave a definite refusal, so that a retry is useless."""
    return error.fenced or error.rejected or error.end >= 0
