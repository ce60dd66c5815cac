"""Access to the store: following topics, relaying calls, electing the placer."""
