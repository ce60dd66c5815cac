"""Collects the measurements of a placement replay."""

from collections.abc import Sequence


class ReplaySamples:
    """Measurements of one replay; times in seconds, work in accelerator-seconds.

    ``window_work`` is the useful work within ``window``, ``guaranteed_waits``
    the waits of jobs that a guarantee covered. ``unusable_share_seconds`` is
    the integral over ``gang_wait_seconds`` of the share of free accelerators
    that the largest queued gang could not use; in ``fragmented_wait_seconds``
    only fragmentation kept that gang waiting.
    """

    def __init__(self) -> None:
        self.window = (0.0, 0.0)
        self.window_work = 0.0
        self.decision_seconds: list[float] = []
        self.reclaim_seconds: list[float] = []
        self.guaranteed_waits: list[float] = []
        self.waits: dict[str, list[float]] = {}
        self.completions: dict[str, list[float]] = {}
        self.evictions = 0
        self.conflicts = 0
        self.drained = 0
        self.refused = 0
        self.unfinished = 0
        self.lost_work = 0.0
        self.makespan = 0.0
        self.unusable_share_seconds = 0.0
        self.gang_wait_seconds = 0.0
        self.fragmented_wait_seconds = 0.0

    def record_wait(self, kind: str, seconds: float) -> None:
        """Record the wait of a job until its first start."""
        self.waits.setdefault(kind, []).append(seconds)

    def record_completion(self, kind: str, seconds: float) -> None:
        """Record the completion time of a finished job."""
        self.completions.setdefault(kind, []).append(seconds)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value that ``share`` of ``values`` do not exceed, 0 if none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
