"""Non-blocking log output with a bounded rate and queue."""

import os
from collections import deque

import eventlet

from sequoiachute import clock

# In the heaviest day of load tried, a process wrote fewer than 40 lines/s.
MAX_LINES_PER_SECOND = 200.0
MAX_BURST_LINES = 2000.0
MAX_QUEUED_LINES = 4000  # unread lines; less than 2 MB
FLUSH_RETRY_SECONDS = 0.05


class BoundedStream:
    """Queues log lines and writes them to a file descriptor without blocking.

    Lines above the rate limit or beyond a full queue are dropped and counted;
    the next accepted line is preceded by a line with their number.

    Parameters
    ----------
    descriptor : int
        File descriptor, set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._tokens = MAX_BURST_LINES
        self._refilled_at = clock.now()
        self._unreported_drops = 0
        self._is_retry_scheduled = False
        self.dropped = 0

    def write(self, text: str) -> None:
        """Queue one line, or drop it if it exceeds the limits."""
        if not self._take_token():
            self.dropped += 1
            self._unreported_drops += 1
            return
        if self._unreported_drops:
            prefix = '{"level":"WARNING","message":"lines dropped","count":'
            self._lines.append(f"{prefix}{self._unreported_drops}}}\n".encode())
            self._unreported_drops = 0
        self._lines.append(text.encode(errors="replace"))

    def flush(self) -> None:
        """Write what the descriptor accepts now and schedule the rest."""
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._flush_later()
                return
            except OSError:
                # The reader is gone, so the loss can't be reported anywhere.
                self.dropped += len(self._lines)
                self._lines.clear()
                return
            if written < len(line):
                self._lines[0] = line[written:]
                continue
            self._lines.popleft()

    def _take_token(self) -> bool:
        now = clock.now()
        refill = (now - self._refilled_at) * MAX_LINES_PER_SECOND
        self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1 or len(self._lines) >= MAX_QUEUED_LINES:
            return False
        self._tokens -= 1
        return True

    def _flush_later(self) -> None:
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            eventlet.spawn_after(FLUSH_RETRY_SECONDS, self._retry_flush)

    def _retry_flush(self) -> None:
        self._is_retry_scheduled = False
        self.flush()
