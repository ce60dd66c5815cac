"""Typed messages, log records and their codecs."""
