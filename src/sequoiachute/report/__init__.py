"""Creates and formats the report on service-level burn."""
