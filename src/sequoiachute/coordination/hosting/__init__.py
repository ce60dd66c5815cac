"""The agent beside a worker: it alone calls it and carries out orders."""
