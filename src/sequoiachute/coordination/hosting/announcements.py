"""Which life of which worker is beside an agent, by its reports and its answers."""

from collections.abc import Callable
from typing import Any

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.hosting.claims import (
    MAX_CLAIMS,
    Claims,
    Heartbeat,
    ReceivedHeartbeat,
)
from sequoiachute.coordination.loop import spawn_task
from sequoiachute.protocol.workload import Lifetime
from sequoiachute.state.metrics import Metrics

MAX_CLAIM_AGE_SECONDS = 2.0  # without a repetition; workers report every 0.5 to 1.5 s
MAX_HELD_AGE_SECONDS = 60.0  # of reports that wait for their service to be named
ASK_RETRY_SECONDS = 0.1  # while the worker does not answer
# What becomes of a status report.
APPLIED = "applied"
REPEATED = "repeated"
CLAIMED = "claimed"
REFUTED = "refuted"
ENDED_LIFE = "ended life"
NOT_NAMED = "service not named"
CLOCK_AHEAD = "clock ahead"


class Announcements:
    """Applies the status reports of the present life; has others confirmed first.

    A report of another life only claims that the worker has started anew. The worker
    is asked: its answer confirms the claim or refutes it, and the present life stays
    in use until then. A report of a service that nobody names is held until the
    agent's settings or the catalogue in force name it.

    Parameters
    ----------
    ask : callable
        Takes the lifetime that is claimed; returns the one that answers at the
        worker's address, an empty one if it is another worker, ``None`` without an
        answer.
    on_applied : callable
        Called with the previous heartbeat, if any, and the one that was applied.
    services : callable
        Returns the services that the agent's settings name.
    clock_limit : callable
        Returns the highest reading that the clock of a lifetime can have by now, in
        milliseconds; infinite if it is not known.
    metrics : Metrics

    Attributes
    ----------
    ended_lifetime : Lifetime or None
        The last lifetime that has announced its end and is over.
    confirmed_at : float
        When the worker has confirmed the present life, on the elapsed clock.
    """

    def __init__(
        self,
        ask: Callable[[Lifetime], Lifetime | None],
        on_applied: Callable[[ReceivedHeartbeat | None, ReceivedHeartbeat], None],
        services: Callable[[], frozenset[str]],
        clock_limit: Callable[[Lifetime], float],
        metrics: Metrics,
    ) -> None:
        self._ask = ask
        self._on_applied = on_applied
        self._settings_services = services
        self._clock_limit = clock_limit
        self._catalogue_services: frozenset[str] = frozenset()
        self._metrics = metrics
        self._present: ReceivedHeartbeat | None = None
        self._claims = Claims(MAX_CLAIM_AGE_SECONDS)
        self._held = Claims(MAX_HELD_AGE_SECONDS)
        self._checked: set[Lifetime] = set()
        self._logged_ignored: tuple[Lifetime, str] | None = None
        self.ended_lifetime: Lifetime | None = None
        self.confirmed_at = float("-inf")

    @property
    def present(self) -> ReceivedHeartbeat | None:
        """The newest heartbeat of the present life, ``None`` before the first."""
        return self._present

    @property
    def lifetime(self) -> Lifetime:
        """The present life; an empty one before it is known."""
        if self._present is None:
            return Lifetime()
        return self._present.heartbeat.info.lifetime

    def handle(self, heartbeat: Heartbeat) -> None:
        """Apply, check, hold or ignore a heartbeat."""
        lifetime = heartbeat.info.lifetime
        if lifetime == self.ended_lifetime:
            self._ignore(heartbeat, ENDED_LIFE)
        elif not self._is_named(heartbeat):
            self._held.put(heartbeat, clock.elapsed())
            self._ignore(heartbeat, NOT_NAMED)
        elif self._present is not None and lifetime == self.lifetime:
            self._update(heartbeat)
        else:
            self._claim(heartbeat)

    def set_catalogue_services(self, services: tuple[str, ...]) -> None:
        """Take over the services that the catalogue in force names."""
        named = frozenset(services)
        if not named or named == self._catalogue_services:
            return
        self._catalogue_services = named
        for heartbeat in self._held.take_all():
            self.handle(heartbeat)

    def _is_named(self, heartbeat: Heartbeat) -> bool:
        """Return whether the report's service is named, or nobody has named one yet.

        The present life may go on under the service that it had.
        """
        info = heartbeat.info
        if self._present is not None:
            present = self._present.heartbeat.info
            if (info.lifetime, info.service) == (present.lifetime, present.service):
                return True
        named = self._settings_services() | self._catalogue_services
        return not named or info.service in named

    def _update(self, heartbeat: Heartbeat) -> None:
        """Apply a report of the present life if it is a later one.

        Its sequence says so or, after one of another writer, the worker's own clock.
        """
        newest = self._present.heartbeat
        if heartbeat.clock_ms > self._clock_limit(self.lifetime):
            self._ignore(heartbeat, CLOCK_AHEAD)
            return
        is_later = heartbeat.sequence > newest.sequence
        if not is_later and heartbeat.clock_ms <= newest.clock_ms:
            self._metrics.count("status_reports_total", outcome=REPEATED)
            return
        self._apply(ReceivedHeartbeat(heartbeat, clock.elapsed()))

    def _apply(self, received: ReceivedHeartbeat) -> None:
        self._metrics.count("status_reports_total", outcome=APPLIED)
        if received.heartbeat.info.lifetime != self.lifetime:
            self.confirmed_at = clock.elapsed()
        previous, self._present = self._present, received
        self._on_applied(previous, received)

    def _claim(self, heartbeat: Heartbeat) -> None:
        """Have the worker confirm that it is in the life of a report."""
        self._metrics.count("status_reports_total", outcome=CLAIMED)
        lifetime = heartbeat.info.lifetime
        if self._claims.put(heartbeat, clock.elapsed()):
            self._bind(heartbeat).info("status report of another life")
        if lifetime not in self._checked and len(self._checked) < MAX_CLAIMS:
            self._checked.add(lifetime)
            spawn_task("check of a claim", self._check, lifetime, metrics=self._metrics)

    def _check(self, lifetime: Lifetime) -> None:
        try:
            while self._claims.get(lifetime, clock.elapsed()) is not None:
                asked_at = clock.elapsed()
                answered = self._ask(lifetime)
                # The present life may have changed since it was asked.
                if answered is not None and self.confirmed_at < asked_at:
                    self._settle(lifetime, answered)
                    return
                clock.sleep(ASK_RETRY_SECONDS)
        finally:
            self._checked.discard(lifetime)

    def _settle(self, lifetime: Lifetime, answered: Lifetime) -> None:
        """Apply the claim of a life if the worker has confirmed it."""
        received = self._claims.get(lifetime, clock.elapsed())
        self._claims.drop(lifetime)
        if received is None or lifetime == self.lifetime:
            return
        if answered == lifetime:
            self._apply(received)
            return
        self._metrics.count("status_reports_total", outcome=REFUTED)
        log = self._bind(received.heartbeat).bind(answered=answered.worker_id)
        log = log.bind(answered_born=answered.started_ms)
        log.warning("status report refuted by the worker")

    def _ignore(self, heartbeat: Heartbeat, reason: str) -> None:
        """Count a report that is not applied, and log the first of a row of them."""
        self._metrics.count("status_reports_total", outcome=reason)
        ignored = (heartbeat.info.lifetime, reason)
        if ignored != self._logged_ignored:
            self._logged_ignored = ignored
            self._bind(heartbeat).bind(reason=reason).warning("status report ignored")

    def _bind(self, heartbeat: Heartbeat) -> Any:
        """Return a logger bound to what a report says and to the present life."""
        lifetime = heartbeat.info.lifetime
        log = logger.bind(worker=lifetime.worker_id, born=lifetime.started_ms)
        log = log.bind(service=heartbeat.info.service)
        present = self.lifetime
        return log.bind(known=present.worker_id, known_born=present.started_ms)
