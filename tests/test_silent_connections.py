"""Connections that go silent for good, while new ones to the same server work."""

import time
from concurrent.futures import ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Event, Thread

import pytest

from sequoiachute.platform.http import HttpClient, HttpFailure

SHORT_TIMEOUT_SECONDS = 0.3
LONG_TIMEOUT_SECONDS = 20.0  # for answers that come, also on a busy machine
ANSWER_SECONDS = 0.1  # so that calls made together need a connection each


class Handler(BaseHTTPRequestHandler):
    """Does not answer on the connections that the server lists as silent."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        self.server.seen.add(self.client_address)
        if self.client_address in self.server.silent:
            self.server.ended.wait()
            return
        time.sleep(ANSWER_SECONDS)
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *arguments):
        """Write nothing."""


@pytest.fixture
def server():
    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    server.daemon_threads = True
    server.seen, server.silent, server.ended = set(), set(), Event()
    Thread(target=server.serve_forever, daemon=True).start()
    yield server
    server.ended.set()
    server.shutdown()
    server.server_close()


@pytest.mark.parametrize("idle", [2, 8])
def test_calls_after_one_without_an_answer_use_new_connections(server, idle):
    client = HttpClient("{}:{}".format(*server.server_address))

    def call(timeout=LONG_TIMEOUT_SECONDS):
        return client.call("GET", "/", timeout)

    def call_together():
        with ThreadPoolExecutor(idle) as pool:
            calls = [pool.submit(call) for _ in range(idle)]
        return [task.result() for task in calls]

    assert all(response.status == 200 for response in call_together())
    server.silent |= server.seen
    assert isinstance(call(SHORT_TIMEOUT_SECONDS), HttpFailure)
    assert not any(isinstance(answer, HttpFailure) for answer in call_together())
