"""Concrete accelerators that can hold a guaranteed shape."""

from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from sequoiachute.coordination.placement.board import Board, Node
from sequoiachute.coordination.placement.extents import best_run, run_masks
from sequoiachute.protocol.catalogue import Catalogue, Shape

Block = dict[str, int]  # worker_id to mask of accelerators


class ShapeKey(NamedTuple):
    """One guaranteed shape: its client account and place in the catalogue."""

    account: str
    index: int


class Guarantee(NamedTuple):
    """A guaranteed shape and the priority of its account's class."""

    key: ShapeKey
    shape: Shape
    priority: int


def guarantees_of(catalogue: Catalogue) -> dict[ShapeKey, Guarantee]:
    """Return every guaranteed shape of ``catalogue``."""
    found = {}
    for name in sorted(catalogue["accounts"]):
        account = catalogue["accounts"][name]
        job_class = catalogue["classes"].get(account["job_class"])
        priority = job_class["priority"] if job_class else 0
        for index, shape in enumerate(account.get("guarantees", [])):
            key = ShapeKey(name, index)
            found[key] = Guarantee(key, shape, priority)
    return found


def contains(block: Block, parts: Mapping[str, int]) -> bool:
    """Return whether every accelerator of ``parts`` lies in ``block``."""
    return all(not mask & ~block.get(name, 0) for name, mask in parts.items())


def overlaps(block: Block, parts: Mapping[str, int]) -> bool:
    """Return whether ``block`` and ``parts`` share an accelerator."""
    return any(mask & block.get(name, 0) for name, mask in parts.items())


def usable_for(node: Node, speed_class: str | None) -> bool:
    """Return whether ``node`` is of ``speed_class``; ``None`` means any."""
    return speed_class is None or node.worker.speed_class == speed_class


def single_blocks(
    board: Board, shape: Shape, blocked: Mapping[str, int]
) -> Iterator[tuple[Node, int]]:
    """Yield the runs of one worker that can hold ``shape``."""
    length = shape["accelerators"]
    wanted = shape.get("speed_class")
    for node in board.nodes.values():
        if node.size < length or not usable_for(node, wanted):
            continue
        taken = blocked.get(node.worker_id, 0)
        for mask in run_masks(node.size, length):
            if not mask & taken:
                yield node, mask


def spread_block(
    nodes: Sequence[Node], shape: Shape, blocked: Mapping[str, int]
) -> Block | None:
    """Return a block over several workers, ``None`` if ``shape`` doesn't fit.

    Whole workers come first, in the order of ``nodes``; what is left is one
    run. Parts are multiples of the shape's ``per_worker``.
    """
    unit = shape.get("per_worker", 1)
    wanted = shape.get("speed_class")
    left = shape["accelerators"]
    block: Block = {}
    partial = []
    for node in nodes:
        if not usable_for(node, wanted):
            continue
        whole = node.size - node.size % unit
        if not whole:
            continue
        if blocked.get(node.worker_id, 0) or whole > left:
            partial.append(node)
            continue
        block[node.worker_id] = (1 << whole) - 1
        left -= whole
        if not left:
            return block
    for node in partial:
        left -= _take_part(node, left, unit, blocked, block)
        if not left:
            return block
    return None


def _take_part(
    node: Node, left: int, unit: int, blocked: Mapping[str, int], block: Block
) -> int:
    """Add the longest run of ``node`` up to ``left``; return its length."""
    usable = ((1 << node.size) - 1) & ~blocked.get(node.worker_id, 0)
    length = min(left, usable.bit_count())
    length -= length % unit
    while length > 0:
        mask = best_run(node.size, length, usable)
        if mask:
            block[node.worker_id] = mask
            return length
        length -= unit
    return 0


def tightest_block(
    board: Board, shape: Shape, blocked: Mapping[str, int]
) -> Block | None:
    """Return the block that leaves the least space broken, or ``None``."""
    if shape["within"] == "worker":
        return _tightest_run(board, shape, blocked)
    best = None
    least = float("inf")
    for nodes in board.domains(shape["within"]).values():
        block = spread_block(nodes, shape, blocked)
        if block is None:
            continue
        open_left = 0
        for node in nodes:
            full = (1 << node.size) - 1
            open_left += (full & ~blocked.get(node.worker_id, 0)).bit_count()
        if open_left < least:
            best = block
            least = open_left
    return best


def _tightest_run(
    board: Board, shape: Shape, blocked: Mapping[str, int]
) -> Block | None:
    length = shape["accelerators"]
    wanted = shape.get("speed_class")
    best = None
    least = float("inf")
    for node in board.nodes.values():
        if node.size < length or not usable_for(node, wanted):
            continue
        usable = ((1 << node.size) - 1) & ~blocked.get(node.worker_id, 0)
        open_left = usable.bit_count()
        if open_left < length or open_left >= least:
            continue
        mask = best_run(node.size, length, usable)
        if mask:
            best = {node.worker_id: mask}
            least = open_left
    return best


def describe_shape(shape: Shape) -> str:
    """Return ``shape`` in words."""
    within = shape["within"].replace("_", " ")
    text = f"{shape['accelerators']} accelerators within a {within}"
    if "speed_class" in shape:
        text += f" of speed class {shape['speed_class']}"
    return text
