"""Opens the socket of a server before the libraries that serve it are loaded."""

import socket
from struct import Struct, error

LISTEN_BACKLOG = 1024
# Linux's struct tcp_info up to the field tcpi_last_data_recv, in milliseconds.
_LAST_DATA_RECEIVED = Struct("=52xI")


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into the IP address and the port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def seconds_since_received(connection: socket.socket) -> float:
    """Return how long ago the newest data of a connection arrived at this machine.

    Zero where the system does not tell.
    """
    size = _LAST_DATA_RECEIVED.size
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
        (milliseconds,) = _LAST_DATA_RECEIVED.unpack(info)
    except (OSError, error):
        return 0.0
    return milliseconds / 1000


def open_listener(host: str, port: int) -> socket.socket:
    """Return a socket that listens on ``host`` and ``port``.

    Raises
    ------
    OSError
        If the address can't be listened on.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(LISTEN_BACKLOG)
    return listener
