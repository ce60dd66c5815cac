"""Tests of the allocation of ports among concurrent test runs."""

import random

import pytest

from standins import cluster
from standins.cluster import Cluster
from standins.ports import PORTS_PER_BLOCK, PortBlocks


@pytest.fixture
def blocks():
    """Return the allocators of two runs that try blocks in the same order."""
    runs = [PortBlocks(random.Random(1)), PortBlocks(random.Random(1))]
    yield runs
    for run in runs:
        run.release()


def test_concurrent_runs_are_given_distinct_addresses(blocks):
    addresses = [
        run.next_address() for _ in range(2 * PORTS_PER_BLOCK) for run in blocks
    ]
    assert len(set(addresses)) == len(addresses)


def test_released_block_can_be_reserved_again(blocks):
    first = blocks[0].next_address()
    blocks[0].release()
    assert blocks[1].next_address() == first


@pytest.mark.processes
def test_failed_start_ends_every_process_and_names_the_failed_one(monkeypatch):
    shared_address = cluster.free_address()
    monkeypatch.setattr(cluster, "free_address", lambda: shared_address)
    started = Cluster(("brocach",), workers=1, entries=1)
    with pytest.raises(RuntimeError, match="has ended"), started:
        pass
    processes = [started.log, *started.entries, *started.agents, *started.workers]
    assert all(process.popen.poll() is not None for process in processes)
