"""Intents of non-idempotent requests: the first in the log for a key wins."""

from typing import Any, NamedTuple

from sequoiachute.state.items import from_item, to_item


class Intent(NamedTuple):
    """The sole attempt that may run for a key, and its answer if known."""

    account: str
    idempotency_key: str
    body_digest: str
    request_id: str
    attempt_id: str
    worker_id: str
    incarnation: str
    recorded_at: float
    outcome: str = ""
    status: int = 0
    content_type: str = ""
    answer: str = ""


class IntentTable:
    """Intents by account and idempotency key."""

    def __init__(self) -> None:
        self._intents: dict[tuple[str, str], Intent] = {}

    def get(self, account: str, key: str) -> Intent | None:
        """Return the intent that won for the key."""
        return self._intents.get((account, key))

    def snapshot(self) -> list[Any]:
        """Return every intent as an item of a snapshot."""
        return [to_item(intent) for intent in self._intents.values()]

    def restore(self, items: list[Any]) -> None:
        """Hold the intents of a snapshot and no others."""
        intents = [from_item(Intent, item) for item in items]
        self._intents.clear()
        for intent in intents:
            self._intents[(intent.account, intent.idempotency_key)] = intent

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
        )
        return True

    def _record(
        self, place: tuple[str, str], known: Intent | None, record: Any
    ) -> bool:
        if known is not None and known.outcome != "not-run":
            return False
        self._intents[place] = Intent(
            account=record["account"],
            idempotency_key=record["idempotency_key"],
            body_digest=record["body_digest"],
            request_id=record["request_id"],
            attempt_id=record["attempt_id"],
            worker_id=record["worker_id"],
            incarnation=record["incarnation"],
            recorded_at=record["recorded_at"],
        )
        return True
