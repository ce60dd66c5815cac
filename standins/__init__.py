"""Test doubles of the external systems, shared by tests, demo and benchmarks."""
