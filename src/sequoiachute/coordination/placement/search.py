"""Where a gang fits without evictions, and at what price."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from sequoiachute.coordination.placement.bindings import Bindings
from sequoiachute.coordination.placement.board import Board, Node
from sequoiachute.coordination.placement.model import MemberPlacement
from sequoiachute.coordination.placement.reservations import Forecast, Reservations
from sequoiachute.coordination.placement.extents import indices_of, pack_extents
from sequoiachute.state.jobs import Job

PINNING_PRICE = 0.5  # of the first job on a worker that can't be moved off it
CLAIMED_PRICE = 0.5  # of using accelerators that a guarantee may reclaim
LEAST_WEIGHT = 0.05  # keeps ties on even hardware from being arbitrary


class Spot(NamedTuple):
    """Tasks that one worker could take, cheapest first."""

    price: float
    position: int
    node: Node
    runs: tuple[int, ...]


class Search:
    """Prices free places during one round.

    Parameters
    ----------
    fragmentation_weight : float
        From 0, only the expected completion time counts, to 1, only what a
        placement breaks.
    pinned : set of str
        Workers that run something which can't go on from a checkpoint; more
        of that goes there first, so that others can be cleared for gangs.
    """

    def __init__(
        self,
        board: Board,
        bindings: Bindings,
        reservations: Reservations,
        forecast: Forecast,
        fragmentation_weight: float,
        pinned: set[str],
    ) -> None:
        self._board = board
        self._bindings = bindings
        self._reservations = reservations
        self._forecast = forecast
        self._weight = LEAST_WEIGHT + (1 - LEAST_WEIGHT) * fragmentation_weight
        self._pinned = pinned
        speeds = [node.worker.speed for node in board.nodes.values()]
        self._top_speed = max(speeds, default=1.0)

    def find(self, job: Job) -> tuple[MemberPlacement, ...] | None:
        """Return the cheapest free place for the whole gang, or ``None``."""
        tasks = job.spec["tasks"]
        if tasks == 1:
            spot = self._cheapest_spot(job, self._board.nodes.values())
            return None if spot is None else members_of([(spot.node, spot.runs[:1])])
        best = None
        least = float("inf")
        for nodes in self._board.domains(job.spec["within"]).values():
            taken, price = self._gather(job, nodes)
            if taken and price < least:
                best = taken
                least = price
        return None if best is None else members_of(best)

    def _gather(
        self, job: Job, nodes: Sequence[Node]
    ) -> tuple[list[tuple[Node, tuple[int, ...]]], float]:
        """Return the cheapest spots of one domain that hold the gang."""
        left = job.spec["tasks"]
        spots = []
        room = 0
        for position, node in enumerate(nodes):
            spot = self._spot(job, node, position, left)
            if spot is not None:
                spots.append(spot)
                room += len(spot.runs)
        if room < left:
            return [], 0.0
        spots.sort(key=_by_price)
        taken = []
        price = 0.0
        for spot in spots:
            runs = spot.runs[:left]
            taken.append((spot.node, runs))
            price += spot.price * len(runs)
            left -= len(runs)
            if not left:
                break
        slowest = min(node.worker.speed for node, _ in taken)
        lag = (1 - self._weight) * (1 - slowest / self._top_speed)
        return taken, price / job.spec["tasks"] + lag

    def _cheapest_spot(self, job: Job, nodes: Iterable[Node]) -> Spot | None:
        best = None
        for node in nodes:
            if node.slots <= 0:
                continue
            spot = self._spot(job, node, 0, 1)
            if spot is not None and (best is None or spot.price < best.price):
                best = spot
        return best

    def _spot(self, job: Job, node: Node, position: int, most: int) -> Spot | None:
        need = job.spec["accelerators"]
        if node.slots <= 0 or node.free.bit_count() < need:
            return None
        worker = node.worker
        if job.spec.get("speed_class", worker.speed_class) != worker.speed_class:
            return None
        most = min(most, node.slots)
        kept = 0
        if self._reservations.keeps_on(node):
            ends_at = self._forecast.ends_if_started(job, worker.speed)
            kept = self._reservations.kept_from(job.job_id, ends_at, node)
        lag = (1 - self._weight) * (1 - worker.speed / self._top_speed)
        if need == 0:
            if kept:
                return None
            broken = min(1.0, node.free.bit_count() / node.slots)
            return Spot(self._weight * broken + lag, position, node, (0,) * most)
        usable = node.free & ~kept
        runs = self._runs(node, need, usable, most)
        if not runs:
            return None
        left = (usable.bit_count() - need * len(runs)) / node.size
        price = self._weight * left + lag
        claims = self._bindings.idle_claims(node)
        if claims and any(run & claims for run in runs):
            price += CLAIMED_PRICE
        movable = job.spec.get("checkpointable")
        if not movable and node.size > need and node.worker_id not in self._pinned:
            price += PINNING_PRICE * self._weight
        return Spot(price, position, node, runs)

    def _runs(self, node: Node, need: int, usable: int, most: int) -> tuple[int, ...]:
        """Return up to ``most`` runs, outside what guarantees claim if possible."""
        unclaimed = usable & ~self._bindings.idle_claims(node)
        if unclaimed != usable:
            runs = pack_extents(node.size, need, unclaimed)
            if len(runs) >= most:
                return runs[:most]
        return pack_extents(node.size, need, usable)[:most]


def members_of(
    taken: Iterable[tuple[Node, Sequence[int]]],
) -> tuple[MemberPlacement, ...]:
    """Return the members that take the masks on each node."""
    members = []
    for node, masks in taken:
        for mask in masks:
            members.append(MemberPlacement(node.worker_id, indices_of(mask)))
    return tuple(members)


def _by_price(spot: Spot) -> tuple[float, int]:
    return (spot.price, spot.position)
