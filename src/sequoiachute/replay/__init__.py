"""Plays seeded arrivals through the placer's decisions, without a network."""
