"""Ports of test runs side by side."""

import random

import pytest

from standins import cluster
from standins.cluster import Cluster
from standins.ports import PORTS_PER_BLOCK, PortBlocks


@pytest.fixture
def blocks():
    """Return two runs that try blocks in the same order."""
    runs = [PortBlocks(random.Random(1)), PortBlocks(random.Random(1))]
    yield runs
    for run in runs:
        run.release()


def test_no_address_is_given_twice_before_its_server_listens(blocks):
    drawn = [run.next_address() for _ in range(2 * PORTS_PER_BLOCK) for run in blocks]
    assert len(set(drawn)) == len(drawn)


def test_block_is_free_again_after_its_run(blocks):
    first = blocks[0].next_address()
    blocks[0].release()
    assert blocks[1].next_address() == first


@pytest.mark.processes
def test_failed_start_ends_what_it_began_and_names_who_ended(monkeypatch):
    taken = cluster.free_address()
    monkeypatch.setattr(cluster, "free_address", lambda: taken)
    started = Cluster(("brocach",), workers=1, entries=1)
    with pytest.raises(RuntimeError, match="has ended"), started:
        pass
    everyone = [started.log, *started.entries, *started.agents, *started.workers]
    assert all(process.popen.poll() is not None for process in everyone)
