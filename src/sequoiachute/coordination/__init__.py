"""Tasks that decide: placement, routing, announcing, following the log."""
