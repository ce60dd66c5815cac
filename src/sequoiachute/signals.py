"""Stop signals: the first SIGTERM or SIGINT stops cleanly, the second exits."""

import os
import signal
from collections.abc import Callable

from eventlet import hubs
from eventlet.event import Event
from loguru import logger

from sequoiachute.status import ExitStatus

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignals:
    """Waits for the first signal that asks the process to stop.

    The handlers are registered with the event loop of the hub: a handler of the
    ``signal`` module would set the event but not wake an idle loop before its
    next timer.
    """

    def __init__(self) -> None:
        self._stop_requested = Event()

    def install(self, reload: Callable[[], None] | None = None) -> None:
        """Install the signal handlers; call it before the process does any work.

        SIGHUP calls ``reload``; without ``reload`` it ends the process, as by default.
        """
        loop = hubs.get_hub().loop
        if reload is not None:
            loop.add_signal_handler(signal.SIGHUP, reload)
        for number in _STOP_SIGNALS:
            loop.add_signal_handler(number, self._handle_stop_signal, number)

    def wait(self) -> None:
        """Wait for the first stop signal."""
        self._stop_requested.wait()

    def _handle_stop_signal(self, number: int) -> None:
        if not self._stop_requested.ready():
            self._stop_requested.send(number)
            return
        logger.warning("exiting at once: second stop signal, number {}", number)
        os._exit(ExitStatus.INTERRUPTED)
