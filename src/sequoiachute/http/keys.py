"""Who a call comes from, by the key that it presents."""

from hmac import compare_digest
from typing import NamedTuple

import falcon

from sequoiachute.settings import KeySettings
from sequoiachute.transport.web import problem


class Identity(NamedTuple):
    """The holder of a key."""

    role: str
    account: str


class Keyring:
    """The keys that an entry accepts."""

    def __init__(self, keys: tuple[KeySettings, ...]) -> None:
        self._keys = keys

    def identify(self, request: falcon.Request) -> Identity:
        """Return who presents the request's key; raise a 401 otherwise."""
        scheme, _, presented = (request.auth or "").partition(" ")
        found = None
        for known in self._keys:
            if compare_digest(known.key.encode(), presented.encode()):
                found = Identity(known.role, known.account)
        if found is None or scheme != "Bearer":
            raise problem(401, "no valid key", "send Authorization: Bearer <key>")
        return found

    def require_operator(self, request: falcon.Request) -> Identity:
        """Return the operator who calls; raise a 401 or 403 otherwise."""
        identity = self.identify(request)
        if identity.role != "operator":
            raise problem(403, "not an operator's key", "use an operator's key")
        return identity

    def require_caller(self, request: falcon.Request) -> Identity:
        """Return the client account that calls; raise a 401 or 403 otherwise."""
        identity = self.identify(request)
        if identity.role != "caller":
            raise problem(403, "not a caller's key", "use a client account's key")
        return identity
