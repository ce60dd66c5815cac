"""Test client for the HTTP API of an entry in a simulated site."""

import msgspec
from falcon import testing

from sequoiachute.http.app import create_entry_app
from sequoiachute.http.description import read_description
from sequoiachute.settings import KeySettings
from standins.demo import CATALOGUE
from standins.paused import install_paused_clock
from standins.site import Site

KEYS = (
    KeySettings("operator-key-for-tests", "operator"),
    KeySettings("key-of-brocach-old", "caller", "brocach"),
    KeySettings("key-of-brocach-new", "caller", "brocach"),
    KeySettings("key-of-milchschaum", "caller", "milchschaum"),
)
OPERATOR, OLD_KEY, NEW_KEY, OTHER_ACCOUNT_KEY = (settings.key for settings in KEYS)
SPEC = {
    "tasks": 1,
    "accelerators": 8,
    "within": "rack",
    "run_seconds": 60.0,
    "payload": "engrave",
}


DESCRIPTION = msgspec.json.decode(read_description())
PROBLEM = "application/problem+json"


def find_operation(method, path):
    """Return the OpenAPI operation of a call, ``None`` if not described."""
    parts = path.partition("?")[0].split("/")
    for template, operations in DESCRIPTION["paths"].items():
        names = template.split("/")
        if len(names) != len(parts):
            continue
        segments = zip(names, parts, strict=True)
        if all(name.startswith("{") or name == part for name, part in segments):
            return operations.get(method.lower())
    return None


def assert_described(method, path, reply):
    """Assert that a reply matches the OpenAPI description."""
    operation = find_operation(method, path)
    media_type = reply.headers.get("content-type", "").partition(";")[0]
    assert reply.headers["x-request-id"]
    if operation is None:
        assert reply.status_code in (404, 405)
        assert media_type == PROBLEM
        return
    responses = operation["responses"]
    if "x-attempt-id" in reply.headers:
        assert "default" in responses
        return
    content = responses[str(reply.status_code)]["content"]
    assert_matches(reply.json if "json" in media_type else "", content[media_type])


def assert_matches(value, content):
    """Assert that ``value`` has all required and only described fields."""
    schema = content["schema"]
    reference = schema.get("$ref")
    if reference is None:
        return
    schema = DESCRIPTION["components"]["schemas"][reference.rpartition("/")[2]]
    assert set(schema["required"]) <= value.keys() <= schema["properties"].keys()
    for name, item in value.items():
        field = schema["properties"][name]
        if "$ref" in field:
            assert_matches(item, {"schema": field})
        for element in item if isinstance(item, list) else []:
            assert_matches(element, {"schema": field["items"]})


class Api:
    """Calls the WSGI application of an entry in a simulated site."""

    def __init__(self):
        install_paused_clock()
        self.site = Site(workers=3)
        self.entry = self.site.entries[0]
        self.entry.settings = self.entry.settings._replace(keys=KEYS)
        self.app = create_entry_app(self.entry)
        self.site.run_for(1)

    def call(self, method, path, key="", body=None, **headers):
        all_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        if key:
            all_headers["Authorization"] = f"Bearer {key}"
        data = msgspec.json.encode(body) if isinstance(body, dict) else body
        reply = testing.simulate_request(
            self.app, method, path, headers=all_headers, body=data or b""
        )
        assert_described(method, path, reply)
        return reply

    def publish(self):
        assert self.call("PUT", "/v1/catalogue", OPERATOR, CATALOGUE).status_code == 200

    def submit(self, key=OLD_KEY, idempotency_key="batch-1", **changes):
        spec = {**SPEC, **changes}
        return self.call("POST", "/v1/jobs", key, spec, Idempotency_Key=idempotency_key)
