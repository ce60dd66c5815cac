"""What a replay measures."""

from collections.abc import Sequence


class Samples:
    """Figures of one replay; times in seconds, work in accelerator-seconds."""

    def __init__(self) -> None:
        self.window = (0.0, 0.0)
        self.window_work = 0.0
        self.decisions: list[float] = []
        self.reclaims: list[float] = []
        self.covered: list[float] = []
        self.waits: dict[str, list[float]] = {}
        self.completions: dict[str, list[float]] = {}
        self.evictions = 0
        self.conflicts = 0
        self.drained = 0
        self.refused = 0
        self.unfinished = 0
        self.lost_work = 0.0
        self.makespan = 0.0
        self.fragmentation = 0.0
        self.gang_waiting = 0.0
        self.fragmented_waiting = 0.0

    def wait(self, kind: str, seconds: float) -> None:
        """Count a first start."""
        self.waits.setdefault(kind, []).append(seconds)

    def complete(self, kind: str, seconds: float) -> None:
        """Count a finished job."""
        self.completions.setdefault(kind, []).append(seconds)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value that ``share`` of ``values`` do not exceed, 0 if none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
