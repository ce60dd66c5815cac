"""The placer: agents' sessions, settling of runs, scheduling rounds and orders."""
