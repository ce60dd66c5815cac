"""Addresses of peers and services, which another writer may have named."""

import re

MAX_PORT = 65535
ADDRESS_REMEDY = f"use host:port with a port from 1 to {MAX_PORT}"

_LABEL = r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_ADDRESS = re.compile(rf"({_LABEL}(?:\.{_LABEL})*):([0-9]{{1,5}})")
_MAX_HOST_LENGTH = 253


def parse_address(address: str) -> tuple[str, int] | None:
    """Return host and port of ``host:port``, ``None`` if it is no valid address.

    The host is a name or an IPv4 address.
    """
    match = _ADDRESS.fullmatch(address)
    if match is None or len(match[1]) > _MAX_HOST_LENGTH:
        return None
    port = int(match[2])
    return (match[1], port) if 1 <= port <= MAX_PORT else None
