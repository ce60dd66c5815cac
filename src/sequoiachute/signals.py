"""SIGTERM and SIGINT: the first asks to stop, the second ends at once."""

import os
import signal
from collections.abc import Callable

from eventlet import hubs
from eventlet.event import Event
from loguru import logger

from sequoiachute.status import ExitStatus

_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignals:
    """Waits for the first signal that asks the process to stop.

    The handlers run in the event loop of the hub: a handler of the ``signal``
    module would set the event, yet leave an idle loop asleep until its next
    timer.
    """

    def __init__(self) -> None:
        self._asked = Event()

    def install(self, reload: Callable[[], None] | None = None) -> None:
        """Take over the signals; call it before the process does any work.

        SIGHUP calls ``reload``; without one it ends the process, as usual.
        """
        loop = hubs.get_hub().loop
        if reload is not None:
            loop.add_signal_handler(signal.SIGHUP, reload)
        for number in _SIGNALS:
            loop.add_signal_handler(number, self._take, number)

    def wait(self) -> None:
        """Wait until the process is asked to stop."""
        self._asked.wait()

    def _take(self, number: int) -> None:
        if not self._asked.ready():
            self._asked.send(number)
            return
        logger.warning("ended at once by a second signal")
        os._exit(ExitStatus.INTERRUPTED)
