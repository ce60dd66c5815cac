"""Running an entry instance or an agent until it is told to stop."""

import signal
from collections.abc import Callable

from eventlet.event import Event
from loguru import logger

from sequoiachute.coordination.agent import Agent
from sequoiachute.coordination.entry import Entry
from sequoiachute.coordination.placement import FirstFitPolicy
from sequoiachute.http.app import create_entry_app
from sequoiachute.logs import configure_logging
from sequoiachute.settings import AgentSettings, EntrySettings
from sequoiachute.status import ExitStatus
from sequoiachute.transport.backend import BackendClient
from sequoiachute.transport.logservice import LogServiceClient
from sequoiachute.transport.rpc import RpcPool, RpcServer
from sequoiachute.transport.web import WebServer


def run_entry(settings: EntrySettings) -> ExitStatus:
    """Run an entry instance until SIGTERM; return how it stopped."""
    configure_logging(settings.logging)
    log = LogServiceClient(settings.log_service)
    entry = Entry(settings, log, RpcPool(), FirstFitPolicy())
    rpc = RpcServer(entry.handlers())
    rpc.start(*split_address(settings.rpc_address))
    web = WebServer(create_entry_app(entry), *split_address(settings.http_address))
    web.start()
    entry.run()
    logger.bind(entry=settings.entry_id).info("entry started")
    return _stop_on_signal(lambda: entry.leave(settings.stop_seconds))


def run_agent(settings: AgentSettings) -> ExitStatus:
    """Run an agent until SIGTERM; return how it stopped."""
    configure_logging(settings.logging)
    backend = BackendClient(settings.backend_server, settings.connections)
    agent = Agent(settings, RpcPool(), backend)
    rpc = RpcServer(agent.handlers())
    rpc.start(*split_address(settings.rpc_address))
    agent.run()
    logger.bind(worker=settings.worker_id).info("agent started")
    return _stop_on_signal(lambda: agent.leave(settings.stop_seconds))


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and port of ``address``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _stop_on_signal(leave: Callable[[], bool]) -> ExitStatus:
    """Wait for SIGTERM or SIGINT, leave, and end at once on a second one."""
    stopping = Event()

    def stop(number: int, frame: object) -> None:
        if stopping.ready():
            raise SystemExit(ExitStatus.INTERRUPTED)
        stopping.send(number)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    stopping.wait()
    logger.info("stopping")
    if leave():
        return ExitStatus.OK
    logger.warning("stopped with work in progress")
    return ExitStatus.ERROR
