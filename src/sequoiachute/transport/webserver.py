"""WSGI server with per-caller limits and graceful shutdown."""

import errno
import resource
import socket
from collections.abc import Callable
from typing import Any

import eventlet
import msgspec
from eventlet import wsgi
from eventlet.greenio import GreenSocket
from greenlet import GreenletExit
from loguru import logger

from sequoiachute import clock
from sequoiachute.settings import HttpSettings
from sequoiachute.transport.listener import open_listener, seconds_since_received
from sequoiachute.transport.problems import PROBLEM_JSON, problem_body

RESERVED_FILE_DESCRIPTORS = 256  # for files, agents and the log service
SOCKET_TIMEOUT_SECONDS = 30.0  # for one read or write
MAX_REQUEST_LINE_BYTES = 8192
MAX_DISCARDED_BYTES = 16 * 1024 * 1024
DISCARD_CHUNK_BYTES = 64 * 1024
DISCARD_TIMEOUT_SECONDS = 2.0
ACCEPT_PAUSE_SECONDS = 0.1
ARRIVED_AT = "sequoiachute.arrived_at"  # of a request in its environ, in clock time

_REASON_PHRASES = {400: "Bad Request", 408: "Request Timeout", 414: "URI Too Long"}
_REASON_PHRASES[431] = "Request Header Fields Too Large"


class HeaderTimeoutError(Exception):
    """The headers of a request did not arrive in time."""


class _Protocol(wsgi.HttpProtocol):
    """Limits the time for headers and reports errors as problem documents.

    ``conn_state`` is never left idle, so that eventlet's own shutdown aborts no
    connection; ``WebServer.stop`` ends the idle ones.
    """

    def handle(self) -> None:
        """Serve the requests of one connection in sequence."""
        web_server = self.server.environ["sequoiachute.web"]
        web_server.begin_connection()
        try:
            self._serve_requests(web_server)
        finally:
            web_server.end_connection()

    def _serve_requests(self, web_server: "WebServer") -> None:
        self.close_connection = False
        while not self.close_connection:
            self.conn_state[2] = wsgi.STATE_REQUEST
            if not web_server.wait_for_request(self.connection, self.rfile):
                return
            self._serve_request()

    def _serve_request(self) -> None:
        seconds = self.server.environ["sequoiachute.web"].limits.header_seconds
        self._header_timer = eventlet.Timeout(seconds, HeaderTimeoutError)
        try:
            self.handle_one_request()
        except HeaderTimeoutError:
            remedy = f"send all headers within {seconds:g} s"
            self._reject(408, "the headers did not arrive in time", remedy)
        finally:
            self._header_timer.cancel()

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment and stop the header timer."""
        self._header_timer.cancel()
        environ = super().get_environ()
        waited_seconds = seconds_since_received(self.connection)
        environ[ARRIVED_AT] = clock.now() - waited_seconds
        body = environ["eventlet.input"]
        body.discard = lambda: _discard_body(body)
        return environ

    def parse_request(self) -> bool:
        """Parse the headers; return whether the request can be served."""
        try:
            if not super().parse_request():
                return False
        except wsgi.HeaderLineTooLong:
            return self._reject(431, "a header line is too long", "shorten it")
        except wsgi.HeadersTooLarge:
            return self._reject(431, "the headers are too large", "send fewer headers")
        if self.server.environ["sequoiachute.web"].is_stopping:
            self.close_connection = True
        return self._check_framing()

    def _check_framing(self) -> bool:
        lengths = self.headers.get_all("content-length", [])
        coding = self.headers.get("transfer-encoding")
        if coding is not None and (lengths or coding.lower() != "chunked"):
            remedy = "send Content-Length or Transfer-Encoding: chunked"
            return self._reject(400, "the body's framing is ambiguous", remedy)
        if len(lengths) > 1 or not all(_is_length(text) for text in lengths):
            remedy = "send one Content-Length, a number of bytes"
            return self._reject(400, "Content-Length is invalid", remedy)
        return True

    def _read_request_line(self) -> bytes | str:
        line = super()._read_request_line()
        if len(line) < self.server.url_length_limit:
            return line
        self._reject(414, "the path is too long", "shorten it")
        return ""

    def send_error(
        self, code: int, message: str | None = None, explain: str | None = None
    ) -> None:
        """Reject a request line or headers that can't be parsed."""
        status = 431 if code == 431 else 400
        self._reject(status, "the request can't be parsed", "send valid HTTP/1.1")

    def _reject(self, status: int, title: str, remedy: str) -> bool:
        """Send a problem document, end the connection and return ``False``."""
        body = msgspec.json.encode(problem_body(status, title, remedy))
        head = (
            f"HTTP/1.1 {status} {_REASON_PHRASES[status]}\r\n"
            f"Content-Type: {PROBLEM_JSON}\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.close_connection = True
        try:
            self.wfile.write(head.encode() + body)
            self.wfile.flush()
        except OSError:
            logger.debug("the caller closed before reading the {} response", status)
        return False


class _RetryingListener:
    """Listener that retries accepting when file descriptors run out."""

    def __init__(self, listener: Any, web_server: "WebServer") -> None:
        self._listener = listener
        self._web_server = web_server

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listener, name)

    def accept(self) -> Any:
        """Return the next connection and its address."""
        while True:
            try:
                accepted = self._listener.accept()
            except OSError as error:
                if error.errno not in (errno.EMFILE, errno.ENFILE):
                    raise
                logger.warning("accepting a connection failed: {}", error)
                self._web_server.close_longest_idle()
                clock.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            self._web_server.evict_idle_if_full()
            return accepted


class WebServer:
    """Serves a WSGI application on one address.

    Parameters
    ----------
    app : WSGI application
    host, port : str, int
        Address to listen on; port zero takes a free one.
    limits : HttpSettings
        Limits on callers' connections and requests.
    listener : socket, optional
        Listens on the address already.
    """

    def __init__(
        self,
        app: Callable[..., Any],
        host: str,
        port: int,
        limits: HttpSettings = HttpSettings(),  # noqa: B008
        listener: socket.socket | None = None,
    ) -> None:
        self._app = app
        self._limits = limits
        if listener is None:
            listener = open_listener(host, port)
        if not isinstance(listener, GreenSocket):
            listener = GreenSocket(listener)
        self._listener = listener
        self._max_connections = max_connections(limits.connections)
        self._idle_connections: dict[Any, None] = {}  # longest idle first
        self._open_connections = 0
        self._stopping = False
        self._closed = False
        self._task: Any = None

    @property
    def limits(self) -> HttpSettings:
        """Limits on callers' connections and requests."""
        return self._limits

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port that the server listens on."""
        return self._listener.getsockname()

    @property
    def is_stopping(self) -> bool:
        """Whether each connection ends after its next response."""
        return self._stopping

    @property
    def open_connections(self) -> int:
        """Number of connections that callers hold open."""
        return self._open_connections

    def start(self) -> None:
        """Start serving in a green thread."""
        self._task = eventlet.spawn(
            wsgi.server,
            _RetryingListener(self._listener, self),
            self._app,
            environ={"sequoiachute.web": self},
            protocol=_Protocol,
            log_output=False,
            debug=False,
            max_size=self._max_connections,
            url_length_limit=MAX_REQUEST_LINE_BYTES,
            keepalive=self._limits.idle_seconds,
            socket_timeout=SOCKET_TIMEOUT_SECONDS,
        )

    def begin_connection(self) -> None:
        """Count a new connection."""
        self._open_connections += 1

    def end_connection(self) -> None:
        """Stop counting a connection."""
        self._open_connections -= 1

    def evict_idle_if_full(self) -> None:
        """End the longest idle connection if the connection limit is reached."""
        if self._open_connections >= self._max_connections:
            self.close_longest_idle()

    def close_longest_idle(self) -> None:
        """End the connection that has been idle for longest, if there is one."""
        for connection in self._idle_connections:
            _shut_down_input(connection)
            del self._idle_connections[connection]
            return

    def wait_for_request(self, connection: Any, reader: Any) -> bool:
        """Wait for the first byte of a request; return whether it arrived."""
        if self._closed:
            _shut_down_input(connection)
        self._idle_connections[connection] = None
        connection.settimeout(self._limits.idle_seconds)
        try:
            return bool(reader.peek(1))
        except OSError:
            return False
        finally:
            self._idle_connections.pop(connection, None)

    def begin_stop(self) -> None:
        """End each connection after its next response; keep accepting."""
        self._stopping = True

    def stop(self, timeout: float) -> bool:
        """Stop accepting connections and wait for the requests in progress.

        Parameters
        ----------
        timeout : float
            Longest wait in seconds.

        Returns
        -------
        bool
            Whether every request was answered.
        """
        self._stopping = True
        self._closed = True
        if self._task is None:
            return True
        self._task.kill()
        for connection in list(self._idle_connections):
            _shut_down_input(connection)
        with eventlet.Timeout(timeout, False):
            try:
                self._task.wait()
            except GreenletExit:
                return True
        return self._task.dead


def max_connections(wanted: int) -> int:
    """Return ``wanted``, capped by the descriptors left for connections.

    ``RESERVED_FILE_DESCRIPTORS`` of the process's limit stay for other uses; the
    result is at least 1.
    """
    files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(1, min(wanted, files - RESERVED_FILE_DESCRIPTORS))


def _discard_body(body: Any) -> None:
    """Read the rest of a rejected body, so that its sender reads the response.

    Raises ``OSError`` if the rest exceeds ``MAX_DISCARDED_BYTES`` or takes longer
    than ``DISCARD_TIMEOUT_SECONDS``; the connection then ends.
    """
    remaining = MAX_DISCARDED_BYTES
    with eventlet.Timeout(DISCARD_TIMEOUT_SECONDS, OSError("the body is still coming")):
        while remaining > 0:
            chunk = body.read(DISCARD_CHUNK_BYTES)
            if not chunk:
                return
            remaining -= len(chunk)
    raise OSError(f"more than {MAX_DISCARDED_BYTES} bytes of the body remain")


def _is_length(text: str) -> bool:
    return text.isascii() and text.isdigit()


def _shut_down_input(connection: Any) -> None:
    """Shut down reading, so that the connection ends after what has arrived."""
    try:
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        logger.debug("the connection was already closed")
