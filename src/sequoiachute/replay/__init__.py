"""Simulates seeded days of a site with the real placer, without a network."""
