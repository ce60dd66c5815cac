"""The way of a request: admission, choice of backend server, attempts, intents."""
