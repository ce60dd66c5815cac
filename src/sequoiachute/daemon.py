"""Runs an entry instance or an agent until a stop signal."""

import os

from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.agent import Agent
from sequoiachute.coordination.entry import Entry
from sequoiachute.coordination.placement import SharingPolicy
from sequoiachute.errors import ListenError
from sequoiachute.http.app import create_entry_app
from sequoiachute.logs import configure_logging
from sequoiachute.settings import AgentSettings, EntrySettings
from sequoiachute.signals import StopSignals
from sequoiachute.status import ExitStatus
from sequoiachute.transport.backend import BackendClient
from sequoiachute.transport.listener import split_address
from sequoiachute.transport.logservice import LogServiceClient
from sequoiachute.transport.rpc import RpcPool, RpcServer
from sequoiachute.transport.webserver import WebServer


def run_entry(settings: EntrySettings) -> ExitStatus:
    """Run an entry instance until SIGTERM or SIGINT; return its exit status."""
    signals = StopSignals()
    signals.install()
    log_client = LogServiceClient(settings.log_service)
    policy = SharingPolicy(settings.fragmentation_weight)
    entry = Entry(settings, log_client, RpcPool(), policy)
    configure_logging(settings.logging, lambda: entry.configuration.offset)
    rpc_server = RpcServer(entry.handlers())
    _start_rpc_server(rpc_server, settings.rpc_address)
    web_server = _create_web_server(settings, entry)
    web_server.start()
    entry.run()
    logger.bind(entry=settings.entry_id).info("entry started")
    signals.wait()
    return _report_stop("entry", stop_entry(settings, entry, web_server))


def run_agent(settings: AgentSettings) -> ExitStatus:
    """Run an agent until SIGTERM or SIGINT; return its exit status."""
    signals = StopSignals()
    signals.install()
    backend = BackendClient(settings.backend_server, settings.connections)
    agent = Agent(settings, RpcPool(), backend)
    configure_logging(settings.logging, lambda: agent.configuration.offset)
    rpc_server = RpcServer(agent.handlers())
    _start_rpc_server(rpc_server, settings.rpc_address)
    agent.run()
    logger.bind(worker=settings.worker_id).info("agent started")
    signals.wait()
    return _report_stop("agent", stop_agent(settings, agent, rpc_server))


def stop_entry(settings: EntrySettings, entry: Entry, web_server: WebServer) -> bool:
    """Stop an entry; return whether every request was answered.

    Readiness fails first, and requests are still served for
    ``leave_grace_seconds`` while the load balancer notices. Then the listener
    closes and requests in progress finish.
    """
    deadline = clock.now() + settings.stop_seconds
    entry.mark_unready()
    web_server.begin_stop()
    clock.sleep(settings.leave_grace_seconds)
    all_answered = web_server.stop(deadline - clock.now())
    return entry.leave(max(0.0, deadline - clock.now())) and all_answered


def stop_agent(settings: AgentSettings, agent: Agent, rpc_server: RpcServer) -> bool:
    """Stop an agent; return whether all its requests and tasks ended."""
    deadline = clock.now() + settings.stop_seconds
    all_ended = agent.leave(settings.stop_seconds)
    return rpc_server.wait_idle(max(0.0, deadline - clock.now())) and all_ended


def _start_rpc_server(rpc_server: RpcServer, address: str) -> None:
    try:
        rpc_server.start(*split_address(address))
    except OSError as error:
        raise ListenError("rpc_address", address, _describe_os_error(error)) from error


def _create_web_server(settings: EntrySettings, entry: Entry) -> WebServer:
    address = settings.http_address
    app = create_entry_app(entry)
    try:
        return WebServer(app, *split_address(address), settings.http)
    except OSError as error:
        raise ListenError("http_address", address, _describe_os_error(error)) from error


def _describe_os_error(error: OSError) -> str:
    return os.strerror(error.errno) if error.errno else str(error)


def _report_stop(role: str, all_ended: bool) -> ExitStatus:
    if all_ended:
        logger.info("{} stopped", role)
        return ExitStatus.OK
    logger.warning("{} stopped with work in progress", role)
    return ExitStatus.ERROR
