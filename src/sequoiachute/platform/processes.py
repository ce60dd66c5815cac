"""What entry and agent processes have in common on the users' platform."""

import os
from collections.abc import Iterable
from typing import Any

from loguru import logger

from sequoiachute import clock
from sequoiachute.errors import SettingsError
from sequoiachute.logs import configure_logging
from sequoiachute.logstream import BoundedStream
from sequoiachute.platform.replies import StartResponse
from sequoiachute.platform.settings import ProcessSettings, read_settings
from sequoiachute.settings import LogSettings
from sequoiachute.signals import StopSignals
from sequoiachute.state.exposition import CONTENT_TYPE, format_samples
from sequoiachute.state.metrics import Metrics
from sequoiachute.transport.webserver import WebServer

METRICS_PORT = 9464  # keep in step with deploy/system.toml
SEEDS_AGE_SECONDS = 1.0  # after which the settings are read again for them


class LiveSettings:
    """The settings file as it changes; only its seeds apply without a restart."""

    def __init__(self, settings: ProcessSettings) -> None:
        self._started_with = settings
        self._newest = settings
        self._read_at = clock.now()

    def seeds(self) -> tuple[str, ...]:
        """Return the RPC addresses of the seed machines.

        The file may change without a signal, so an old reading is renewed.
        """
        if clock.now() >= self._read_at + SEEDS_AGE_SECONDS:
            self.read()
        return self._newest.inner_seeds

    def services(self) -> frozenset[str]:
        """Return the service of the worker on this machine, if it has one."""
        return frozenset((self._newest.service,)) - {""}

    def read(self) -> None:
        """Read the file and log what has changed; keep the last reading on errors."""
        self._read_at = clock.now()
        log = logger.bind(node=self._started_with.name)
        try:
            newest = read_settings()
        except SettingsError as error:
            log.error("settings not read again: {}", error)
            return
        previous, self._newest = self._newest, newest
        if newest != previous:
            needs_restart = newest._replace(seeds=()) != self._started_with._replace(
                seeds=()
            )
            log = log.bind(seeds=newest.seeds, needs_restart=needs_restart)
            log.info("settings changed")


def start_process(
    role: str, settings: ProcessSettings, live: LiveSettings, listening_at: float
) -> StopSignals:
    """Configure logging and signals, and log the start.

    ``listening_at`` is when the process began to listen, in clock time.
    """
    signals = StopSignals()
    signals.install(reload=live.read)
    configure_logging(LogSettings(format="json"), stream=BoundedStream(1))
    log = logger.bind(node=settings.name, zone=settings.zone, pid=os.getpid())
    loading_seconds = clock.now() - listening_at
    log.bind(listening_for=round(loading_seconds, 3)).info("{} started", role)
    return signals


def serve_metrics(metrics: Metrics, settings: ProcessSettings) -> None:
    """Serve the process's own metrics as text."""

    def serve(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        body = format_samples(metrics.samples(clock.now())).encode()
        headers = [("Content-Type", CONTENT_TYPE), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]

    WebServer(serve, settings.ip, METRICS_PORT).start()
