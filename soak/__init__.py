"""Real processes under random faults, checked against what callers are promised."""
