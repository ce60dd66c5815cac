"""How an agent looks for the placer."""

import pytest
from result import Err

from sequoiachute import clock
from sequoiachute.coordination.hosting.entries import EntryDirectory
from sequoiachute.coordination.hosting.supervisor import Supervisor
from sequoiachute.errors import RpcError
from sequoiachute.protocol.workload import Resources
from standins.control_site import URGENT, ControlSite, Entry
from standins.keyed_store import MemoryKeyedStore
from standins.memory import MemoryProcess
from standins.task_worker import History, MemoryTaskWorker
from tests.control_checks import TAKEOVER_SECONDS, accepted

pytestmark = pytest.mark.usefixtures("paused_clock")

URGENT_START_SECONDS = 0.2  # a fraction of a short urgent job's slack


class DeadEntries:
    """Answers no call and keeps the addresses that were called."""

    def __init__(self):
        self.asked = set()

    def call(self, address, method, request, timeout):
        self.asked.add(address)
        clock.sleep(timeout)
        return Err(RpcError(address, "no answer", False))


@pytest.mark.parametrize("count", [1, 2, 3, 4, 5])
def test_agent_without_a_placer_asks_every_entry_that_it_knows(count):
    caller = DeadEntries()
    entries = tuple(f"10.0.0.{index}:7000" for index in range(count))
    worker = MemoryTaskWorker("worker", Resources(1000, 1000, 1), History())
    directory = EntryDirectory(lambda: entries, MemoryKeyedStore().link())
    Supervisor("host", worker.link(MemoryProcess()), caller, directory).run()
    clock.sleep(10.0)
    assert caller.asked == set(entries)


def replace_entries(site, indices):
    """Remove entries from the network without a sign; add others elsewhere."""
    for index in indices:
        site.entries[index].process.killed = True
        site.network.frozen.add(site.entries[index].address)
        site.entries.append(Entry(site, 7 + index))


def assert_urgent_work_starts(site, seconds):
    entry = len(site.entries) - 1
    urgent = accepted(site, 1.0, queue=URGENT, entry=entry)
    site.run_for(seconds)
    assert [start.task.partition(".")[0] for start in site.history.starts] == [urgent]


@pytest.mark.parametrize("gone", [(0, 1), (0, 1, 2)])
def test_agents_find_a_placer_that_nobody_has_named_to_them(gone):
    """As a435e5c6a0e39b02 of a day on brocach-sched with replace_core twice."""
    site = ControlSite()
    replace_entries(site, gone)
    site.run_for(TAKEOVER_SECONDS)
    assert_urgent_work_starts(site, URGENT_START_SECONDS)


def test_agents_that_do_not_reach_the_store_find_the_placer_by_new_seeds():
    site = ControlSite()
    for agent in site.agents:
        agent.store.unresponsive = True
    replace_entries(site, (0, 1, 2))
    site.seeds = tuple(entry.address for entry in site.entries[3:])
    site.run_for(TAKEOVER_SECONDS)
    assert_urgent_work_starts(site, URGENT_START_SECONDS)


def test_agent_finds_the_placer_behind_many_entries_that_do_not_answer():
    site = ControlSite(entries=6)
    placer = site.placer()
    for index in {0, 1, 2, 3, 4, 5} - {placer}:
        site.entries[index].process.killed = True
        site.network.frozen.add(site.entries[index].address)
    placer_address = site.entries[placer].address
    site.seeds = tuple(sorted(site.seeds, key=lambda seed: seed == placer_address))
    site.kill_agent(0)
    site.workers[0].restart()
    site.restart_agent(0)
    site.run_for(1.0)
    session = site.entries[placer].control._agents.sessions[site.agents[0].address]
    assert session.age() < 1.0
    assert session.lifetime == site.workers[0].lifetime
