"""Intents of non-idempotent requests: the first in the log for a key wins."""

from typing import Any, NamedTuple

from sequoiachute.state.items import from_item, to_item

ANSWERED = "answered"
NOT_RUN = "not-run"

KEY_SECONDS = 1800.0
CLOCK_MARGIN_SECONDS = 60.0
MAX_HELD_BYTES = 8 * 1024 * 1024
MAX_INTENTS = 50_000


class Intent(NamedTuple):
    """The sole attempt that may run for a key, and its answer if known.

    ``answer`` is in base64; ``held`` is false where the request was answered
    but the answer is no longer kept. ``valid_until`` is on the agent's clock.
    """

    account: str
    idempotency_key: str
    body_digest: str
    request_id: str
    attempt_id: str
    worker_id: str
    incarnation: str
    recorded_at: float
    address: str = ""
    valid_until: float = 0.0
    outcome: str = ""
    status: int = 0
    content_type: str = ""
    answer: str = ""
    held: bool = True
    answer_bytes: int = 0


class IntentTable:
    """Intents by account and idempotency key, of bounded number and size.

    A key is checked for ``key_seconds`` after its intent; that must be less
    than the log keeps records. Which intent wins follows from the records
    alone, so that every entry instance finds the same winner.
    """

    def __init__(
        self, key_seconds: float = KEY_SECONDS, max_held_bytes: int = MAX_HELD_BYTES
    ) -> None:
        self._key_seconds = key_seconds
        self._max_held_bytes = max_held_bytes
        self._intents: dict[tuple[str, str], Intent] = {}
        self._held: dict[tuple[str, str], int] = {}
        self._held_bytes = 0

    def __len__(self) -> int:
        return len(self._intents)

    @property
    def key_seconds(self) -> float:
        """Seconds for which a key is checked."""
        return self._key_seconds

    @property
    def held_bytes(self) -> int:
        """Bytes of the recorded answers kept."""
        return self._held_bytes

    def is_full(self, now: float) -> bool:
        """Whether no further intent can be kept; ``now`` is wall time."""
        if len(self._intents) >= MAX_INTENTS:
            self._forget(now)
        return len(self._intents) >= MAX_INTENTS

    def is_checkable(self, created_at: float, now: float) -> bool:
        """Whether an intent for a key created then would still be known."""
        age = now - created_at
        return -CLOCK_MARGIN_SECONDS <= age <= self._key_seconds - CLOCK_MARGIN_SECONDS

    def get(self, account: str, key: str) -> Intent | None:
        """Return the intent that won for the key."""
        return self._intents.get((account, key))

    def intents(self) -> list[Intent]:
        """Return every intent, oldest first."""
        return list(self._intents.values())

    def snapshot(self) -> list[Any]:
        """Return every intent as an item of a snapshot."""
        return [to_item(intent) for intent in self._intents.values()]

    def restore(self, items: list[Any]) -> None:
        """Hold the intents of a snapshot and no others."""
        intents = [from_item(Intent, item) for item in items]
        self._intents.clear()
        self._held.clear()
        self._held_bytes = 0
        for intent in intents:
            place = (intent.account, intent.idempotency_key)
            self._intents[place] = intent
            self._hold(place, len(intent.answer))

    def apply(self, record: Any) -> bool:
        """Apply one record; return whether it took effect."""
        place = (record["account"], record["idempotency_key"])
        known = self._intents.get(place)
        if record["kind"] == "intent-recorded":
            return self._record(place, known, record)
        if record["kind"] != "intent-answered":
            return False
        if known is None or known.attempt_id != record["attempt_id"] or known.outcome:
            return False
        self._intents[place] = known._replace(
            outcome=record["outcome"],
            status=record["status"],
            content_type=record["content_type"],
            answer=record["answer"],
            held=record.get("held", True),
            answer_bytes=record.get("answer_bytes", 0),
        )
        self._hold(place, len(record["answer"]))
        return True

    def _record(
        self, place: tuple[str, str], known: Intent | None, record: Any
    ) -> bool:
        if known is not None and self._stands(known, record):
            return False
        self._release(place)
        self._intents.pop(place, None)
        self._forget(record["recorded_at"])
        self._intents[place] = Intent(
            account=record["account"],
            idempotency_key=record["idempotency_key"],
            body_digest=record["body_digest"],
            request_id=record["request_id"],
            attempt_id=record["attempt_id"],
            worker_id=record["worker_id"],
            incarnation=record["incarnation"],
            recorded_at=record["recorded_at"],
            address=record.get("address", ""),
            valid_until=record.get("valid_until", 0.0),
        )
        return True

    def _stands(self, known: Intent, record: Any) -> bool:
        if known.outcome == NOT_RUN:
            return known.body_digest != record["body_digest"]
        return record["recorded_at"] - known.recorded_at <= self._key_seconds

    def _forget(self, now: float) -> None:
        """Drop the oldest intents once no key that they answer is checked."""
        horizon = now - self._key_seconds - 2 * CLOCK_MARGIN_SECONDS
        while self._intents:
            place = next(iter(self._intents))
            if self._intents[place].recorded_at >= horizon:
                return
            self._release(place)
            del self._intents[place]

    def _hold(self, place: tuple[str, str], size: int) -> None:
        if not size:
            return
        self._held[place] = size
        self._held_bytes += size
        while self._held_bytes > self._max_held_bytes:
            oldest = next(iter(self._held))
            self._release(oldest)
            self._intents[oldest] = self._intents[oldest]._replace(
                answer="", held=False
            )

    def _release(self, place: tuple[str, str]) -> None:
        self._held_bytes -= self._held.pop(place, 0)
