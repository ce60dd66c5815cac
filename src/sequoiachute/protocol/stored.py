"""Records of the platform's keyed store."""

from typing import NamedTuple


class StoredRecord(NamedTuple):
    """One record of a keyed topic; a value of ``None`` deletes the key."""

    offset: int
    key: str
    value: bytes | None
