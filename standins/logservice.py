"""Stand-in for the platform's log service.

It serves streams of records with offsets, kept for a limited time. Faults are
set by ``POST /faults``: ``down`` (refuse all), ``slow_seconds`` (delay every
call), ``lose_replies`` (appends take effect, the reply is not sent) and
``reads_fail``.
"""

import argparse
import os
import time
import warnings

os.environ["EVENTLET_HUB"] = "asyncio"
warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from eventlet import wsgi  # noqa: E402
from eventlet.event import Event  # noqa: E402
from urllib3.util import parse_url  # noqa: E402

from standins.web import query, read_json, reply  # noqa: E402

DEFAULT_RETENTION_SECONDS = 3600.0


class LogService:
    """Streams in memory and the HTTP interface to them.

    Parameters
    ----------
    retention_seconds : float
        Time for which a record is kept.
    """

    def __init__(self, retention_seconds: float) -> None:
        self.retention_seconds = retention_seconds
        self.streams: dict[str, list] = {}
        self.first_offsets: dict[str, int] = {}
        self.faults: dict = {}
        self.appends = 0
        self._read_waiters: dict[str, Event] = {}

    def append(self, stream: str, records: list[str]) -> int:
        entries = self.streams.setdefault(stream, [])
        first = self.first_offsets.setdefault(stream, 0) + len(entries)
        for index, data in enumerate(records):
            entries.append((first + index, time.time(), data))
        self.appends += 1
        waiter = self._read_waiters.pop(stream, None)
        if waiter is not None:
            waiter.send(None)
        return first

    def read(self, stream: str, offset: int, wait: float, limit: int) -> tuple:
        if offset >= self._next_offset(stream) and wait > 0:
            waiter = self._read_waiters.setdefault(stream, Event())
            with eventlet.Timeout(wait, False):
                waiter.wait()
        self._expire(stream)
        entries = self.streams.get(stream, [])
        first = self.first_offsets.get(stream, 0)
        start = max(0, offset - first)
        return (first, self._next_offset(stream), entries[start : start + limit])

    def _next_offset(self, stream: str) -> int:
        return self.first_offsets.get(stream, 0) + len(self.streams.get(stream, []))

    def _expire(self, stream: str) -> None:
        entries = self.streams.get(stream, [])
        expired_before = time.time() - self.retention_seconds
        while entries and entries[0][1] < expired_before:
            entries.pop(0)
            self.first_offsets[stream] += 1

    def serve(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/faults":
            self.faults = read_json(environ)
            return reply(start_response, 200, {})
        if path == "/stats":
            return reply(start_response, 200, {"appends": self.appends})
        return self._serve_stream(environ, start_response, path.split("/")[2])

    def _serve_stream(self, environ, start_response, stream):
        faults = self.faults
        if faults.get("down"):
            return reply(start_response, 503, {})
        eventlet.sleep(faults.get("slow_seconds", 0))
        if environ["REQUEST_METHOD"] == "POST":
            offset = self.append(stream, read_json(environ))
            if faults.get("lose_replies"):
                return reply(start_response, 504, {})
            return reply(start_response, 200, offset)
        if faults.get("reads_fail"):
            return reply(start_response, 503, {})
        fields = query(environ)
        page = self.read(
            stream, int(fields["from"]), float(fields["wait"]), int(fields["limit"])
        )
        return reply(start_response, 200, page)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--retention", type=float, default=DEFAULT_RETENTION_SECONDS)
    options = parser.parse_args()
    url = parse_url(f"http://{options.listen}")
    service = LogService(options.retention)
    listener = eventlet.listen((url.host, url.port))
    wsgi.server(listener, service.serve, log_output=False, max_size=4096)


if __name__ == "__main__":
    main()
