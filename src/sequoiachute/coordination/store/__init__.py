"""Following topics of the store and electing the placer there."""
