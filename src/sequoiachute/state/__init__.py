"""State held in memory and the rules that change it."""
