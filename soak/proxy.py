"""TCP proxy on loopback that delays, holds, cuts one way or resets connections."""

import socket
import struct
import threading
import time

from standins.ports import free_address

CHUNK_BYTES = 65_536
HOLD_POLL_SECONDS = 0.02  # how often a held direction checks the state
CONNECT_TIMEOUT_SECONDS = 1.0  # ample on loopback; longer means no process
# SO_LINGER with a timeout of zero: close sends RST instead of FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

CLEAR = "clear"
DELAYED = "delayed"
SILENT = "silent"
# Calls to the server arrive ``delay_seconds`` later, even if the link is clear again by
# then, so that newer calls overtake them.
LATE = "late"
CUT_TO_SERVER = "cut to the server"
CUT_TO_CLIENT = "cut to the client"

# The states that hold a direction. Held bytes arrive once the link is clear, as
# TCP retransmits lost packets.
_HOLDING_STATES = {
    "to server": (SILENT, CUT_TO_SERVER),
    "to client": (SILENT, CUT_TO_CLIENT),
}


class Link:
    """A proxy between two processes that injects faults into their connections.

    Parameters
    ----------
    target : str
        Address of the server, as ``host:port``.

    Attributes
    ----------
    delay_seconds : float
        Delay of what passes in the states ``DELAYED`` and ``LATE``.
    late_prefix : bytes
        What the calls that ``LATE`` delays begin with.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = free_address()
        self.delay_seconds = 0.0
        self.late_prefix = b""
        self._state = CLEAR
        self._disturbed_since = 0.0
        self._disturbed_seconds = 0.0
        self._sockets: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._is_closed = False
        self._listener = socket.create_server(_parse_address(self.address))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def state(self) -> str:
        """``CLEAR``, ``DELAYED``, ``LATE``, ``SILENT`` or one of the cuts."""
        return self._state

    @state.setter
    def state(self, state: str) -> None:
        self._disturbed_seconds = self.disturbed_seconds
        self._disturbed_since = time.monotonic()
        self._state = state

    @property
    def disturbed_seconds(self) -> float:
        """Total time during which the link was not clear."""
        if self._state == CLEAR:
            return self._disturbed_seconds
        return self._disturbed_seconds + time.monotonic() - self._disturbed_since

    def reset(self) -> int:
        """Reset every open connection and return the number of sockets."""
        with self._lock:
            sockets = list(self._sockets)
        for end in sockets:
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue  # its forwarding thread has closed it
        return len(sockets)

    def close(self) -> None:
        """Close the listener and reset every connection."""
        self._is_closed = True
        self._listener.close()
        self.reset()

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return  # the listener was closed
            threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _connect(self, client: socket.socket) -> None:
        if self.state == LATE:
            self._delay_late(_peek(client))
        self._hold("to server")
        try:
            server = socket.create_connection(
                _parse_address(self.target), CONNECT_TIMEOUT_SECONDS
            )
        except OSError:
            client.close()
            return
        server.settimeout(None)
        for end in (client, server):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._sockets |= {client, server}
        to_client = threading.Thread(
            target=self._forward, args=(server, client, "to client"), daemon=True
        )
        to_client.start()
        self._forward(client, server, "to server")
        to_client.join()
        with self._lock:
            self._sockets -= {client, server}
        client.close()
        server.close()

    def _forward(
        self, source: socket.socket, sink: socket.socket, direction: str
    ) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.state == DELAYED:
                    time.sleep(self.delay_seconds)
                if self.state == LATE and direction == "to server":
                    self._delay_late(data)
                self._hold(direction)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One end has closed: shut both down so that the other notices.
            for end in (source, sink):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    continue

    def _delay_late(self, data: bytes) -> None:
        if data.startswith(self.late_prefix):
            time.sleep(self.delay_seconds)

    def _hold(self, direction: str) -> None:
        while self.state in _HOLDING_STATES[direction] and not self._is_closed:
            time.sleep(HOLD_POLL_SECONDS)


def _peek(connection: socket.socket) -> bytes:
    """Return the first bytes of a connection without taking them."""
    try:
        return connection.recv(CHUNK_BYTES, socket.MSG_PEEK)
    except OSError:
        return b""


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
