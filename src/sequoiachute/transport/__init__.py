"""Sockets, HTTP and RPC: bytes in and out, no decisions."""
