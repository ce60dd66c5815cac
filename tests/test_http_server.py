import socket
import time

import msgspec
import pytest

from standins.cluster import OPERATOR_KEY, Cluster, caller_key
from standins.demo import CATALOGUE

pytestmark = pytest.mark.processes

KEY = caller_key("brocach")
CONNECTIONS = 12
LIMITS = {"connections": CONNECTIONS, "header_seconds": 0.5, "body_seconds": 0.5}
POST = (
    "POST /v1/requests HTTP/1.1\r\nHost: entry\r\nX-Idempotent: true\r\n"
    f"Authorization: Bearer {KEY}\r\n"
)
MEGABYTE = 1024 * 1024


@pytest.fixture(scope="module")
def cluster():
    options = {"entry_settings": {"http": LIMITS}, "workers": 1, "entries": 1}
    with Cluster(("brocach",), **options) as started:
        assert started.call("PUT", "/v1/catalogue", OPERATOR_KEY, CATALOGUE)[0] == 200
        started.wait_until(lambda: is_served(started), 20)
        yield started


def is_served(cluster):
    headers = {"X-Idempotent": "true"}
    return cluster.call("POST", "/v1/requests", KEY, b"", headers)[0] == 200


def connect(cluster):
    host, _, port = cluster.entries[0].address.rpartition(":")
    connection = socket.create_connection((host, int(port)), timeout=10)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def read_response(connection):
    """Return the status, headers and body of one response.

    The status is 0 if the connection has ended.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = connection.recv(65536)
        if not chunk:
            return 0, "", b""
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").lower().split("\r\n")
    length = [int(line[15:]) for line in lines if line.startswith("content-length:")]
    while len(body) < length[0]:
        body += connection.recv(65536)
    return int(lines[0].split()[1]), "\n".join(lines), body


def send(cluster, text):
    with connect(cluster) as connection:
        connection.sendall(text.encode("latin-1") if isinstance(text, str) else text)
        return read_response(connection)


def chunks(size, parts=1):
    return (f"{size:x}\r\n".encode() + b"x" * size + b"\r\n") * parts + b"0\r\n\r\n"


def test_chunked_body_arrives_whole(cluster):
    head = f"{POST}Transfer-Encoding: chunked\r\n\r\n".encode()
    status, _, body = send(cluster, head + chunks(100_000, 3))
    assert (status, body) == (200, b"x" * 300_000)


@pytest.mark.parametrize(
    ("status", "text"),
    [
        (413, f"{POST}Content-Length: {9 * MEGABYTE}\r\n\r\n"),
        (400, f"{POST}Content-Length: -1\r\n\r\n"),
        (400, f"{POST}Content-Length: x\r\n\r\n"),
        (400, f"{POST}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
        (
            400,
            f"{POST}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ),
        (400, f"{POST}Transfer-Encoding: gzip\r\n\r\n"),
        (400, f"{POST}Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
        (408, f"{POST}Content-Length: 10\r\n\r\nabc"),
        (408, f"{POST}Transfer-Encoding: chunked\r\n\r\n5\r\nabc"),
        (408, POST),
        (408, "POST /v1/requ"),
        (414, f"GET /{'x' * 9000} HTTP/1.1\r\n\r\n"),
        (431, f"GET /livez HTTP/1.1\r\nX-Long: {'x' * 10_000}\r\n\r\n"),
        (431, "GET /livez HTTP/1.1\r\n" + f"X-Many: {'x' * 5000}\r\n" * 20 + "\r\n"),
        (400, "\x16\x03\x01\x02 nonsense\r\n\r\n"),
        (400, "GET /livez HTTP/9.9\r\n\r\n"),
        (401, "GET /v1/jobs HTTP/1.1\r\nAuthorization: Bearer \xff\xfe\r\n\r\n"),
    ],
)
def test_invalid_request_gets_problem_document(cluster, status, text):
    received, head, body = send(cluster, text)
    assert received == status
    assert "content-type: application/problem+json" in head
    assert msgspec.json.decode(body)["remedy"]
    assert is_served(cluster)


def test_oversized_chunked_body_is_rejected(cluster):
    head = f"{POST}Transfer-Encoding: chunked\r\n\r\n".encode()
    assert send(cluster, head + chunks(MEGABYTE, 9))[0] == 413
    assert is_served(cluster)


def test_slow_callers_do_not_block_others(cluster):
    slow = [connect(cluster) for _ in range(3 * CONNECTIONS)]
    for connection in slow:
        connection.sendall(b"POST /v1/re")
    assert is_served(cluster)
    for connection in slow:
        connection.close()


def test_idle_connections_are_evicted(cluster):
    idle = []
    for _ in range(3 * CONNECTIONS):
        connection = connect(cluster)
        connection.sendall(b"GET /livez HTTP/1.1\r\n\r\n")
        assert read_response(connection)[0] == 200
        idle.append(connection)
    assert is_served(cluster)
    for connection in idle:
        connection.close()


def test_disconnecting_callers_do_not_stop_the_entry(cluster):
    for _ in range(20):
        with connect(cluster) as connection:
            connection.sendall(f"{POST}Content-Length: 5\r\n\r\nabcde".encode())
    time.sleep(0.1)
    assert is_served(cluster)
    assert cluster.entries[0].popen.poll() is None


def test_rejected_body_is_read_only_up_to_a_limit(cluster):
    with connect(cluster) as connection:
        connection.sendall(f"{POST}Transfer-Encoding: chunked\r\n\r\n".encode())
        chunk = chunks(MEGABYTE).removesuffix(b"0\r\n\r\n")
        with pytest.raises(OSError):
            for _ in range(100):
                connection.sendall(chunk)
    assert is_served(cluster)
