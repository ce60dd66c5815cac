"""Opens the socket of a server before the libraries that serve it are loaded."""

import socket

LISTEN_BACKLOG = 1024


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into the IP address and the port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


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
