"""Opens the socket of a server before the libraries that serve it are loaded."""

import socket

LISTEN_BACKLOG = 1024


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens on ``host:port``.

    Raises
    ------
    OSError
        If the address can't be listened on.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(LISTEN_BACKLOG)
    return listener
