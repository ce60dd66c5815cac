"""Entry and agent processes on the users' platform."""

import os
from collections.abc import Iterable
from socket import socket
from typing import Any
from uuid import uuid4

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.control import ControlPlane
from sequoiachute.coordination.hosting.supervisor import Supervisor
from sequoiachute.errors import SettingsError
from sequoiachute.logs import configure_logging
from sequoiachute.logstream import BoundedStream
from sequoiachute.platform.heartbeats import HeartbeatsApp
from sequoiachute.platform.jobs import HttpReply, JobsApp, StartResponse, write_reply
from sequoiachute.platform.machines import AdviceService, CloudMachines
from sequoiachute.platform.operator import apply_operator_records
from sequoiachute.platform.settings import ProcessSettings, read_settings
from sequoiachute.platform.store import MetadataStore
from sequoiachute.platform.worker import RpcWorker
from sequoiachute.settings import LogSettings
from sequoiachute.signals import StopSignals
from sequoiachute.state.exposition import CONTENT_TYPE, format_samples
from sequoiachute.state.metrics import Metrics
from sequoiachute.state.operations import Operations
from sequoiachute.status import ExitStatus
from sequoiachute.transport.listener import split_address
from sequoiachute.transport.rpc import RpcPool, RpcServer
from sequoiachute.transport.webserver import WebServer

METRICS_PORT = 9464  # keep in step with deploy/system.toml
# The load balancer stops routing after two failed probes, one second apart.
BALANCER_NOTICE_SECONDS = 2.5
# For requests in progress; with the notice within the 6 s before the process is killed.
STOP_TIMEOUT_SECONDS = 2.5


def run_entry(settings: ProcessSettings, listener: socket) -> ExitStatus:
    """Run an entry until SIGTERM; return the exit status.

    ``listener`` listens on the front address.
    """
    signals = _start_process("entry", settings)
    operations = Operations()
    member = f"{settings.inner_address}/{uuid4().hex[:8]}"
    store = MetadataStore(settings.store)
    control = ControlPlane(
        member,
        settings.inner_address,
        store,
        RpcPool(),
        settings.inner_seeds,
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
    _serve_metrics(control.metrics, settings)
    signals.wait()
    logger.bind(node=settings.name).info("stopping")
    control.leave()
    web.begin_stop()
    clock.sleep(BALANCER_NOTICE_SECONDS)
    answered = web.stop(STOP_TIMEOUT_SECONDS)
    logger.bind(node=settings.name, answered=answered).info("stopped")
    return ExitStatus.OK


def run_agent(settings: ProcessSettings, listener: socket) -> ExitStatus:
    """Run an agent until SIGTERM; return the exit status.

    ``listener`` listens on the control address.
    """
    signals = _start_process("agent", settings)
    supervisor = Supervisor(
        settings.ip, RpcWorker(settings.worker), RpcPool(), settings.inner_seeds
    )
    control = split_address(settings.control)
    web = WebServer(HeartbeatsApp(supervisor), *control, listener=listener)
    web.start()
    supervisor.run()
    _serve_metrics(supervisor.metrics, settings)
    signals.wait()
    logger.bind(node=settings.name).info("stopped")
    return ExitStatus.OK


def _start_process(role: str, settings: ProcessSettings) -> StopSignals:
    signals = StopSignals()
    signals.install(reload=lambda: _log_settings_change(settings))
    configure_logging(LogSettings(format="json"), stream=BoundedStream(1))
    log = logger.bind(node=settings.name, zone=settings.zone, pid=os.getpid())
    log.info("{} started", role)
    return signals


def _log_settings_change(settings: ProcessSettings) -> None:
    """Log whether the settings file has changed; only a restart applies it."""
    try:
        changed = read_settings() != settings
    except SettingsError as error:
        logger.bind(node=settings.name).error("settings not reloaded: {}", error)
        return
    logger.bind(node=settings.name, changed=changed).info("settings read again")


def _serve_metrics(metrics: Metrics, settings: ProcessSettings) -> None:
    def serve(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        body = format_samples(metrics.samples(clock.now())).encode()
        headers = [("Content-Type", CONTENT_TYPE), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]

    WebServer(serve, settings.ip, METRICS_PORT).start()


def _create_ready_app(control: ControlPlane) -> Any:
    def serve(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        return write_reply(HttpReply(200 if control.is_ready else 503), start_response)

    return serve
