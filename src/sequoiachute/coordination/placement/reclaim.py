"""Room made by evictions, for guaranteed and for urgent work."""

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from sequoiachute.coordination.placement.bindings import Bindings
from sequoiachute.coordination.placement.blocks import (
    Block,
    Guarantee,
    ShapeKey,
    single_blocks,
    spread_block,
    usable_for,
)
from sequoiachute.coordination.placement.board import Board, Node
from sequoiachute.coordination.placement.model import (
    MemberPlacement,
    Placement,
    domain_of,
)
from sequoiachute.coordination.placement.extents import indices_of
from sequoiachute.coordination.placement.victims import (
    Claim,
    Room,
    Victims,
    evictions_of,
    take_rooms,
)
from sequoiachute.protocol.catalogue import Within
from sequoiachute.state.jobs import Job

MOVING_SHARE = 0.1  # of a gang's own work that may be lost to start it
MOVES_WEIGHED = 6  # blocks priced in full for each guaranteed start


class Fit(NamedTuple):
    """A place for a gang and who must leave it."""

    price: float
    members: tuple[MemberPlacement, ...]
    victims: frozenset[str]


class _Move(NamedTuple):
    held: int  # accelerators of the block that somebody holds
    moved: bool
    claimed: int  # accelerators of it that other guarantees claim
    slowness: float
    block: Block


class Reclaim:
    """Finds the cheapest evictions during one round.

    Parameters
    ----------
    late_binding : bool
        Whether an idle shape may move to a cheaper block when it is used.
    """

    def __init__(
        self, board: Board, bindings: Bindings, victims: Victims, late_binding: bool
    ) -> None:
        self._board = board
        self._bindings = bindings
        self._victims = victims
        self._late_binding = late_binding

    def guaranteed(self, job: Job) -> Placement | None:
        """Return a start under the guarantee of the job's account, or ``None``."""
        for key in self._bindings.of_account(job.account):
            if not self._may_cover(key, job):
                continue
            fit = self._fit_shape(key, job)
            if fit is None:
                continue
            self._bindings.use(key, job.job_id, parts_of(fit.members))
            reason = f"client account {job.account} reclaims its guarantee"
            return self._placement(job, fit, True, reason)
        return None

    def urgent(self, job: Job) -> Placement | None:
        """Return a start that evicts work that is not urgent, or ``None``."""
        best = None
        for nodes in self._groups(job):
            places = [(node, (1 << node.size) - 1) for node in nodes]
            fit = self._fit(job, places, Claim.URGENT)
            if fit is not None and (best is None or fit.price < best.price):
                best = fit
                if not best.victims:
                    break
        if best is None:
            return None
        return self._placement(job, best, False, "urgent work needs the place")

    def starved(self, job: Job, block: Block) -> Placement | None:
        """Return a start inside the reservation ``block``, or ``None``.

        What its evictions lose must be small against the gang itself.
        """
        places = [(self._board.nodes[name], mask) for name, mask in block.items()]
        fit = self._fit(job, places, Claim.STARVED)
        if fit is None:
            return None
        if fit.price > MOVING_SHARE * _size(job) * job.spec["run_seconds"]:
            return None
        return self._placement(job, fit, False, "a gang that starves needs the place")

    def _groups(self, job: Job) -> Iterable[Sequence[Node]]:
        if job.spec["tasks"] == 1:
            return [list(self._board.nodes.values())]
        return self._board.domains(job.spec["within"]).values()

    def _may_cover(self, key: ShapeKey, job: Job) -> bool:
        """Return whether the shape is large enough, before a place is sought."""
        spec = job.spec
        size = spec["tasks"] * spec["accelerators"]
        if not spec["accelerators"]:
            return False
        left = self._bindings.guarantees[key].shape["accelerators"]
        if not self._bindings.is_idle(key):
            left = 0
            for worker_id, mask in self._bindings.blocks[key].items():
                left += (mask & ~self._board.nodes[worker_id].fixed).bit_count()
        return size <= left

    def _fit_shape(self, key: ShapeKey, job: Job) -> Fit | None:
        block = self._bindings.blocks[key]
        if not self._late_binding or not self._bindings.is_idle(key):
            return self._fit_block(job, block)
        priced = []
        for rank, move in enumerate(self._moves(key, job)):
            fit = self._fit_block(job, move.block)
            if fit is not None:
                priced.append((fit.price, rank, fit, move.block))
        priced.sort(key=lambda entry: entry[:2])
        for _, _, fit, target in priced:
            if self._bindings.move(key, target, self._board):
                return fit
        return None

    def _moves(self, key: ShapeKey, job: Job) -> list[_Move]:
        """Return the most promising blocks, the present one among them."""
        guarantee = self._bindings.guarantees[key]
        present = self._bindings.blocks[key]
        found = [self._move(present, present)]
        for block in self._candidates(key, guarantee):
            if block == present:
                continue
            node = self._board.nodes[next(iter(block))]
            if not usable_for(node, job.spec.get("speed_class")):
                continue
            found.append(self._move(block, present))
        found.sort(key=lambda move: move[:4])
        chosen = found[:MOVES_WEIGHED]
        if all(move.moved for move in chosen):
            chosen.append(self._move(present, present))
        return chosen

    def _candidates(self, key: ShapeKey, guarantee: Guarantee) -> Iterator[Block]:
        blocked = self._bindings.blocked_for(key)
        shape = guarantee.shape
        if shape["within"] == "worker":
            for node, mask in single_blocks(self._board, shape, blocked):
                yield {node.worker_id: mask}
            return
        for nodes in self._board.domains(shape["within"]).values():
            block = spread_block(sorted(nodes, key=_held), shape, blocked)
            if block is not None:
                yield block

    def _move(self, block: Block, present: Block) -> _Move:
        held = 0
        claimed = 0
        slowness = 0.0
        for worker_id, mask in block.items():
            node = self._board.nodes[worker_id]
            held += (mask & ~node.free).bit_count()
            claims = self._bindings.claims.get(worker_id, 0)
            claimed += (mask & claims & ~present.get(worker_id, 0)).bit_count()
            slowness = max(slowness, 1 / node.worker.speed)
        return _Move(held, block is not present, claimed, slowness, block)

    def _fit_block(self, job: Job, block: Block) -> Fit | None:
        wanted = job.spec.get("speed_class")
        groups: dict[tuple[str, ...], list[tuple[Node, int]]] = {}
        for worker_id, mask in block.items():
            node = self._board.nodes[worker_id]
            if not usable_for(node, wanted):
                continue
            domain = domain_of(node.worker, _grouping(job))
            groups.setdefault(domain, []).append((node, mask))
        best = None
        for places in groups.values():
            fit = self._fit(job, places, Claim.GUARANTEED)
            if fit is not None and (best is None or fit.price < best.price):
                best = fit
        return best

    def _fit(
        self, job: Job, places: Sequence[tuple[Node, int]], claim: Claim
    ) -> Fit | None:
        """Return the cheapest fit inside the masks of ``places``."""
        spec = job.spec
        left = spec["tasks"]
        offers: list[tuple[float, Node, list[Room]]] = []
        total = 0
        for node, mask in places:
            if spec.get("speed_class", node.worker.speed_class) != (
                node.worker.speed_class
            ):
                continue
            rooms = take_rooms(
                node,
                spec["accelerators"],
                left,
                mask,
                self._victims,
                claim,
                _size(job),
            )
            if not rooms:
                continue
            offers.append((sum(r.price for r in rooms) / len(rooms), node, rooms))
            total += len(rooms)
            if left == 1 and not rooms[0].victims:
                offers = offers[-1:]
                break
        if total < left:
            return None
        offers.sort(key=lambda offer: offer[0])
        members = []
        victims: set[str] = set()
        for _, node, rooms in offers:
            for room in rooms[:left]:
                members.append(MemberPlacement(node.worker_id, indices_of(room.mask)))
                victims |= room.victims
            left -= min(left, len(rooms))
            if not left:
                break
        price = sum(self._victims.price(job_id) for job_id in victims)
        return Fit(price, tuple(members), frozenset(victims))

    def _placement(
        self, job: Job, fit: Fit, guaranteed: bool, reason: str
    ) -> Placement:
        nodes = [self._board.nodes[member.worker_id] for member in fit.members]
        evictions = evictions_of(fit.victims, nodes, reason)
        self._victims.settle(evictions)
        return Placement(job.job_id, fit.members, guaranteed, evictions)


def parts_of(members: Iterable[MemberPlacement]) -> dict[str, int]:
    """Return the accelerators of ``members`` as a mask for each worker."""
    parts: dict[str, int] = {}
    for member in members:
        mask = parts.get(member.worker_id, 0)
        for index in member.accelerators:
            mask |= 1 << index
        parts[member.worker_id] = mask
    return parts


def _size(job: Job) -> int:
    return job.spec["tasks"] * job.spec["accelerators"]


def _grouping(job: Job) -> Within:
    return "data_centre" if job.spec["tasks"] == 1 else job.spec["within"]


def _held(node: Node) -> tuple[int, int]:
    return (node.size - node.free.bit_count(), node.worker.position)
