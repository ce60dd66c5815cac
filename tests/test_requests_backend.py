import socket
from threading import Thread

import pytest
from eventlet import hubs

from sequoiachute.transport import backend as backend_module
from sequoiachute.transport.backend import BackendClient

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Attempt-Id: a-1\r\n\r\nproof"
TRUNCATED = WHOLE.replace(b": 5", b": 50")
NO_LENGTH = WHOLE.replace(b"Content-Length: 5\r\n", b"")
CROSSED = WHOLE.replace(b"a-1", b"a-0")
TOO_LARGE = WHOLE.replace(b": 5", b": 99999999")
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nproof\r\n0\r\n\r\n"
)
CUT_CHUNKED = CHUNKED[:-5]


@pytest.fixture
def serve():
    """Return a function that serves one fixed reply to every connection."""
    hubs.use_hub()
    listeners = []

    def start(data):
        listener = socket.create_server(("127.0.0.1", 0))
        listeners.append(listener)
        Thread(target=answer_all, args=(listener, data), daemon=True).start()
        return BackendClient(f"http://127.0.0.1:{listener.getsockname()[1]}", 4)

    yield start
    for listener in listeners:
        listener.close()


def answer_all(listener, data):
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        connection.recv(65536)
        connection.sendall(data)
        connection.close()


def execute(client, timeout=3.0):
    return client.execute("r-1", "a-1", "text/plain", b"photo", timeout)


@pytest.mark.parametrize("data", [WHOLE, CHUNKED])
def test_whole_answer_is_taken(serve, data):
    assert execute(serve(data)).unwrap().body == b"proof"


@pytest.mark.parametrize(
    "data", [TRUNCATED, NO_LENGTH, CROSSED, TOO_LARGE, CUT_CHUNKED, WHOLE[:30], b""]
)
def test_broken_answer_is_an_error_that_may_have_run(serve, data):
    assert execute(serve(data)).unwrap_err().delivered


def test_refused_connection_certainly_did_not_run(serve):
    client = BackendClient("http://127.0.0.1:9", 4)
    assert not execute(client).unwrap_err().delivered


def test_oversized_answer_without_a_length_is_refused(serve, monkeypatch):
    monkeypatch.setattr(backend_module, "MAX_RESPONSE_BYTES", 4)
    assert execute(serve(CHUNKED)).unwrap_err().delivered
