"""Command line, apart from the engine."""
