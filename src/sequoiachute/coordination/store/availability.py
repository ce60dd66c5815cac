"""What an entry's own calls show of the store: which topics answer, and how soon."""

from collections.abc import Callable, Iterable

import eventlet
from eventlet.event import Event
from loguru import logger

from sequoiachute import clock

UNREACHABLE_AFTER_SECONDS = 0.8  # time for one direct and one relayed read to fail
PROBE_INTERVAL_SECONDS = 0.25  # between two reads of topics that fail, all together
# Without any answer; entries join their group more often.
SILENT_SECONDS = 0.6
STAGGER_SECONDS = 0.3  # far above what a sound store needs, soon for urgent work
SLOW_STAGGER_FACTOR = 2.0  # of what the latest appends needed
TYPICAL_APPEND_SECONDS = 0.008  # assumed before the first append
# Share of a longer append that is still expected at the next one.
APPEND_SECONDS_DECAY = 0.5
# What an append needed is no reason to refuse one seconds later.
APPEND_HALF_LIFE_SECONDS = 1.0
APPEND_FRESH_SECONDS = 0.5  # an entry of a slow store joins its group that often


class Availability:
    """Topics that fail, each by itself: an outage may hit a part of the store only.

    After a silence of the whole store its first answer, to whatever call, gives every
    topic another chance.
    """

    def __init__(self) -> None:
        self._answered_at = float("-inf")
        self._returned_at = float("-inf")
        self._has_failed = False
        self._unanswered_since: float | None = None
        self._return_listeners: list[Callable[[], None]] = []
        self._recovery_listeners: list[Callable[[str], None]] = []
        self._failing_since: dict[str, float] = {}
        self._recovered = Event()
        self._next_probe_at = float("-inf")
        self._append_seconds = TYPICAL_APPEND_SECONDS
        self._appended_at = float("-inf")

    @property
    def append_seconds(self) -> float:
        """Seconds that an append is expected to take at most.

        They fade with the time since the last answer: a caller that is refused for
        them brings none.
        """
        age = max(0.0, clock.now() - self._appended_at - APPEND_FRESH_SECONDS)
        faded = self._append_seconds * 0.5 ** (age / APPEND_HALF_LIFE_SECONDS)
        return max(TYPICAL_APPEND_SECONDS, faded)

    @property
    def stagger_seconds(self) -> float:
        """Seconds after which an append without an answer is tried in another way.

        A slow store is not loaded with copies.
        """
        return max(STAGGER_SECONDS, SLOW_STAGGER_FACTOR * self.append_seconds)

    @property
    def is_overdue(self) -> bool:
        """Whether calls have gone without any answer for longer than the store needs.

        What the latest appends took does not fade here: no answer shows that the
        store is quicker by now.
        """
        if not self.has_unanswered:
            return False
        slow_seconds = SLOW_STAGGER_FACTOR * self._append_seconds
        return self.unanswered_seconds >= max(UNREACHABLE_AFTER_SECONDS, slow_seconds)

    @property
    def unanswered_seconds(self) -> float:
        """Seconds since the first call after the last answer, 0 if there is none."""
        since = self._unanswered_since
        return 0.0 if since is None else clock.now() - since

    @property
    def has_unanswered(self) -> bool:
        """Whether a call has begun since the last answer, and has none itself."""
        return self._unanswered_since is not None

    def call_on_return(self, listener: Callable[[], None]) -> None:
        """Have ``listener`` called when the store answers after a silence."""
        self._return_listeners.append(listener)

    def call_on_recovery(self, listener: Callable[[str], None]) -> None:
        """Have ``listener`` called with a topic that failed and answers a call."""
        self._recovery_listeners.append(listener)

    def record_call(self) -> None:
        """Record that a call begins that a sound store would answer at once.

        Before the first answer of all, an entry that starts has its own wait.
        """
        if self._unanswered_since is None and self._answered_at > float("-inf"):
            self._unanswered_since = clock.now()

    def end_silence(self) -> None:
        """Note an answer, whoever the call was made for; only later calls count."""
        was_overdue = self.is_overdue
        self._unanswered_since = None
        if was_overdue:
            self._wake_waiting()

    def restart_silence(self) -> None:
        """Count the time without an answer anew: the process did not run meanwhile."""
        if self._unanswered_since is not None:
            self._unanswered_since = clock.now()

    def record_answer(self, call: str) -> None:
        """Record that the store has answered a call, also one without a topic."""
        self.end_silence()
        now = clock.now()
        silent_seconds = now - self._answered_at
        self._answered_at = now
        has_failed, self._has_failed = self._has_failed, False
        if silent_seconds < SILENT_SECONDS or not has_failed:
            return
        self._returned_at = now
        log = logger.bind(call=call, seconds=round(silent_seconds, 3))
        log.info("the store answers again")
        self._wake_waiting()
        for listener in self._return_listeners:
            listener()

    def record_failure(self) -> None:
        """Record that a call was not answered; a slow store answers all of them."""
        self._has_failed = True

    def record_write(self, seconds: float) -> None:
        """Take the duration of an append, or of another answered write, into account.

        Entries join their group all the time, so that a slow store is known to be
        slow, or to be sound again, without any job.
        """
        self.record_answer("write")
        self._append_seconds = max(seconds, APPEND_SECONDS_DECAY * self.append_seconds)
        self._appended_at = clock.now()

    def record(self, topic: str, answered: bool) -> None:
        """Record whether a call on a topic was answered."""
        if answered:
            self.record_answer(topic)
        else:
            self.record_failure()
        since = self._failing_since.get(topic)
        log = logger.bind(topic=topic)
        if answered and since is not None:
            failed_for = round(clock.now() - since, 3)
            log.bind(seconds=failed_for).info("calls to the store succeed")
            del self._failing_since[topic]
            self._wake_waiting()
            for listener in self._recovery_listeners:
                listener(topic)
        elif not answered and since is None:
            log.info("calls to the store fail")
            self._failing_since[topic] = clock.now()

    def _wake_waiting(self) -> None:
        self._next_probe_at = float("-inf")
        recovered, self._recovered = self._recovered, Event()
        recovered.send(None)

    def is_away(self, topic: str) -> bool:
        """Return whether the store, or one topic of it, answers no calls now."""
        return topic in self._failing_since or self.unanswered_seconds > SILENT_SECONDS

    def is_unreachable(self, topics: Iterable[str]) -> bool:
        """Return whether all calls on all topics have failed for a while.

        The return of the store begins another while.
        """
        latest = clock.now() - UNREACHABLE_AFTER_SECONDS
        if self._returned_at > latest:
            return False
        return all(self._failing_since.get(topic, latest) < latest for topic in topics)

    def wait_recovered(self, timeout: float) -> None:
        """Wait up to ``timeout`` seconds until a topic that fails answers a call."""
        recovered = self._recovered
        with eventlet.Timeout(timeout, False):
            recovered.wait()

    def wait_for_probe(self) -> None:
        """Wait for the caller's turn to read a topic that fails.

        The readers of one process take turns, so that the calls in an outage don't
        grow with the topics. All turns come at once when any topic answers.
        """
        turn = max(clock.now(), self._next_probe_at) + PROBE_INTERVAL_SECONDS
        self._next_probe_at = turn
        self.wait_recovered(turn - clock.now())
