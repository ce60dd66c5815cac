"""A loopback link that delays, holds, cuts one way or resets what goes over it."""

import socket
import struct
import threading
import time

from standins.ports import free_address

CHUNK_BYTES = 65_536
LOOK_SECONDS = 0.02  # how soon a held direction notices that it may go on
CONNECT_SECONDS = 1.0  # loopback; longer means that the process is not there
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, for no time

CLEAR = "clear"
DELAYED = "delayed"
SILENT = "silent"
CUT_TO_SERVER = "cut to the server"
CUT_TO_CLIENT = "cut to the client"

# As on a network that loses packets, bytes held meanwhile arrive later.
_HOLDS = {
    "to server": (SILENT, CUT_TO_SERVER),
    "to client": (SILENT, CUT_TO_CLIENT),
}


class Link:
    """Connections from one process to another, through a port of its own.

    Parameters
    ----------
    target : str
        Address of the process that listens.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = free_address()
        self.delay_seconds = 0.0
        self._state = CLEAR
        self._disturbed_since = 0.0
        self._disturbed_seconds = 0.0
        self._sockets: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._is_closed = False
        self._listener = socket.create_server(_split(self.address))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def state(self) -> str:
        """What the link does now, ``CLEAR`` or one of the faults above."""
        return self._state

    @state.setter
    def state(self, state: str) -> None:
        self._disturbed_seconds = self.disturbed_seconds
        self._disturbed_since = time.monotonic()
        self._state = state

    @property
    def disturbed_seconds(self) -> float:
        """How long the link has not been clear, in all."""
        if self._state == CLEAR:
            return self._disturbed_seconds
        return self._disturbed_seconds + time.monotonic() - self._disturbed_since

    def reset(self) -> int:
        """Reset every open connection and return how many ends there were."""
        with self._lock:
            found = list(self._sockets)
        for end in found:
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue  # its other thread has closed it
        return len(found)

    def close(self) -> None:
        """Close the port and every connection."""
        self._is_closed = True
        self._listener.close()
        self.reset()

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return  # closed
            threading.Thread(target=self._open, args=(client,), daemon=True).start()

    def _open(self, client: socket.socket) -> None:
        self._hold("to server")
        try:
            server = socket.create_connection(_split(self.target), CONNECT_SECONDS)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        for end in (client, server):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._sockets |= {client, server}
        back = threading.Thread(
            target=self._pump, args=(server, client, "to client"), daemon=True
        )
        back.start()
        self._pump(client, server, "to server")
        back.join()
        with self._lock:
            self._sockets -= {client, server}
        client.close()
        server.close()

    def _pump(self, source: socket.socket, sink: socket.socket, way: str) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.state == DELAYED:
                    time.sleep(self.delay_seconds)
                self._hold(way)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One end is gone: the other must hear of it.
            for end in (source, sink):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    continue

    def _hold(self, way: str) -> None:
        while self.state in _HOLDS[way] and not self._is_closed:
            time.sleep(LOOK_SECONDS)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
