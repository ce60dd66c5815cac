"""WSGI server that bounds what a caller can hold and stops without cutting."""

import errno
import resource
import socket
from collections.abc import Callable
from typing import Any

import eventlet
import msgspec
from eventlet import wsgi
from greenlet import GreenletExit
from loguru import logger

from sequoiachute import clock
from sequoiachute.settings import HttpSettings
from sequoiachute.transport.web import PROBLEM_JSON, problem_body

RESERVED_FILES = 256  # for connections to agents, log service and files
SOCKET_SECONDS = 30.0  # for one read or write on a connection
MAX_REQUEST_LINE_BYTES = 8192
MAX_DISCARDED_BYTES = 16 * 1024 * 1024
DISCARD_PART_BYTES = 64 * 1024
DISCARD_SECONDS = 2.0
ACCEPT_PAUSE_SECONDS = 0.1
BACKLOG = 1024

_REASONS = {400: "Bad Request", 408: "Request Timeout", 414: "URI Too Long"}
_REASONS[431] = "Request Header Fields Too Large"


class HeaderTimeoutError(Exception):
    """The headers of a request did not arrive in time."""


class _Protocol(wsgi.HttpProtocol):
    """Bounds the time for headers and refuses by problem documents.

    ``conn_state`` is never left idle, so that the server's own shutdown cuts
    no connection; ``WebServer.stop`` ends the idle ones.
    """

    def handle(self) -> None:
        """Serve the requests of one connection, one after another."""
        web = self.server.environ["sequoiachute.web"]
        web.begin_connection()
        try:
            self._serve_all(web)
        finally:
            web.end_connection()

    def _serve_all(self, web: "WebServer") -> None:
        self.close_connection = False
        while not self.close_connection:
            self.conn_state[2] = wsgi.STATE_REQUEST
            if not web.wait_for_request(self.connection, self.rfile):
                return
            self._serve_one()

    def _serve_one(self) -> None:
        seconds = self.server.environ["sequoiachute.web"].limits.header_seconds
        self._header_timer = eventlet.Timeout(seconds, HeaderTimeoutError)
        try:
            self.handle_one_request()
        except HeaderTimeoutError:
            remedy = f"send all headers within {seconds:g} s"
            self._refuse(408, "the headers did not arrive in time", remedy)
        finally:
            self._header_timer.cancel()

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment; all headers have arrived."""
        self._header_timer.cancel()
        environ = super().get_environ()
        body = environ["eventlet.input"]
        body.discard = lambda: _discard(body)
        return environ

    def parse_request(self) -> bool:
        """Parse the headers; return whether the request can be served."""
        try:
            if not super().parse_request():
                return False
        except wsgi.HeaderLineTooLong:
            return self._refuse(431, "a header line is too long", "shorten it")
        except wsgi.HeadersTooLarge:
            return self._refuse(431, "the headers are too large", "send fewer")
        if self.server.environ["sequoiachute.web"].is_stopping:
            self.close_connection = True
        return self._check_framing()

    def _check_framing(self) -> bool:
        lengths = self.headers.get_all("content-length", [])
        coding = self.headers.get("transfer-encoding")
        if coding is not None and (lengths or coding.lower() != "chunked"):
            remedy = "send Content-Length or Transfer-Encoding: chunked"
            return self._refuse(400, "the body's framing is ambiguous", remedy)
        if len(lengths) > 1 or not all(_is_length(text) for text in lengths):
            remedy = "send one Content-Length, a number of bytes"
            return self._refuse(400, "Content-Length is refused", remedy)
        return True

    def _read_request_line(self) -> bytes | str:
        line = super()._read_request_line()
        if len(line) < self.server.url_length_limit:
            return line
        self._refuse(414, "the path is too long", "shorten it")
        return ""

    def send_error(
        self, code: int, message: str | None = None, explain: str | None = None
    ) -> None:
        """Refuse a request line or headers that can't be parsed."""
        status = 431 if code == 431 else 400
        self._refuse(status, "the request can't be parsed", "send valid HTTP/1.1")

    def _refuse(self, status: int, title: str, remedy: str) -> bool:
        """Answer with a problem, end the connection and return ``False``."""
        body = msgspec.json.encode(problem_body(status, title, remedy))
        head = (
            f"HTTP/1.1 {status} {_REASONS[status]}\r\nContent-Type: {PROBLEM_JSON}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.close_connection = True
        try:
            self.wfile.write(head.encode() + body)
            self.wfile.flush()
        except OSError:
            logger.debug("the caller left before its refusal")
        return False


class _Listener:
    """Accepts connections; a lack of file descriptors only delays it."""

    def __init__(self, listener: Any, web: "WebServer") -> None:
        self._listener = listener
        self._web = web

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
                self._web.end_longest_idle()
                clock.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            self._web.make_room()
            return accepted


class WebServer:
    """Serves a WSGI application on one address.

    Parameters
    ----------
    app : WSGI application
    host, port : str, int
        Address to listen on; port zero takes a free one.
    limits : HttpSettings
        What callers may hold.
    """

    def __init__(
        self,
        app: Callable[..., Any],
        host: str,
        port: int,
        limits: HttpSettings = HttpSettings(),  # noqa: B008
    ) -> None:
        self._app = app
        self._limits = limits
        self._listener = eventlet.listen((host, port), backlog=BACKLOG)
        self._most = max_connections(limits.connections)
        self._idle: dict[Any, None] = {}  # the longest idle first
        self._open = 0
        self._stopping = False
        self._closed = False
        self._task: Any = None

    @property
    def limits(self) -> HttpSettings:
        """What callers may hold."""
        return self._limits

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port that the server listens on."""
        return self._listener.getsockname()

    @property
    def is_stopping(self) -> bool:
        """Whether each connection ends with its next answer."""
        return self._stopping

    @property
    def open_connections(self) -> int:
        """Connections that callers hold open."""
        return self._open

    def start(self) -> None:
        """Serve in a task of its own."""
        self._task = eventlet.spawn(
            wsgi.server,
            _Listener(self._listener, self),
            self._app,
            environ={"sequoiachute.web": self},
            protocol=_Protocol,
            log_output=False,
            debug=False,
            max_size=self._most,
            url_length_limit=MAX_REQUEST_LINE_BYTES,
            keepalive=self._limits.idle_seconds,
            socket_timeout=SOCKET_SECONDS,
        )

    def begin_connection(self) -> None:
        """Count a connection in."""
        self._open += 1

    def end_connection(self) -> None:
        """Count a connection out."""
        self._open -= 1

    def make_room(self) -> None:
        """End the connection that has been idle for longest if all are taken."""
        if self._open >= self._most:
            self.end_longest_idle()

    def end_longest_idle(self) -> None:
        """End the connection that has waited longest for its next request."""
        for connection in self._idle:
            _end_input(connection)
            del self._idle[connection]
            return

    def wait_for_request(self, connection: Any, reader: Any) -> bool:
        """Wait for the first byte of a request; return whether one came."""
        if self._closed:
            _end_input(connection)
        self._idle[connection] = None
        connection.settimeout(self._limits.idle_seconds)
        try:
            return bool(reader.peek(1))
        except OSError:
            return False
        finally:
            self._idle.pop(connection, None)

    def begin_stop(self) -> None:
        """Let every answer end its connection; go on accepting."""
        self._stopping = True

    def stop(self, timeout: float) -> bool:
        """Accept no more and wait for what is in progress.

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
        for connection in list(self._idle):
            _end_input(connection)
        with eventlet.Timeout(timeout, False):
            try:
                self._task.wait()
            except GreenletExit:
                return True
        return self._task.dead


def max_connections(wanted: int) -> int:
    """Return how many connections callers may hold open, ``wanted`` at most."""
    files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(1, min(wanted, files - RESERVED_FILES))


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and port of ``address``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _discard(body: Any) -> None:
    """Read the rest of a refused body, so that its sender reads the refusal.

    Raises ``OSError`` if there is too much left; the connection then ends.
    """
    left = MAX_DISCARDED_BYTES
    with eventlet.Timeout(DISCARD_SECONDS, OSError("the body is still coming")):
        while left > 0:
            part = body.read(DISCARD_PART_BYTES)
            if not part:
                return
            left -= len(part)
    raise OSError("too much of the body is left")


def _is_length(text: str) -> bool:
    return text.isascii() and text.isdigit()


def _end_input(connection: Any) -> None:
    """Let the connection read what has arrived and then its end."""
    try:
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        logger.debug("the connection had ended already")
