"""Differences between two catalogues."""

from typing import Any, NamedTuple

import msgspec

ADDED = "added"
REMOVED = "removed"
CHANGED = "changed"

_SIGNS = {ADDED: "+", REMOVED: "-", CHANGED: "~"}


class Change(NamedTuple):
    """One differing key; ``path`` joins the nested keys with dots."""

    path: str
    kind: str
    old: Any
    new: Any


def compare_catalogues(old: Any, new: Any) -> list[Change]:
    """Return the differences between two catalogues, ordered by path."""
    changes: list[Change] = []
    _collect_changes("", old, new, changes)
    return changes


def format_change(change: Change) -> str:
    """Return a one-line description of a change."""
    sign = _SIGNS[change.kind]
    old = msgspec.json.encode(change.old).decode()
    new = msgspec.json.encode(change.new).decode()
    if change.kind == ADDED:
        return f"{sign} {change.path}: {new}"
    if change.kind == REMOVED:
        return f"{sign} {change.path}: {old}"
    return f"{sign} {change.path}: {old} -> {new}"


def _collect_changes(path: str, old: Any, new: Any, changes: list[Change]) -> None:
    if not isinstance(old, dict) or not isinstance(new, dict):
        if old != new:
            changes.append(Change(path, CHANGED, old, new))
        return
    for key in sorted(old.keys() | new.keys()):
        key_path = f"{path}.{key}" if path else key
        if key not in old:
            changes.append(Change(key_path, ADDED, None, new[key]))
            continue
        if key not in new:
            changes.append(Change(key_path, REMOVED, old[key], None))
            continue
        _collect_changes(key_path, old[key], new[key], changes)
