"""Extents, aligned ranges of adjacent accelerators in a worker, as bit masks.

Bit ``i`` of a mask stands for the accelerator with index ``i``. Extents are
aligned as in a buddy allocator: one of ``n`` accelerators starts at a multiple
of the smallest power of two that is not below ``n``, so that small extents do
not fragment the space of larger ones needlessly.
"""

from collections.abc import Iterable
from functools import lru_cache

MASK_CACHE_SIZE = 65_536


def mask_of(indices: Iterable[int]) -> int:
    """Return the mask with the bits ``indices`` set."""
    mask = 0
    for index in indices:
        mask |= 1 << index
    return mask


@lru_cache(MASK_CACHE_SIZE)
def indices_of(mask: int) -> tuple[int, ...]:
    """Return the indices of the accelerators in ``mask``, ascending."""
    return tuple(i for i in range(mask.bit_length()) if mask >> i & 1)


@lru_cache(MASK_CACHE_SIZE)
def extent_masks(size: int, length: int) -> tuple[int, ...]:
    """Return every extent of ``length`` in a worker of ``size`` accelerators."""
    if not 0 < length <= size:
        return ()
    step = 1 << (length - 1).bit_length()
    extent = (1 << length) - 1
    return tuple(extent << start for start in range(0, size - length + 1, step))


@lru_cache(MASK_CACHE_SIZE)
def best_extent(size: int, length: int, usable: int) -> int:
    """Return the extent in ``usable`` that splits the smallest block, or 0."""
    best = 0
    least = size + 1
    for extent in extent_masks(size, length):
        if extent & usable != extent:
            continue
        split_size = block_around(size, extent, usable)
        if split_size < least:
            best = extent
            least = split_size
    return best


@lru_cache(MASK_CACHE_SIZE)
def pack_extents(size: int, length: int, usable: int) -> tuple[int, ...]:
    """Return disjoint extents of ``length``, as many as ``usable`` holds."""
    extents = []
    while extent := best_extent(size, length, usable):
        extents.append(extent)
        usable &= ~extent
    return tuple(extents)


@lru_cache(MASK_CACHE_SIZE)
def longest_range(size: int, usable: int) -> int:
    """Return the length of the longest range of adjacent bits in ``usable``."""
    longest = 0
    length = 0
    for index in range(size):
        length = length + 1 if usable >> index & 1 else 0
        longest = max(longest, length)
    return longest


@lru_cache(MASK_CACHE_SIZE)
def block_around(size: int, extent: int, usable: int) -> int:
    """Return the size of the largest aligned usable block around ``extent``."""
    block_size = extent.bit_count()
    length = 1 << (block_size - 1).bit_length()
    while length <= size:
        start = (extent & -extent).bit_length() - 1
        candidate = ((1 << length) - 1) << (start - start % length)
        if candidate & usable != candidate:
            break
        block_size = length
        length *= 2
    return block_size
