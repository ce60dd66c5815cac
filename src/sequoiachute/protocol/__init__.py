"""Types and codecs of messages, log records and HTTP bodies."""
