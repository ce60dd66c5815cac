"""The agent beside a worker: it supervises the worker and carries out orders."""
