"""Soak test: real processes under random faults, checked against the guarantees."""
