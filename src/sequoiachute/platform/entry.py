"""Entry process on the users' platform."""

from collections.abc import Iterable
from socket import socket
from typing import Any
from uuid import uuid4

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.control import ControlPlane
from sequoiachute.coordination.store.group import member_name
from sequoiachute.platform.jobs import JobsApp
from sequoiachute.platform.machines import AdviceService, CloudMachines
from sequoiachute.platform.operator import apply_operator_records
from sequoiachute.platform.processes import LiveSettings, serve_metrics, start_process
from sequoiachute.platform.replies import HttpReply, StartResponse, write_reply
from sequoiachute.platform.settings import ProcessSettings
from sequoiachute.platform.store import MetadataStore
from sequoiachute.state.operations import Operations
from sequoiachute.status import ExitStatus
from sequoiachute.transport.listener import split_address
from sequoiachute.transport.rpc import RpcPool, RpcServer
from sequoiachute.transport.webserver import WebServer

# The load balancer stops routing after two failed probes, one second apart.
BALANCER_NOTICE_SECONDS = 2.5
# For requests in progress; with the notice within the 6 s before the process is killed.
STOP_TIMEOUT_SECONDS = 2.5


def run(settings: ProcessSettings, listener: socket, listening_at: float) -> ExitStatus:
    """Run an entry until SIGTERM; return the exit status.

    ``listener`` listens on the front address since ``listening_at``, in clock time.
    """
    live = LiveSettings(settings)
    signals = start_process("entry", settings, live, listening_at)
    operations = Operations()
    member = member_name(settings.inner_address, uuid4().hex[:8])
    store = MetadataStore(settings.store, settings.store_limits)
    control = ControlPlane(
        member,
        settings.inner_address,
        store,
        RpcPool(),
        live.seeds,
        operations,
        lambda records: apply_operator_records(records, operations),
        AdviceService(settings.advice) if settings.advice else None,
        CloudMachines(settings.machines, store) if settings.machines else None,
        settings.worker_times,
    )
    control.run()
    rpc = RpcServer(control.handlers())
    rpc.start(settings.ip, settings.inner_port)
    front = split_address(settings.front)
    web = WebServer(JobsApp(control), *front, listener=listener)
    web.start()
    ready = WebServer(_create_ready_app(control), *split_address(settings.ready))
    ready.start()
    serve_metrics(control.metrics, settings)
    signals.wait()
    logger.bind(node=settings.name).info("stopping")
    control.leave()
    web.begin_stop()
    clock.sleep(BALANCER_NOTICE_SECONDS)
    answered = web.stop(STOP_TIMEOUT_SECONDS)
    logger.bind(node=settings.name, answered=answered).info("stopped")
    return ExitStatus.OK


def _create_ready_app(control: ControlPlane) -> Any:
    def serve(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        return write_reply(HttpReply(200 if control.is_ready else 503), start_response)

    return serve
