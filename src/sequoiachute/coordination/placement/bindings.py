"""Which accelerators each guaranteed shape can claim.

Every shape is bound to a block, and no two blocks share an accelerator.
Guaranteed work runs only inside its own account's blocks, so evicting
borrowers alone frees every block at once: the bindings are the witness that
all guarantees can be reclaimed together. A block that no guaranteed job uses
may move, as cells do in HiveD (OSDI 2020), but only as a whole exchange after
which a witness still exists.
"""

from collections.abc import Iterable

from sequoiachute.coordination.placement.blocks import (
    Block,
    Guarantee,
    ShapeKey,
    contains,
    guarantees_of,
    overlaps,
    single_blocks,
    spread_block,
    tightest_block,
)
from sequoiachute.coordination.placement.board import Board, GuaranteedJob, Node
from sequoiachute.coordination.placement.model import Shortfall
from sequoiachute.protocol.catalogue import Catalogue


class Bindings:
    """The block of every guaranteed shape, kept from round to round."""

    def __init__(self) -> None:
        self.guarantees: dict[ShapeKey, Guarantee] = {}
        self.blocks: dict[ShapeKey, Block] = {}
        self.users: dict[ShapeKey, set[str]] = {}
        self.claims: dict[str, int] = {}
        self._strays: dict[str, GuaranteedJob] = {}
        self._jobs: dict[str, GuaranteedJob] = {}
        self._catalogue: Catalogue | None = None
        self._version = -1

    @property
    def shortfalls(self) -> tuple[Shortfall, ...]:
        """The shapes that are bound to nothing now."""
        missing = []
        for key, guarantee in self.guarantees.items():
            if key not in self.blocks:
                missing.append(Shortfall(key.account, guarantee.shape))
        return tuple(missing)

    def refresh(self, board: Board, catalogue: Catalogue) -> None:
        """Follow the catalogue, the workers and the guaranteed jobs."""
        rebind = board.version != self._version or catalogue != self._catalogue
        if rebind:
            self._version = board.version
            self._take_catalogue(catalogue)
            self._release_broken(board)
        jobs = board.guaranteed_jobs()
        if not rebind and jobs == self._jobs:
            return
        self._jobs = jobs
        self._attribute(jobs)
        if len(self.blocks) == len(self.guarantees):
            return
        self._bind_missing(board, by_size(self._missing()))
        if len(self.blocks) < len(self.guarantees):
            self._repack(board)

    def of_account(self, account: str) -> list[ShapeKey]:
        """Return the bound shapes of ``account``."""
        return [key for key in self.blocks if key.account == account]

    def is_idle(self, key: ShapeKey) -> bool:
        """Return whether no guaranteed job uses the block of ``key``."""
        return not self.users.get(key)

    def use(self, key: ShapeKey, job_id: str, parts: dict[str, int]) -> None:
        """Note a placement inside the block of ``key``."""
        self.users.setdefault(key, set()).add(job_id)
        self._jobs[job_id] = GuaranteedJob(key.account, parts)

    def blocked_for(self, key: ShapeKey) -> dict[str, int]:
        """Return what a move of the idle ``key`` must not touch."""
        blocked: dict[str, int] = {}
        for other, block in self.blocks.items():
            if self.is_idle(other):
                continue
            for worker_id, mask in block.items():
                blocked[worker_id] = blocked.get(worker_id, 0) | mask
        for job in self._strays.values():
            for worker_id, mask in job.parts.items():
                blocked[worker_id] = blocked.get(worker_id, 0) | mask
        return blocked

    def idle_claims(self, node: Node) -> int:
        """Return the mask that guarantees claim on ``node``."""
        return self.claims.get(node.worker_id, 0)

    def move(self, key: ShapeKey, block: Block, board: Board) -> bool:
        """Bind the idle ``key`` to ``block`` if all others still fit.

        Idle shapes that lie in the way are bound elsewhere, the largest first.
        Nothing changes when one of them finds no place.
        """
        if self.blocks.get(key) == block:
            return True
        before = dict(self.blocks)
        self._release(key)
        displaced = []
        for other, taken in list(self.blocks.items()):
            if overlaps(taken, block):
                displaced.append(other)
                self._release(other)
        self._claim(key, block)
        self._bind_missing(board, by_size(self.guarantees[k] for k in displaced))
        if all(other in self.blocks for other in displaced):
            self._attribute(self._jobs)
            return True
        self._restore(before)
        return False

    def _take_catalogue(self, catalogue: Catalogue) -> None:
        if catalogue == self._catalogue:
            return
        guarantees = guarantees_of(catalogue)
        for key in list(self.blocks):
            known = self.guarantees[key]
            if key not in guarantees or guarantees[key].shape != known.shape:
                self._release(key)
        self.guarantees = guarantees
        self._catalogue = catalogue

    def _release_broken(self, board: Board) -> None:
        """Unbind what lies on workers that are gone or have changed."""
        for key, block in list(self.blocks.items()):
            wanted = self.guarantees[key].shape.get("speed_class")
            places = set()
            for worker_id, mask in block.items():
                node = board.nodes.get(worker_id)
                if node is None or mask >> node.size:
                    break
                if wanted not in (None, node.worker.speed_class):
                    break
                places.add(_place(node, self.guarantees[key]))
            else:
                if len(places) == 1:
                    continue
            self._release(key)

    def _attribute(self, jobs: dict[str, GuaranteedJob]) -> None:
        """Find the block that every guaranteed job runs in."""
        self.users = {}
        self._strays = {}
        by_account: dict[str, list[ShapeKey]] = {}
        for key in self.blocks:
            by_account.setdefault(key.account, []).append(key)
        for job_id, job in jobs.items():
            for key in by_account.get(job.account, ()):
                if contains(self.blocks[key], job.parts):
                    self.users.setdefault(key, set()).add(job_id)
                    break
            else:
                self._strays[job_id] = job

    def _missing(self) -> list[Guarantee]:
        return [g for key, g in self.guarantees.items() if key not in self.blocks]

    def _bind_missing(self, board: Board, guarantees: Iterable[Guarantee]) -> None:
        left = []
        for guarantee in guarantees:
            block = self._block_of_strays(guarantee, board)
            if block is None:
                left.append(guarantee)
                continue
            self._claim(guarantee.key, block)
            self._adopt(guarantee.key, block)
        for guarantee in left:
            block = tightest_block(board, guarantee.shape, self._blocked(None))
            if block is not None:
                self._claim(guarantee.key, block)

    def _block_of_strays(self, guarantee: Guarantee, board: Board) -> Block | None:
        """Return a block around jobs of the account that run in none."""
        account = guarantee.key.account
        own = [job for job in self._strays.values() if job.account == account]
        if not own:
            return None
        blocked = self._blocked(account)
        best = None
        most = 0
        for block in _candidates(guarantee, board, blocked, own):
            held = sum(_size(job) for job in own if contains(block, job.parts))
            cut = any(
                overlaps(block, job.parts) and not contains(block, job.parts)
                for job in own
            )
            if held > most and not cut:
                best = block
                most = held
        return best

    def _adopt(self, key: ShapeKey, block: Block) -> None:
        for job_id, job in list(self._strays.items()):
            if job.account == key.account and contains(block, job.parts):
                self.users.setdefault(key, set()).add(job_id)
                del self._strays[job_id]

    def _blocked(self, account: str | None) -> dict[str, int]:
        """Return what is taken, but for jobs of ``account`` in no block."""
        blocked = dict(self.claims)
        for job in self._strays.values():
            if job.account == account:
                continue
            for worker_id, mask in job.parts.items():
                blocked[worker_id] = blocked.get(worker_id, 0) | mask
        return blocked

    def _repack(self, board: Board) -> None:
        """Bind all idle shapes anew; the least important yield if they must."""
        for order in (by_size, spread_last, by_importance):
            for key in list(self.blocks):
                if self.is_idle(key):
                    self._release(key)
            self._bind_missing(board, order(self._missing()))
            if len(self.blocks) == len(self.guarantees):
                return

    def _claim(self, key: ShapeKey, block: Block) -> None:
        self.blocks[key] = block
        for worker_id, mask in block.items():
            self.claims[worker_id] = self.claims.get(worker_id, 0) | mask

    def _release(self, key: ShapeKey) -> None:
        for worker_id, mask in self.blocks.pop(key, {}).items():
            self.claims[worker_id] &= ~mask
        self.users.pop(key, None)

    def _restore(self, blocks: dict[ShapeKey, Block]) -> None:
        for key in list(self.blocks):
            self._release(key)
        for key, block in blocks.items():
            self._claim(key, block)
        self._attribute(self._jobs)


def by_size(guarantees: Iterable[Guarantee]) -> list[Guarantee]:
    """Return the hardest to place first."""
    return sorted(guarantees, key=_hardness)


def spread_last(guarantees: Iterable[Guarantee]) -> list[Guarantee]:
    """Return the shapes of one worker first."""
    return sorted(by_size(guarantees), key=_spreads)


def by_importance(guarantees: Iterable[Guarantee]) -> list[Guarantee]:
    """Return the last to yield first: by priority, then the smaller shape."""
    return sorted(guarantees, key=_importance)


def _hardness(guarantee: Guarantee) -> tuple[bool, bool, int, ShapeKey]:
    shape = guarantee.shape
    anywhere = "speed_class" not in shape
    return (anywhere, not _spreads(guarantee), -shape["accelerators"], guarantee.key)


def _spreads(guarantee: Guarantee) -> bool:
    return guarantee.shape["within"] != "worker"


def _importance(guarantee: Guarantee) -> tuple[int, int, ShapeKey]:
    return (-guarantee.priority, guarantee.shape["accelerators"], guarantee.key)


def _size(job: GuaranteedJob) -> int:
    return sum(mask.bit_count() for mask in job.parts.values())


def _place(node: Node, guarantee: Guarantee) -> tuple[str, ...]:
    within = guarantee.shape["within"]
    if within == "worker":
        return (node.worker_id,)
    if within == "rack":
        return (node.worker.data_centre, node.worker.rack)
    return (node.worker.data_centre,)


def _candidates(
    guarantee: Guarantee,
    board: Board,
    blocked: dict[str, int],
    own: list[GuaranteedJob],
) -> Iterable[Block]:
    """Yield blocks around the workers on which ``own`` jobs run."""
    shape = guarantee.shape
    held = {worker_id for job in own for worker_id in job.parts}
    if shape["within"] == "worker":
        yield from _runs_on(held, guarantee, board, blocked)
        return
    for nodes in board.domains(shape["within"]).values():
        if not any(node.worker_id in held for node in nodes):
            continue
        first = [node for node in nodes if node.worker_id in held]
        rest = [node for node in nodes if node.worker_id not in held]
        block = spread_block(first + rest, shape, blocked)
        if block is not None:
            yield block


def _runs_on(
    worker_ids: set[str], guarantee: Guarantee, board: Board, blocked: dict[str, int]
) -> Iterable[Block]:
    for node, mask in single_blocks(board, guarantee.shape, blocked):
        if node.worker_id in worker_ids:
            yield {node.worker_id: mask}
