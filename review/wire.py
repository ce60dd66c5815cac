"""A small HTTP/1.1 server with keep-alive, and a client; standard library only."""

import http.client
import json
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit


class CutError(Exception):
    """Raised by a handler that gives no answer and resets the connection."""


class Reply:
    """An HTTP reply; ``body`` is sent as it is if it is bytes, else as JSON."""

    def __init__(self, status: int, body: Any = None) -> None:
        self.status = status
        if body is None:
            body = {}
        self.data = body if isinstance(body, bytes) else json.dumps(body).encode()


class Request:
    """A received request."""

    def __init__(self, method: str, target: str, headers: Any, data: bytes) -> None:
        self.method = method
        parts = urlsplit(target)
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))
        self.headers = headers
        self.data = data

    def json(self) -> dict:
        """Return the body as an object, an empty one if it is none."""
        try:
            value = json.loads(self.data or b"{}")
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True


def serve(address: str, handle: Any) -> _Server:
    """Serve ``handle(Request) -> Reply`` at ``address`` in threads."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *args: Any) -> None:
            """Log nothing."""

        def _answer(self) -> None:
            length = int(self.headers.get("Content-Length") or 0)
            data = self.rfile.read(length)
            request = Request(self.command, self.path, self.headers, data)
            try:
                reply = handle(request)
            except CutError:
                self.close_connection = True
                self.connection.shutdown(socket.SHUT_RDWR)
                return
            self.send_response(reply.status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(reply.data)))
            self.end_headers()
            self.wfile.write(reply.data)

        do_GET = do_POST = do_PUT = do_DELETE = _answer  # noqa: N815

        def handle_one_request(self) -> None:
            """Handle one request; a peer that is gone ends the connection."""
            try:
                super().handle_one_request()
            except (ConnectionError, OSError):
                self.close_connection = True

    host, _, port = address.rpartition(":")
    server = _Server((host, int(port)), Handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, dict]:
    """Return status and body of one call on a new connection, 0 without an answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    data = None if body is None else json.dumps(body).encode()
    fields = {"Content-Type": "application/json", **(headers or {})}
    try:
        connection.request(method, path, data, fields)
        response = connection.getresponse()
        text = response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()
    try:
        value = json.loads(text or b"{}")
    except ValueError:
        value = {}
    return response.status, value if isinstance(value, dict) else {}
