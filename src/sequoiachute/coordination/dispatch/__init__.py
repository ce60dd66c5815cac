"""The placer: what it hears of agents, settles, decides and orders."""
