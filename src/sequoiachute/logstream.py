"""A log stream that never blocks the process and has a bounded volume."""

import os
from collections import deque

import eventlet

from sequoiachute import clock

# The heaviest day played wrote under 40 lines a second at one process.
LINES_PER_SECOND = 200.0
BURST_LINES = 2000.0
QUEUED_LINES = 4000  # under 2 MB of lines that the reader has not taken yet
RETRY_SECONDS = 0.05


class BoundedStream:
    """Writes whole lines to a file descriptor, as the reader takes them.

    Lines over the rate, and lines that find the queue full, are dropped and
    counted; the next line that is written is preceded by their number.

    Parameters
    ----------
    descriptor : int
        Made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._tokens = BURST_LINES
        self._filled_at = clock.now()
        self._unreported = 0
        self._is_waiting = False
        self.dropped = 0

    def write(self, text: str) -> None:
        """Take one line."""
        if not self._may_write():
            self.dropped += 1
            self._unreported += 1
            return
        if self._unreported:
            note = '{"level":"WARNING","message":"lines dropped","count":'
            self._lines.append(f"{note}{self._unreported}}}\n".encode())
            self._unreported = 0
        self._lines.append(text.encode(errors="replace"))

    def flush(self) -> None:
        """Write what the reader takes now; the rest follows by itself."""
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._flush_later()
                return
            except OSError:
                # Nobody reads the log any more; there is nowhere to say so.
                self.dropped += len(self._lines)
                self._lines.clear()
                return
            if written < len(line):
                self._lines[0] = line[written:]
                continue
            self._lines.popleft()

    def _may_write(self) -> bool:
        now = clock.now()
        gained = (now - self._filled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1 or len(self._lines) >= QUEUED_LINES:
            return False
        self._tokens -= 1
        return True

    def _flush_later(self) -> None:
        if not self._is_waiting:
            self._is_waiting = True
            eventlet.spawn_after(RETRY_SECONDS, self._flush_again)

    def _flush_again(self) -> None:
        self._is_waiting = False
        self.flush()
