"""Records of the platform's store."""

from typing import NamedTuple


class StoredRecord(NamedTuple):
    """One record of a keyed topic; no value means that the key is dropped."""

    offset: int
    key: str
    value: bytes | None
