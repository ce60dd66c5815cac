"""Authentication of callers and operators by API key."""

from hmac import compare_digest
from typing import NamedTuple

import falcon

from sequoiachute.settings import KeySettings
from sequoiachute.transport.web import problem

CALLER = "caller"
OPERATOR = "operator"


class Identity(NamedTuple):
    """Role and client account that a key belongs to."""

    role: str
    account: str


class Keyring:
    """API keys that an entry accepts; an account may have two, for rotation."""

    def __init__(self, keys: tuple[KeySettings, ...]) -> None:
        self._keys: list[tuple[bytes, Identity]] = []
        for settings in keys:
            identity = Identity(settings.role, settings.account or settings.role)
            self._keys.append((settings.key.encode(), identity))

    def identify(self, request: falcon.Request) -> Identity:
        """Return the identity of the request's key; raise a 401 if there is none.

        Every key is compared, each in constant time, so that the response time
        reveals nothing about the keys.
        """
        scheme, _, presented = (request.auth or "").partition(" ")
        matched_identity = None
        for key, identity in self._keys:
            if compare_digest(key, presented.encode()):
                matched_identity = identity
        if matched_identity is None or scheme.lower() != "bearer":
            raise problem(401, "no valid key", "send Authorization: Bearer <key>")
        return matched_identity

    def require_operator(self, request: falcon.Request) -> Identity:
        """Return the calling operator's identity; raise a 401 or 403 otherwise."""
        identity = self.identify(request)
        if identity.role != OPERATOR:
            raise problem(403, "not an operator's key", "use an operator's key")
        return identity

    def require_caller(self, request: falcon.Request) -> Identity:
        """Return the calling account's identity; raise a 401 or 403 otherwise."""
        identity = self.identify(request)
        if identity.role != CALLER:
            raise problem(403, "not a caller's key", "use a client account's key")
        return identity
