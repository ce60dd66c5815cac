"""HTTP and RPC servers and clients; no scheduling decisions are made here."""
