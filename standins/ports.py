"""Loopback addresses that no two processes of a test run are given.

A port that is merely free when it is drawn may be drawn again, by the same run
or by one beside it, before its server listens. Each process therefore holds
blocks of ports for as long as it lives: it listens on a block's first port, and
gives out the others once each.
"""

import random
import socket

HOST = "127.0.0.1"
FIRST_PORT = 10_000
# Below the ports that Linux gives to outgoing connections (from 32,768).
LAST_PORT = 32_000
# A run of the tests starts a few dozen servers at a time.
PORTS_PER_BLOCK = 50


class PortBlocks:
    """Blocks of ports that this process holds, and what is left of the last.

    Parameters
    ----------
    draw : random.Random
        Source of the order in which blocks are tried.
    """

    def __init__(self, draw: random.Random) -> None:
        self._draw = draw
        self._guards: list[socket.socket] = []
        self._left: list[int] = []

    def next_address(self) -> str:
        """Return an address that nothing listens on and no run holds."""
        while True:
            if not self._left:
                self._left = self._take_block()
            port = self._left.pop()
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
            return f"{HOST}:{port}"

    def release(self) -> None:
        """Give every block back."""
        for guard in self._guards:
            guard.close()
        self._guards = []
        self._left = []

    def _take_block(self) -> list[int]:
        blocks = list(range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK))
        self._draw.shuffle(blocks)
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
        raise RuntimeError("every block of ports is held; end other test runs")


# The system's randomness: runs side by side must not try the same order.
_BLOCKS = PortBlocks(random.SystemRandom())


def free_address() -> str:
    """Return a loopback address that is this process's alone."""
    return _BLOCKS.next_address()
