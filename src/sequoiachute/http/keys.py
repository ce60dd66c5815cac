"""Who a call comes from, by the key that it presents."""

from hmac import compare_digest
from typing import NamedTuple

import falcon

from sequoiachute.settings import KeySettings
from sequoiachute.transport.web import problem

CALLER = "caller"
OPERATOR = "operator"


class Identity(NamedTuple):
    """The holder of a key."""

    role: str
    account: str


class Keyring:
    """The keys that an entry accepts; an account may have two of them."""

    def __init__(self, keys: tuple[KeySettings, ...]) -> None:
        self._keys: list[tuple[bytes, Identity]] = []
        for known in keys:
            holder = Identity(known.role, known.account or known.role)
            self._keys.append((known.key.encode(), holder))

    def identify(self, request: falcon.Request) -> Identity:
        """Return who presents the request's key; raise a 401 otherwise.

        Every key is compared, in constant time each, so that the time taken
        tells nothing.
        """
        scheme, _, presented = (request.auth or "").partition(" ")
        found = None
        for key, holder in self._keys:
            if compare_digest(key, presented.encode()):
                found = holder
        if found is None or scheme.lower() != "bearer":
            raise problem(401, "no valid key", "send Authorization: Bearer <key>")
        return found

    def require_operator(self, request: falcon.Request) -> Identity:
        """Return the operator who calls; raise a 401 or 403 otherwise."""
        identity = self.identify(request)
        if identity.role != OPERATOR:
            raise problem(403, "not an operator's key", "use an operator's key")
        return identity

    def require_caller(self, request: falcon.Request) -> Identity:
        """Return the client account that calls; raise a 401 or 403 otherwise."""
        identity = self.identify(request)
        if identity.role != CALLER:
            raise problem(403, "not a caller's key", "use a client account's key")
        return identity
