"""Allocates loopback addresses that are unique among concurrent test runs.

A port that is merely free when it is drawn may be drawn again, by the same run or
a concurrent one, before its server listens. Each process therefore reserves blocks
of ports for its lifetime: it listens on a block's first port and allocates each of
the others once.
"""

import random
import socket

HOST = "127.0.0.1"
FIRST_PORT = 10_000
# Below the ephemeral ports of Linux, which start at 32,768.
LAST_PORT = 32_000
# A test run has a few dozen servers at a time.
PORTS_PER_BLOCK = 50


class PortBlocks:
    """The blocks of ports that this process holds.

    Parameters
    ----------
    rng : random.Random
        Determines the order in which blocks are tried.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._guards: list[socket.socket] = []
        self._unallocated: list[int] = []

    def next_address(self) -> str:
        """Return a free address that no other run holds, each address once.

        Raises
        ------
        RuntimeError
            If other runs hold every block.
        """
        while True:
            if not self._unallocated:
                self._unallocated = self._reserve_block()
            port = self._unallocated.pop()
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
            return f"{HOST}:{port}"

    def release(self) -> None:
        """Release every block."""
        for guard in self._guards:
            guard.close()
        self._guards = []
        self._unallocated = []

    def _reserve_block(self) -> list[int]:
        blocks = list(range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK))
        self._rng.shuffle(blocks)
        for first in blocks:
            guard = socket.socket()
            try:
                guard.bind((HOST, first))
            except OSError:
                guard.close()
                continue
            guard.listen()
            self._guards.append(guard)
            return list(range(first + 1, first + PORTS_PER_BLOCK))
        raise RuntimeError(
            f"every block of {PORTS_PER_BLOCK} ports from {FIRST_PORT} to {LAST_PORT} "
            "is held; end other test runs"
        )


# Not seeded, so that concurrent runs don't try the blocks in the same order.
_BLOCKS = PortBlocks(random.SystemRandom())


def free_address() -> str:
    """Return a loopback address that is reserved for this process."""
    return _BLOCKS.next_address()
