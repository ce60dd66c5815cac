"""Request routing: admission, load balancing, attempts, retries and intents."""
