"""Runs many agents in one process, for benchmarks beyond the size of one machine.

The agents are the product's own, each with an RPC server on loopback; their
backend servers are in memory.
"""

import argparse
import os
import warnings

os.environ["EVENTLET_HUB"] = "asyncio"
warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from eventlet.event import Event  # noqa: E402
from loguru import logger  # noqa: E402

from sequoiachute.coordination.agent import Agent  # noqa: E402
from sequoiachute.settings import AgentSettings  # noqa: E402
from sequoiachute.transport.rpc import RpcPool, RpcServer  # noqa: E402
from standins.memory import MemoryBackend  # noqa: E402
from standins.ports import free_address  # noqa: E402

DATA_CENTRES = 7
REGIONS = 2
WORKERS_PER_RACK = 12
EXTRA_ACCELERATOR_EVERY = 8  # about 750 accelerators on 670 workers
START_SPREAD_SECONDS = 1.0  # over which the agents start


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, required=True)
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--entries", nargs="+", required=True)
    options = parser.parse_args()
    logger.remove()
    for index in range(options.first, options.first + options.count):
        _start_agent(index, tuple(options.entries))
        eventlet.sleep(START_SPREAD_SECONDS / options.count)
    Event().wait()


def _start_agent(index: int, entries: tuple[str, ...]) -> None:
    address = free_address()
    host, _, port = address.rpartition(":")
    agent = Agent(create_settings(index, address, entries), RpcPool(), MemoryBackend())
    RpcServer(agent.handlers()).start(host, int(port))
    agent.run()


def create_settings(
    index: int, address: str, entries: tuple[str, ...]
) -> AgentSettings:
    """Return the settings of agent ``index`` at the size expected in two years."""
    data_centre = index % DATA_CENTRES
    index_in_data_centre = index // DATA_CENTRES
    has_extra = index % EXTRA_ACCELERATOR_EVERY == 0
    return AgentSettings(
        worker_id=f"worker-{index}",
        region=f"region-{data_centre % REGIONS}",
        data_centre=f"dc-{data_centre}",
        rack=f"dc-{data_centre}-rack-{index_in_data_centre // WORKERS_PER_RACK}",
        position=index_in_data_centre % WORKERS_PER_RACK,
        rpc_address=address,
        backend_server="http://127.0.0.1:1",
        entries=entries,
        accelerators=2 if has_extra else 1,
        slots=8,
        connections=64,
    )


if __name__ == "__main__":
    main()
