"""What a new catalogue changes against the one in force."""

from typing import Any, NamedTuple

import msgspec

ADDED = "added"
REMOVED = "removed"
CHANGED = "changed"

_SIGNS = {ADDED: "+", REMOVED: "-", CHANGED: "~"}


class Change(NamedTuple):
    """One key that differs; ``path`` joins the keys with dots."""

    path: str
    kind: str
    old: Any
    new: Any


def compare(old: Any, new: Any) -> list[Change]:
    """Return what differs between two catalogues, ordered by path."""
    changes: list[Change] = []
    _compare("", old, new, changes)
    return changes


def format_change(change: Change) -> str:
    """Return one line about a change."""
    sign = _SIGNS[change.kind]
    old = msgspec.json.encode(change.old).decode()
    new = msgspec.json.encode(change.new).decode()
    if change.kind == ADDED:
        return f"{sign} {change.path}: {new}"
    if change.kind == REMOVED:
        return f"{sign} {change.path}: {old}"
    return f"{sign} {change.path}: {old} -> {new}"


def _compare(path: str, old: Any, new: Any, changes: list[Change]) -> None:
    if not isinstance(old, dict) or not isinstance(new, dict):
        if old != new:
            changes.append(Change(path, CHANGED, old, new))
        return
    for key in sorted(old.keys() | new.keys()):
        place = f"{path}.{key}" if path else key
        if key not in old:
            changes.append(Change(place, ADDED, None, new[key]))
            continue
        if key not in new:
            changes.append(Change(place, REMOVED, old[key], None))
            continue
        _compare(place, old[key], new[key], changes)
