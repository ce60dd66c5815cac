"""Coordination of entries and agents: log, membership, routing and placement."""
