"""Benchmarks of the scheduler, its placement, its requests and its log."""
