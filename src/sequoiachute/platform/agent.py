"""Agent process on the users' platform."""

from socket import socket

from loguru import logger

from sequoiachute.coordination.hosting.entries import EntryDirectory
from sequoiachute.coordination.hosting.supervisor import Supervisor
from sequoiachute.platform.heartbeats import HeartbeatsApp
from sequoiachute.platform.processes import LiveSettings, serve_metrics, start_process
from sequoiachute.platform.settings import ProcessSettings
from sequoiachute.platform.store import MetadataStore
from sequoiachute.platform.worker import RpcWorker
from sequoiachute.status import ExitStatus
from sequoiachute.transport.listener import split_address
from sequoiachute.transport.rpc import RpcPool
from sequoiachute.transport.webserver import WebServer


def run(settings: ProcessSettings, listener: socket, listening_at: float) -> ExitStatus:
    """Run an agent until SIGTERM; return the exit status.

    ``listener`` listens on the control address since ``listening_at``, in clock time.
    """
    live = LiveSettings(settings)
    signals = start_process("agent", settings, live, listening_at)
    entries = EntryDirectory(live.seeds, MetadataStore(settings.store))
    worker = RpcWorker(settings.worker)
    supervisor = Supervisor(settings.ip, worker, RpcPool(), entries, live.services)
    control = split_address(settings.control)
    web = WebServer(HeartbeatsApp(supervisor), *control, listener=listener)
    web.start()
    supervisor.run()
    serve_metrics(supervisor.metrics, settings)
    signals.wait()
    logger.bind(node=settings.name).info("stopped")
    return ExitStatus.OK
