"""The HTTP interface of an entry instance."""
