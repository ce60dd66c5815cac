"""Finds accelerator blocks that can hold a guaranteed shape."""

from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from sequoiachute.coordination.placement.allocations import AllocationTable, Node
from sequoiachute.coordination.placement.extents import best_extent, extent_masks
from sequoiachute.protocol.catalogue import Catalogue, Shape

Block = dict[str, int]  # worker ID to accelerator mask


class ShapeKey(NamedTuple):
    """Identity of a guaranteed shape: client account and index in its list."""

    account: str
    index: int


class Guarantee(NamedTuple):
    """A guaranteed shape with the priority of its account's job class."""

    key: ShapeKey
    shape: Shape
    priority: int


def guarantees_of(catalogue: Catalogue) -> dict[ShapeKey, Guarantee]:
    """Return all guaranteed shapes of ``catalogue``."""
    found = {}
    for name in sorted(catalogue["accounts"]):
        account = catalogue["accounts"][name]
        job_class = catalogue["classes"].get(account["job_class"])
        priority = job_class["priority"] if job_class else 0
        for index, shape in enumerate(account.get("guarantees", [])):
            key = ShapeKey(name, index)
            found[key] = Guarantee(key, shape, priority)
    return found


def contains(block: Block, masks: Mapping[str, int]) -> bool:
    """Return whether ``block`` contains all accelerators of ``masks``."""
    return all(not mask & ~block.get(name, 0) for name, mask in masks.items())


def overlaps(block: Block, masks: Mapping[str, int]) -> bool:
    """Return whether ``block`` and ``masks`` share an accelerator."""
    return any(mask & block.get(name, 0) for name, mask in masks.items())


def has_speed_class(node: Node, speed_class: str | None) -> bool:
    """Return whether ``node`` is of ``speed_class``; ``None`` means any."""
    return speed_class is None or node.worker.speed_class == speed_class


def single_worker_extents(
    allocations: AllocationTable, shape: Shape, blocked: Mapping[str, int]
) -> Iterator[tuple[Node, int]]:
    """Yield each extent outside ``blocked`` that can hold ``shape``."""
    length = shape["accelerators"]
    speed_class = shape.get("speed_class")
    for node in allocations.nodes.values():
        if node.size < length or not has_speed_class(node, speed_class):
            continue
        blocked_here = blocked.get(node.worker_id, 0)
        for mask in extent_masks(node.size, length):
            if not mask & blocked_here:
                yield node, mask


def multi_worker_block(
    nodes: Sequence[Node], shape: Shape, blocked: Mapping[str, int]
) -> Block | None:
    """Return a block over several workers, ``None`` if ``shape`` doesn't fit.

    Wholly free workers are taken first, in the order of ``nodes``, then one
    extent on each of the others. Each worker's part is a multiple of the
    shape's ``per_worker``.
    """
    granularity = shape.get("per_worker", 1)
    speed_class = shape.get("speed_class")
    remaining = shape["accelerators"]
    block: Block = {}
    partial_nodes = []
    for node in nodes:
        if not has_speed_class(node, speed_class):
            continue
        whole = node.size - node.size % granularity
        if not whole:
            continue
        if blocked.get(node.worker_id, 0) or whole > remaining:
            partial_nodes.append(node)
            continue
        block[node.worker_id] = (1 << whole) - 1
        remaining -= whole
        if not remaining:
            return block
    for node in partial_nodes:
        remaining -= _add_partial(node, remaining, granularity, blocked, block)
        if not remaining:
            return block
    return None


def _add_partial(
    node: Node,
    remaining: int,
    granularity: int,
    blocked: Mapping[str, int],
    block: Block,
) -> int:
    """Add the longest extent of ``node`` up to ``remaining``; return its length."""
    usable = ((1 << node.size) - 1) & ~blocked.get(node.worker_id, 0)
    length = min(remaining, usable.bit_count())
    length -= length % granularity
    while length > 0:
        mask = best_extent(node.size, length, usable)
        if mask:
            block[node.worker_id] = mask
            return length
        length -= granularity
    return 0


def best_fit_block(
    allocations: AllocationTable, shape: Shape, blocked: Mapping[str, int]
) -> Block | None:
    """Return the block in the domain with the fewest unblocked accelerators.

    ``None`` means that ``shape`` fits in no domain.
    """
    if shape["within"] == "worker":
        return _best_fit_extent(allocations, shape, blocked)
    best = None
    least_unblocked = float("inf")
    for nodes in allocations.domains(shape["within"]).values():
        block = multi_worker_block(nodes, shape, blocked)
        if block is None:
            continue
        unblocked = 0
        for node in nodes:
            full = (1 << node.size) - 1
            unblocked += (full & ~blocked.get(node.worker_id, 0)).bit_count()
        if unblocked < least_unblocked:
            best = block
            least_unblocked = unblocked
    return best


def _best_fit_extent(
    allocations: AllocationTable, shape: Shape, blocked: Mapping[str, int]
) -> Block | None:
    length = shape["accelerators"]
    speed_class = shape.get("speed_class")
    best = None
    least_unblocked = float("inf")
    for node in allocations.nodes.values():
        if node.size < length or not has_speed_class(node, speed_class):
            continue
        usable = ((1 << node.size) - 1) & ~blocked.get(node.worker_id, 0)
        unblocked = usable.bit_count()
        if unblocked < length or unblocked >= least_unblocked:
            continue
        mask = best_extent(node.size, length, usable)
        if mask:
            best = {node.worker_id: mask}
            least_unblocked = unblocked
    return best


def describe_shape(shape: Shape) -> str:
    """Return a description of ``shape`` for messages."""
    within = shape["within"].replace("_", " ")
    text = f"{shape['accelerators']} accelerators within a {within}"
    if "speed_class" in shape:
        text += f" of speed class {shape['speed_class']}"
    return text
