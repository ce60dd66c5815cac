import msgspec
import pytest

from sequoiachute import __version__
from sequoiachute.http.app import create_routes
from sequoiachute.http.inputs import MAX_IDEMPOTENCY_KEY_LENGTH
from sequoiachute.http.jobs import SPEC_BOUNDS
from sequoiachute.http.requests import DEFAULT_DEADLINE_SECONDS, MAX_DEADLINE_SECONDS
from sequoiachute.protocol import api as views
from sequoiachute.protocol.records import JobSpec
from sequoiachute.state.jobs import ENDED, QUEUED, RUNNING
from sequoiachute.state.metrics import Metrics
from tests.api import DESCRIPTION, OLD_KEY, OPERATOR, Api

METHODS = ("get", "put", "post", "delete", "patch", "head", "options")
SCHEMAS = DESCRIPTION["components"]["schemas"]
TYPES = (
    JobSpec,
    views.JobsView,
    views.CatalogueView,
    views.ChangeView,
    views.ProblemView,
    views.LivenessView,
    views.ReadinessView,
    views.WorkersView,
)


def test_paths_and_methods_match_the_application():
    served = {}
    for path, resource in create_routes(Api().entry, Metrics()).items():
        served[path] = {name for name in METHODS if hasattr(resource, f"on_{name}")}
    described = {path: set(item) for path, item in DESCRIPTION["paths"].items()}
    assert described == served


def test_schemas_match_the_typed_messages():
    reference = "#/components/schemas/{name}"
    _, expected = msgspec.json.schema_components(TYPES, ref_template=reference)
    assert SCHEMAS.keys() == expected.keys()
    for name, schema in expected.items():
        described = SCHEMAS[name]
        assert described["required"] == schema["required"], name
        assert described["properties"].keys() == schema["properties"].keys(), name
        for key, field in schema["properties"].items():
            assert field.items() <= described["properties"][key].items(), key


def test_bounds_match_the_validation():
    fields = SCHEMAS["JobSpec"]["properties"]
    for name, bounds in SPEC_BOUNDS.items():
        assert (fields[name]["minimum"], fields[name]["maximum"]) == bounds
    states = SCHEMAS["JobView"]["properties"]["state"]["enum"]
    assert set(states) == {QUEUED, RUNNING, *ENDED}
    parameters = {}
    for parameter in DESCRIPTION["paths"]["/v1/requests"]["post"]["parameters"]:
        parameters[parameter["name"]] = parameter["schema"]
    assert parameters["Idempotency-Key"]["maxLength"] == MAX_IDEMPOTENCY_KEY_LENGTH
    assert parameters["X-Deadline-Seconds"]["maximum"] == MAX_DEADLINE_SECONDS
    assert parameters["X-Deadline-Seconds"]["default"] == DEFAULT_DEADLINE_SECONDS
    assert DESCRIPTION["info"]["version"] == __version__


def test_description_is_served():
    reply = Api().call("GET", "/openapi.json")
    assert reply.json == DESCRIPTION


def described_operations(role):
    for path, item in DESCRIPTION["paths"].items():
        for method, operation in item.items():
            if operation["security"] == [{role: []}]:
                yield method.upper(), path


@pytest.mark.parametrize(
    ("role", "wrong_key"), [("caller", OPERATOR), ("operator", OLD_KEY)]
)
def test_described_keys_are_required(role, wrong_key):
    api = Api()
    operations = list(described_operations(role))
    assert operations
    for method, path in operations:
        assert api.call(method, path).status_code == 401
        assert api.call(method, path, wrong_key).status_code == 403


def test_only_load_balancer_paths_need_no_key():
    for path, item in DESCRIPTION["paths"].items():
        for operation in item.values():
            assert (operation["security"] == []) is (operation["tags"] == ["balancer"])
            assert operation["security"] or not path.startswith("/v1/")


@pytest.mark.parametrize("report_format", ["json", "text", "html", "pdf"])
def test_report_formats_are_described(report_format):
    Api().call("GET", f"/v1/report/burn?format={report_format}", OPERATOR)


def test_log_outage_is_described():
    api = Api()
    api.publish()
    job = api.submit().json
    api.site.log.down = True
    assert api.submit(idempotency_key="other").status_code == 503
    calls = (
        ("POST", "/v1/data-centres/muc-1/drain", OPERATOR),
        ("DELETE", f"/v1/jobs/{job['job_id']}", OLD_KEY),
        ("GET", "/v1/jobs", OLD_KEY),
    )
    for method, path, key in calls:
        api.call(method, path, key)
    api.call("POST", "/v1/requests", OLD_KEY, b"", Idempotency_Key="k")
