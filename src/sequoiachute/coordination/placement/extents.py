"""Runs of adjacent accelerators inside one worker, as bit masks.

Bit ``i`` of a mask stands for the accelerator with index ``i``. Runs are
aligned as in a buddy allocator: a run of ``n`` starts at a multiple of the
smallest power of two that is not below ``n``, so that runs of these sizes
never shatter the space of a larger one needlessly.
"""

from collections.abc import Iterable
from functools import lru_cache

CACHED_MASKS = 65_536


def mask_of(indices: Iterable[int]) -> int:
    """Return the mask of the accelerators ``indices``."""
    mask = 0
    for index in indices:
        mask |= 1 << index
    return mask


@lru_cache(CACHED_MASKS)
def indices_of(mask: int) -> tuple[int, ...]:
    """Return the indices of the accelerators in ``mask``, ascending."""
    return tuple(i for i in range(mask.bit_length()) if mask >> i & 1)


@lru_cache(CACHED_MASKS)
def run_masks(size: int, length: int) -> tuple[int, ...]:
    """Return every aligned run of ``length`` in a worker of ``size``."""
    if not 0 < length <= size:
        return ()
    step = 1 << (length - 1).bit_length()
    run = (1 << length) - 1
    return tuple(run << start for start in range(0, size - length + 1, step))


@lru_cache(CACHED_MASKS)
def best_run(size: int, length: int, usable: int) -> int:
    """Return the run in ``usable`` that breaks the smallest block, or 0."""
    chosen = 0
    least = size + 1
    for run in run_masks(size, length):
        if run & usable != run:
            continue
        broken = block_around(size, run, usable)
        if broken < least:
            chosen = run
            least = broken
    return chosen


@lru_cache(CACHED_MASKS)
def pack_extents(size: int, length: int, usable: int) -> tuple[int, ...]:
    """Return as many disjoint runs of ``length`` in ``usable`` as fit."""
    runs = []
    while run := best_run(size, length, usable):
        runs.append(run)
        usable &= ~run
    return tuple(runs)


@lru_cache(CACHED_MASKS)
def largest_run(size: int, usable: int) -> int:
    """Return the length of the longest run of adjacent bits in ``usable``."""
    longest = 0
    length = 0
    for index in range(size):
        length = length + 1 if usable >> index & 1 else 0
        longest = max(longest, length)
    return longest


@lru_cache(CACHED_MASKS)
def block_around(size: int, run: int, usable: int) -> int:
    """Return the size of the largest aligned usable block that holds ``run``."""
    block = run.bit_count()
    length = 1 << (block - 1).bit_length()
    while length <= size:
        start = (run & -run).bit_length() - 1
        around = ((1 << length) - 1) << (start - start % length)
        if around & usable != around:
            break
        block = length
        length *= 2
    return block
