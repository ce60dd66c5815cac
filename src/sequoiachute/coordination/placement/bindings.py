"""Binds each guaranteed shape to the accelerators that it can reclaim.

Every shape is bound to a block, and no two blocks share an accelerator.
Guaranteed work runs only inside its own account's blocks, so evicting
borrowers alone frees all blocks at once: the bindings prove that all guarantees
can be reclaimed together. A shape that no guaranteed job uses may be bound to
another block, as cells are in HiveD (OSDI 2020), but only if every shape in the
way can be bound elsewhere.
"""

from collections.abc import Iterable

from sequoiachute.coordination.placement.allocations import (
    AllocationTable,
    GuaranteedJob,
    Node,
)
from sequoiachute.coordination.placement.blocks import (
    Block,
    Guarantee,
    ShapeKey,
    best_fit_block,
    contains,
    guarantees_of,
    multi_worker_block,
    overlaps,
    single_worker_extents,
)
from sequoiachute.coordination.placement.model import Shortfall
from sequoiachute.protocol.catalogue import Catalogue


class GuaranteeBindings:
    """The block of every guaranteed shape, kept from round to round.

    Attributes
    ----------
    guarantees : dict of ShapeKey to Guarantee
        The guaranteed shapes of the catalogue.
    blocks : dict of ShapeKey to Block
        The blocks of the shapes that are bound.
    users : dict of ShapeKey to set of str
        IDs of the guaranteed jobs inside each block.
    claims : dict of str to int
        Mask of the bound accelerators by worker ID.
    """

    def __init__(self) -> None:
        self.guarantees: dict[ShapeKey, Guarantee] = {}
        self.blocks: dict[ShapeKey, Block] = {}
        self.users: dict[ShapeKey, set[str]] = {}
        self.claims: dict[str, int] = {}
        self._unmatched: dict[str, GuaranteedJob] = {}
        self._jobs: dict[str, GuaranteedJob] = {}
        self._catalogue: Catalogue | None = None
        self._version = -1

    @property
    def shortfalls(self) -> tuple[Shortfall, ...]:
        """The shapes that are not bound to a block."""
        missing = []
        for key, guarantee in self.guarantees.items():
            if key not in self.blocks:
                missing.append(Shortfall(key.account, guarantee.shape))
        return tuple(missing)

    def refresh(self, allocations: AllocationTable, catalogue: Catalogue) -> None:
        """Update from the catalogue, the workers and the guaranteed jobs."""
        is_stale = allocations.version != self._version or catalogue != self._catalogue
        if is_stale:
            self._version = allocations.version
            self._update_guarantees(catalogue)
            self._unbind_invalid(allocations)
        jobs = allocations.guaranteed_jobs()
        if not is_stale and jobs == self._jobs:
            return
        self._jobs = jobs
        self._match_jobs(jobs)
        if len(self.blocks) == len(self.guarantees):
            return
        self._bind_missing(allocations, by_size(self._missing()))
        if len(self.blocks) < len(self.guarantees):
            self._repack(allocations)

    def bound_shapes(self, account: str) -> list[ShapeKey]:
        """Return the bound shapes of ``account``."""
        return [key for key in self.blocks if key.account == account]

    def is_idle(self, key: ShapeKey) -> bool:
        """Return whether no guaranteed job uses the block of ``key``."""
        return not self.users.get(key)

    def assign(self, key: ShapeKey, job_id: str, masks: dict[str, int]) -> None:
        """Record a guaranteed job placed inside the block of ``key``."""
        self.users.setdefault(key, set()).add(job_id)
        self._jobs[job_id] = GuaranteedJob(key.account, masks)

    def blocked_for_rebinding(self, key: ShapeKey) -> dict[str, int]:
        """Return the masks that a new block of the idle ``key`` must not overlap."""
        blocked: dict[str, int] = {}
        for other, block in self.blocks.items():
            if self.is_idle(other):
                continue
            for worker_id, mask in block.items():
                blocked[worker_id] = blocked.get(worker_id, 0) | mask
        for job in self._unmatched.values():
            for worker_id, mask in job.masks.items():
                blocked[worker_id] = blocked.get(worker_id, 0) | mask
        return blocked

    def claimed_on(self, node: Node) -> int:
        """Return the mask of the bound accelerators on ``node``."""
        return self.claims.get(node.worker_id, 0)

    def rebind(self, key: ShapeKey, block: Block, allocations: AllocationTable) -> bool:
        """Bind the idle ``key`` to ``block``; return whether that is possible.

        Idle shapes that overlap ``block`` are bound elsewhere, the largest
        first. If one of them does not fit, nothing changes.
        """
        if self.blocks.get(key) == block:
            return True
        previous_blocks = dict(self.blocks)
        self._unbind(key)
        displaced = []
        for other, other_block in list(self.blocks.items()):
            if overlaps(other_block, block):
                displaced.append(other)
                self._unbind(other)
        self._bind(key, block)
        self._bind_missing(allocations, by_size(self.guarantees[k] for k in displaced))
        if all(other in self.blocks for other in displaced):
            self._match_jobs(self._jobs)
            return True
        self._restore(previous_blocks)
        return False

    def _update_guarantees(self, catalogue: Catalogue) -> None:
        if catalogue == self._catalogue:
            return
        guarantees = guarantees_of(catalogue)
        for key in list(self.blocks):
            previous = self.guarantees[key]
            if key not in guarantees or guarantees[key].shape != previous.shape:
                self._unbind(key)
        self.guarantees = guarantees
        self._catalogue = catalogue

    def _unbind_invalid(self, allocations: AllocationTable) -> None:
        """Unbind shapes whose workers are gone or no longer fit the shape."""
        for key, block in list(self.blocks.items()):
            speed_class = self.guarantees[key].shape.get("speed_class")
            domains = set()
            for worker_id, mask in block.items():
                node = allocations.nodes.get(worker_id)
                if node is None or mask >> node.size:
                    break
                if speed_class not in (None, node.worker.speed_class):
                    break
                domains.add(_domain(node, self.guarantees[key]))
            else:
                if len(domains) == 1:
                    continue
            self._unbind(key)

    def _match_jobs(self, jobs: dict[str, GuaranteedJob]) -> None:
        """Match every guaranteed job to the block that contains it."""
        self.users = {}
        self._unmatched = {}
        by_account: dict[str, list[ShapeKey]] = {}
        for key in self.blocks:
            by_account.setdefault(key.account, []).append(key)
        for job_id, job in jobs.items():
            for key in by_account.get(job.account, ()):
                if contains(self.blocks[key], job.masks):
                    self.users.setdefault(key, set()).add(job_id)
                    break
            else:
                self._unmatched[job_id] = job

    def _missing(self) -> list[Guarantee]:
        return [g for key, g in self.guarantees.items() if key not in self.blocks]

    def _bind_missing(
        self, allocations: AllocationTable, guarantees: Iterable[Guarantee]
    ) -> None:
        unbound = []
        for guarantee in guarantees:
            block = self._block_around_unmatched(guarantee, allocations)
            if block is None:
                unbound.append(guarantee)
                continue
            self._bind(guarantee.key, block)
            self._match_unmatched(guarantee.key, block)
        for guarantee in unbound:
            block = best_fit_block(allocations, guarantee.shape, self._blocked(None))
            if block is not None:
                self._bind(guarantee.key, block)

    def _block_around_unmatched(
        self, guarantee: Guarantee, allocations: AllocationTable
    ) -> Block | None:
        """Return the block that contains the most unmatched jobs of the account."""
        account = guarantee.key.account
        own = [job for job in self._unmatched.values() if job.account == account]
        if not own:
            return None
        blocked = self._blocked(account)
        best = None
        most_contained = 0
        for block in _candidate_blocks(guarantee, allocations, blocked, own):
            contained = sum(
                _accelerators(job) for job in own if contains(block, job.masks)
            )
            splits_job = any(
                overlaps(block, job.masks) and not contains(block, job.masks)
                for job in own
            )
            if contained > most_contained and not splits_job:
                best = block
                most_contained = contained
        return best

    def _match_unmatched(self, key: ShapeKey, block: Block) -> None:
        for job_id, job in list(self._unmatched.items()):
            if job.account == key.account and contains(block, job.masks):
                self.users.setdefault(key, set()).add(job_id)
                del self._unmatched[job_id]

    def _blocked(self, account: str | None) -> dict[str, int]:
        """Return the bound masks and those of other accounts' unmatched jobs."""
        blocked = dict(self.claims)
        for job in self._unmatched.values():
            if job.account == account:
                continue
            for worker_id, mask in job.masks.items():
                blocked[worker_id] = blocked.get(worker_id, 0) | mask
        return blocked

    def _repack(self, allocations: AllocationTable) -> None:
        """Rebind all idle shapes; try by size, by spread, then by priority.

        If not all fit, the last order leaves out the least important ones.
        """
        for order in (by_size, by_spread, by_priority):
            for key in list(self.blocks):
                if self.is_idle(key):
                    self._unbind(key)
            self._bind_missing(allocations, order(self._missing()))
            if len(self.blocks) == len(self.guarantees):
                return

    def _bind(self, key: ShapeKey, block: Block) -> None:
        self.blocks[key] = block
        for worker_id, mask in block.items():
            self.claims[worker_id] = self.claims.get(worker_id, 0) | mask

    def _unbind(self, key: ShapeKey) -> None:
        for worker_id, mask in self.blocks.pop(key, {}).items():
            self.claims[worker_id] &= ~mask
        self.users.pop(key, None)

    def _restore(self, blocks: dict[ShapeKey, Block]) -> None:
        for key in list(self.blocks):
            self._unbind(key)
        for key, block in blocks.items():
            self._bind(key, block)
        self._match_jobs(self._jobs)


def by_size(guarantees: Iterable[Guarantee]) -> list[Guarantee]:
    """Return the guarantees, the hardest to place first."""
    return sorted(guarantees, key=_size_key)


def by_spread(guarantees: Iterable[Guarantee]) -> list[Guarantee]:
    """Return the guarantees within one worker first, then by size."""
    return sorted(by_size(guarantees), key=_spans_workers)


def by_priority(guarantees: Iterable[Guarantee]) -> list[Guarantee]:
    """Return the guarantees by descending priority, then the smaller first."""
    return sorted(guarantees, key=_priority_key)


def _size_key(guarantee: Guarantee) -> tuple[bool, bool, int, ShapeKey]:
    shape = guarantee.shape
    any_speed_class = "speed_class" not in shape
    return (
        any_speed_class,
        not _spans_workers(guarantee),
        -shape["accelerators"],
        guarantee.key,
    )


def _spans_workers(guarantee: Guarantee) -> bool:
    return guarantee.shape["within"] != "worker"


def _priority_key(guarantee: Guarantee) -> tuple[int, int, ShapeKey]:
    return (-guarantee.priority, guarantee.shape["accelerators"], guarantee.key)


def _accelerators(job: GuaranteedJob) -> int:
    return sum(mask.bit_count() for mask in job.masks.values())


def _domain(node: Node, guarantee: Guarantee) -> tuple[str, ...]:
    within = guarantee.shape["within"]
    if within == "worker":
        return (node.worker_id,)
    if within == "rack":
        return (node.worker.data_centre, node.worker.rack)
    return (node.worker.data_centre,)


def _candidate_blocks(
    guarantee: Guarantee,
    allocations: AllocationTable,
    blocked: dict[str, int],
    own: list[GuaranteedJob],
) -> Iterable[Block]:
    """Yield possible blocks on the workers on which the ``own`` jobs run."""
    shape = guarantee.shape
    own_workers = {worker_id for job in own for worker_id in job.masks}
    if shape["within"] == "worker":
        yield from _extents_on(own_workers, guarantee, allocations, blocked)
        return
    for nodes in allocations.domains(shape["within"]).values():
        if not any(node.worker_id in own_workers for node in nodes):
            continue
        first = [node for node in nodes if node.worker_id in own_workers]
        rest = [node for node in nodes if node.worker_id not in own_workers]
        block = multi_worker_block(first + rest, shape, blocked)
        if block is not None:
            yield block


def _extents_on(
    worker_ids: set[str],
    guarantee: Guarantee,
    allocations: AllocationTable,
    blocked: dict[str, int],
) -> Iterable[Block]:
    for node, mask in single_worker_extents(allocations, guarantee.shape, blocked):
        if node.worker_id in worker_ids:
            yield {node.worker_id: mask}
