"""How an agent looks for the placer."""

import pytest
from result import Err

from sequoiachute import clock
from sequoiachute.coordination.hosting.supervisor import Supervisor
from sequoiachute.errors import RpcError
from sequoiachute.protocol.workload import Resources
from standins.memory import MemoryProcess
from standins.task_worker import History, MemoryTaskWorker

pytestmark = pytest.mark.usefixtures("paused_clock")


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
    Supervisor("host", worker.link(MemoryProcess()), caller, entries).run()
    clock.sleep(10.0)
    assert caller.asked == set(entries)
