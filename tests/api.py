"""An entry of a site in memory, called through its WSGI application."""

import msgspec
from falcon import testing

from sequoiachute.http.app import create_entry_app
from sequoiachute.settings import KeySettings
from standins.demo import CATALOGUE
from standins.memory import install_paused_clock
from standins.site import Site

KEYS = (
    KeySettings("operator-key-for-tests", "operator"),
    KeySettings("key-of-brocach-old", "caller", "brocach"),
    KeySettings("key-of-brocach-new", "caller", "brocach"),
    KeySettings("key-of-milchschaum", "caller", "milchschaum"),
)
OPERATOR, OLD, NEW, OTHER = (known.key for known in KEYS)
SPEC = {
    "tasks": 1,
    "accelerators": 8,
    "within": "rack",
    "run_seconds": 60.0,
    "payload": "engrave",
}


class Api:
    """Calls an entry of a site in memory through its WSGI application."""

    def __init__(self):
        install_paused_clock()
        self.site = Site(workers=3)
        self.entry = self.site.entries[0]
        self.entry.settings = self.entry.settings._replace(keys=KEYS)
        self.app = create_entry_app(self.entry)
        self.site.run_for(1)

    def call(self, method, path, key="", body=None, **headers):
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        if key:
            sent["Authorization"] = f"Bearer {key}"
        data = msgspec.json.encode(body) if isinstance(body, dict) else body
        return testing.simulate_request(
            self.app, method, path, headers=sent, body=data or b""
        )

    def publish(self):
        assert self.call("PUT", "/v1/catalogue", OPERATOR, CATALOGUE).status_code == 200

    def submit(self, key=OLD, idempotency_key="batch-1", **changes):
        spec = {**SPEC, **changes}
        return self.call("POST", "/v1/jobs", key, spec, Idempotency_Key=idempotency_key)
