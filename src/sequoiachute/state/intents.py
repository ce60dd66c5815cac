"""Intents of non-idempotent requests; the first in the log for a key wins."""

from typing import Any, NamedTuple

from sequoiachute.state.items import from_item, to_item

ANSWERED = "answered"
NOT_RUN = "not-run"

KEY_SECONDS = 1800.0
CLOCK_MARGIN_SECONDS = 60.0
MAX_HELD_ANSWER_BYTES = 8 * 1024 * 1024
MAX_INTENTS = 50_000


class Intent(NamedTuple):
    """The only attempt that may run for an idempotency key, and its answer.

    ``answer`` is in base64; ``held`` is false where the request was answered
    but the answer is no longer kept. ``recorded_at`` is wall time and
    ``valid_until`` a time on the agent's clock, both in seconds.
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
    """Intents by account and idempotency key, bounded in number and size.

    Which intent wins depends on the log's records alone, so that every entry
    instance finds the same winner.

    Parameters
    ----------
    key_seconds : float
        Time after its intent for which a key is checked; must be less than the
        time for which the log keeps records.
    max_held_bytes : int
        Bytes of encoded answers kept; the oldest answers are dropped first.
    """

    def __init__(
        self,
        key_seconds: float = KEY_SECONDS,
        max_held_bytes: int = MAX_HELD_ANSWER_BYTES,
    ) -> None:
        self._key_seconds = key_seconds
        self._max_held_bytes = max_held_bytes
        self._intents: dict[tuple[str, str], Intent] = {}
        self._answer_sizes: dict[tuple[str, str], int] = {}
        self._held_bytes = 0

    def __len__(self) -> int:
        return len(self._intents)

    @property
    def key_seconds(self) -> float:
        """Seconds for which a key is checked after its intent."""
        return self._key_seconds

    @property
    def held_bytes(self) -> int:
        """Total size in bytes of the encoded answers kept."""
        return self._held_bytes

    def is_full(self, now: float) -> bool:
        """Return whether no further intent can be kept; ``now`` is wall time."""
        if len(self._intents) >= MAX_INTENTS:
            self._drop_expired(now)
        return len(self._intents) >= MAX_INTENTS

    def is_checkable(self, created_at: float, now: float) -> bool:
        """Return whether an intent for a key created then would still be known.

        Both times are wall time in seconds.
        """
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
        """Replace all intents by those of a snapshot."""
        intents = [from_item(Intent, item) for item in items]
        self._intents.clear()
        self._answer_sizes.clear()
        self._held_bytes = 0
        for intent in intents:
            key = (intent.account, intent.idempotency_key)
            self._intents[key] = intent
            self._hold_answer(key, len(intent.answer))

    def apply(self, record: Any) -> bool:
        """Apply one record; return whether it took effect."""
        key = (record["account"], record["idempotency_key"])
        existing = self._intents.get(key)
        if record["kind"] == "intent-recorded":
            return self._record(key, existing, record)
        if record["kind"] != "intent-answered":
            return False
        if (
            existing is None
            or existing.attempt_id != record["attempt_id"]
            or existing.outcome
        ):
            return False
        self._intents[key] = existing._replace(
            outcome=record["outcome"],
            status=record["status"],
            content_type=record["content_type"],
            answer=record["answer"],
            held=record.get("held", True),
            answer_bytes=record.get("answer_bytes", 0),
        )
        self._hold_answer(key, len(record["answer"]))
        return True

    def _record(
        self, key: tuple[str, str], existing: Intent | None, record: Any
    ) -> bool:
        if existing is not None and self._blocks(existing, record):
            return False
        self._release_answer(key)
        self._intents.pop(key, None)
        self._drop_expired(record["recorded_at"])
        self._intents[key] = Intent(
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

    def _blocks(self, existing: Intent, record: Any) -> bool:
        if existing.outcome == NOT_RUN:
            return existing.body_digest != record["body_digest"]
        return record["recorded_at"] - existing.recorded_at <= self._key_seconds

    def _drop_expired(self, now: float) -> None:
        """Drop the oldest intents whose keys are no longer checked."""
        oldest_kept = now - self._key_seconds - 2 * CLOCK_MARGIN_SECONDS
        while self._intents:
            key = next(iter(self._intents))
            if self._intents[key].recorded_at >= oldest_kept:
                return
            self._release_answer(key)
            del self._intents[key]

    def _hold_answer(self, key: tuple[str, str], size: int) -> None:
        if not size:
            return
        self._answer_sizes[key] = size
        self._held_bytes += size
        while self._held_bytes > self._max_held_bytes:
            oldest = next(iter(self._answer_sizes))
            self._release_answer(oldest)
            self._intents[oldest] = self._intents[oldest]._replace(
                answer="", held=False
            )

    def _release_answer(self, key: tuple[str, str]) -> None:
        self._held_bytes -= self._answer_sizes.pop(key, 0)
