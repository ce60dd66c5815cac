import socket
from threading import Thread

import pytest
from eventlet import hubs

from sequoiachute.transport import backend as backend_module
from sequoiachute.transport.backend import BackendClient

COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Attempt-Id: a-1\r\n\r\nproof"
TRUNCATED = COMPLETE.replace(b": 5", b": 50")
NO_LENGTH = COMPLETE.replace(b"Content-Length: 5\r\n", b"")
OTHER_ATTEMPT = COMPLETE.replace(b"a-1", b"a-0")
TOO_LARGE = COMPLETE.replace(b": 5", b": 99999999")
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nproof\r\n0\r\n\r\n"
)
TRUNCATED_CHUNKED = CHUNKED[:-5]


@pytest.fixture
def serve_reply():
    """Return a function that serves one fixed reply to every connection."""
    hubs.use_hub()
    listeners = []

    def start(reply):
        listener = socket.create_server(("127.0.0.1", 0))
        listeners.append(listener)
        Thread(target=serve_connections, args=(listener, reply), daemon=True).start()
        return BackendClient(f"http://127.0.0.1:{listener.getsockname()[1]}", 4)

    yield start
    for listener in listeners:
        listener.close()


def serve_connections(listener, reply):
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        connection.recv(65536)
        connection.sendall(reply)
        connection.close()


def execute(client, timeout=3.0):
    return client.execute("r-1", "a-1", "text/plain", b"photo", timeout)


@pytest.mark.parametrize("reply", [COMPLETE, CHUNKED])
def test_complete_answer_is_returned(serve_reply, reply):
    assert execute(serve_reply(reply)).unwrap().body == b"proof"


@pytest.mark.parametrize(
    "reply",
    [
        TRUNCATED,
        NO_LENGTH,
        OTHER_ATTEMPT,
        TOO_LARGE,
        TRUNCATED_CHUNKED,
        COMPLETE[:30],
        b"",
    ],
)
def test_invalid_answer_is_an_error_that_may_have_run(serve_reply, reply):
    assert execute(serve_reply(reply)).unwrap_err().delivered


def test_refused_connection_did_not_run(serve_reply):
    client = BackendClient("http://127.0.0.1:9", 4)
    assert not execute(client).unwrap_err().delivered


def test_oversized_answer_without_a_length_is_refused(serve_reply, monkeypatch):
    monkeypatch.setattr(backend_module, "MAX_RESPONSE_BYTES", 4)
    assert execute(serve_reply(CHUNKED)).unwrap_err().delivered
