"""Running an entry or an agent on the platform."""

import os
from collections.abc import Iterable
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
from sequoiachute.transport.rpc import RpcPool, RpcServer
from sequoiachute.transport.webserver import WebServer, split_address

METRICS_PORT = 9464  # also in deploy/system.toml
LEAVE_SECONDS = 2.5  # the balancer takes note after two misses, one second apart
STOP_SECONDS = 2.5  # then what is in progress ends; within the 6 s of grace


def run_entry(settings: ProcessSettings) -> ExitStatus:
    """Run an entry until SIGTERM; return how it stopped."""
    signals = _begin("entry", settings)
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
    )
    control.run()
    rpc = RpcServer(control.handlers())
    rpc.start(settings.ip, settings.inner_port)
    web = WebServer(JobsApp(control), *split_address(settings.front))
    web.start()
    ready = WebServer(_ready_app(control), *split_address(settings.ready))
    ready.start()
    _serve_metrics(control.metrics, settings)
    signals.wait()
    logger.bind(node=settings.name).info("stopping")
    control.leave()
    web.begin_stop()
    clock.sleep(LEAVE_SECONDS)
    answered = web.stop(STOP_SECONDS)
    logger.bind(node=settings.name, answered=answered).info("stopped")
    return ExitStatus.OK


def run_agent(settings: ProcessSettings) -> ExitStatus:
    """Run an agent until SIGTERM; return how it stopped."""
    signals = _begin("agent", settings)
    supervisor = Supervisor(
        settings.ip, RpcWorker(settings.worker), RpcPool(), settings.inner_seeds
    )
    web = WebServer(HeartbeatsApp(supervisor), *split_address(settings.control))
    web.start()
    supervisor.run()
    _serve_metrics(supervisor.metrics, settings)
    signals.wait()
    logger.bind(node=settings.name).info("stopped")
    return ExitStatus.OK


def _begin(role: str, settings: ProcessSettings) -> StopSignals:
    signals = StopSignals()
    signals.install(reload=lambda: _note_reload(settings))
    configure_logging(LogSettings(format="json"), stream=BoundedStream(1))
    log = logger.bind(node=settings.name, zone=settings.zone, pid=os.getpid())
    log.info("{} started", role)
    return signals


def _note_reload(settings: ProcessSettings) -> None:
    """Say what a restart would change; addresses are not taken over meanwhile."""
    try:
        changed = read_settings() != settings
    except SettingsError as error:
        logger.bind(node=settings.name).error("settings kept: {}", error)
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


def _ready_app(control: ControlPlane) -> Any:
    def serve(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        return write_reply(HttpReply(200 if control.is_ready else 503), start_response)

    return serve
