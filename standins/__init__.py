"""Small stand-ins for the outside systems, shared by tests, demo and benchmarks."""
