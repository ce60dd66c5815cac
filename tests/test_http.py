import io

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger

from sequoiachute.errors import CatalogueError
from sequoiachute.logs import configure_logging
from sequoiachute.protocol.catalogue_check import check_catalogue
from sequoiachute.settings import LogSettings
from standins.demo import CATALOGUE
from tests.api import NEW_KEY, OLD_KEY, OPERATOR, OTHER_ACCOUNT_KEY, Api

PROBLEM_KEYS = {"title", "status", "remedy", "ran"}


@pytest.fixture
def api():
    running_api = Api()
    running_api.publish()
    running_api.site.run_for(3)
    return running_api


def assert_problem(reply, status, ran=False):
    assert reply.status_code == status, reply.text
    assert reply.headers["content-type"] == "application/problem+json"
    body = reply.json
    assert body.keys() >= PROBLEM_KEYS
    assert body["status"] == status
    assert body["remedy"]
    assert body["ran"] is ran


def catalogue_with(path, value):
    """Return the demo catalogue with ``path`` set to ``value``, removed if None."""
    catalogue = msgspec.json.decode(msgspec.json.encode(CATALOGUE))
    parent = catalogue
    *parents, last = path.split(".")
    for name in parents:
        parent = parent[int(name) if name.isdigit() else name]
    if value is None:
        del parent[last]
    else:
        parent[last] = value
    return catalogue


GUARANTEE = "accounts.brocach.guarantees.0"
BAD_CATALOGUES = [
    ("accounts.brocach.job_class", "missing-class"),
    ("accounts.brocach.owner", " "),
    ("accounts.brocach.owner", None),
    ("accounts.brocach.colour", "red"),
    ("accounts.brocach.weight", -1),
    ("accounts.brocach.weight", "2"),
    ("accounts.brocach.limits", {"queued_requests": -1}),
    ("accounts.brocach.limits", {"queued_jobs": 10**9}),
    ("accounts.brocach.limits", {"queued": 1}),
    (f"{GUARANTEE}.accelerators", 0),
    (f"{GUARANTEE}.accelerators", 1.5),
    (f"{GUARANTEE}.per_worker", 0),
    (f"{GUARANTEE}.within", "room"),
    (f"{GUARANTEE}.speed_class", "a b"),
    ("classes.batch.objective_seconds", 0),
    ("classes.batch.objective_share", 1.5),
    ("classes.batch.answer_share", 0),
    ("classes.batch.request_seconds", -1.0),
    ("classes.batch.priority", -1),
    ("data_centres.muc-1.region", ""),
    ("data_centres.muc-1.country", "de"),
    ("tenants", {}),
    ("classes", None),
]


@pytest.mark.parametrize(("path", "value"), BAD_CATALOGUES)
def test_bad_catalogue_is_refused_and_nothing_changes(api, path, value):
    bad = catalogue_with(path, value)
    with pytest.raises(CatalogueError, match=path.rpartition(".")[2].split("-")[0]):
        check_catalogue(bad)
    before = api.call("GET", "/v1/catalogue", OPERATOR).json
    status = api.call("PUT", "/v1/catalogue", OPERATOR, bad).status_code
    assert status == 422
    assert api.call("GET", "/v1/catalogue", OPERATOR).json == before


def test_publish_on_a_stale_base_is_refused(api):
    offset = api.call("GET", "/v1/catalogue", OPERATOR).json["offset"]
    first = api.call("PUT", "/v1/catalogue", OPERATOR, CATALOGUE, If_Match=str(offset))
    assert first.status_code == 200
    again = api.call("PUT", "/v1/catalogue", OPERATOR, CATALOGUE, If_Match=str(offset))
    assert_problem(again, 409)


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"tasks": 0}, 400),
        ({"tasks": 10**6}, 400),
        ({"tasks": "2"}, 400),
        ({"tasks": True}, 400),
        ({"accelerators": -1}, 400),
        ({"run_seconds": 0}, 400),
        ({"run_seconds": 1e12}, 400),
        ({"within": "room"}, 400),
        ({"payload": 7}, 400),
        ({"payload": "x" * 200_000}, 400),
        ({"speed_class": "a b"}, 400),
        ({"checkpointable": "yes"}, 400),
        ({"colour": "red"}, 400),
        ({"payload": "x" * 300_000}, 413),
    ],
)
def test_bad_job_is_refused(api, changes, status):
    assert_problem(api.submit(**changes), status)
    assert api.call("GET", "/v1/jobs", OLD_KEY).json == {"jobs": []}


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b"null", b"\xff\xfe", b"[" * 100_000, b'{"tasks": NaN}']
)
@pytest.mark.parametrize(
    ("method", "path", "key"),
    [("POST", "/v1/jobs", OLD_KEY), ("PUT", "/v1/catalogue", OPERATOR)],
)
def test_broken_json_is_refused(api, method, path, key, body):
    assert_problem(api.call(method, path, key, body, Idempotency_Key="k"), 400)


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({}, 400),
        ({"X-Idempotent": "maybe"}, 400),
        ({"X-Idempotent": "true", "X-Deadline-Seconds": "0"}, 400),
        ({"X-Idempotent": "true", "X-Deadline-Seconds": "1e9"}, 400),
        ({"X-Idempotent": "true", "X-Deadline-Seconds": "nan"}, 400),
        ({"X-Idempotent": "true", "X-Deadline-Seconds": "soon"}, 400),
        ({"Idempotency-Key": "x" * 257}, 400),
        ({"Idempotency-Key": "a b"}, 400),
        ({"Idempotency-Key": "\xff\xfe"}, 400),
        ({"X-Idempotent": "true", "Content-Length": str(9 * 1024 * 1024)}, 413),
    ],
)
def test_bad_request_headers_are_refused(api, headers, status):
    assert_problem(api.call("POST", "/v1/requests", OLD_KEY, b"", **headers), status)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/", 404),
        ("GET", "/v1/jobs/%ff%fe", 404),
        ("GET", "/v1/jobs/../../livez", 404),
        ("PATCH", "/v1/jobs", 405),
        ("DELETE", "/livez", 405),
        ("GET", "/v1/requests", 405),
    ],
)
def test_unknown_path_and_method_are_refused(api, method, path, status):
    assert_problem(api.call(method, path, OLD_KEY), status)


def test_same_key_with_another_body_is_refused(api):
    first = api.submit()
    assert first.status_code == 202
    assert api.submit().json["job_id"] == first.json["job_id"]
    assert_problem(api.submit(payload="another"), 409)


@pytest.mark.parametrize("key", ["", "wrong-key-wrong-key", "\xff\xfe", OPERATOR])
@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("GET", "/v1/jobs"),
        ("POST", "/v1/jobs"),
        ("GET", "/v1/jobs/x"),
        ("DELETE", "/v1/jobs/x"),
        ("POST", "/v1/requests"),
    ],
)
def test_caller_paths_require_a_caller_key(api, method, path, key):
    reply = api.call(method, path, key)
    assert_problem(reply, 403 if key == OPERATOR else 401)


@pytest.mark.parametrize("key", ["", OLD_KEY])
@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("GET", "/v1/catalogue"),
        ("PUT", "/v1/catalogue"),
        ("POST", "/v1/data-centres/dc-1/drain"),
        ("POST", "/v1/data-centres/dc-1/restore"),
    ],
)
def test_operator_paths_require_an_operator_key(api, method, path, key):
    reply = api.call(method, path, key, CATALOGUE)
    assert_problem(reply, 403 if key else 401)


def test_account_cannot_see_or_cancel_other_accounts_jobs(api):
    job = api.submit().json
    path = f"/v1/jobs/{job['job_id']}"
    assert_problem(api.call("GET", path, OTHER_ACCOUNT_KEY), 404)
    assert_problem(api.call("DELETE", path, OTHER_ACCOUNT_KEY), 404)
    assert api.call("GET", "/v1/jobs", OTHER_ACCOUNT_KEY).json == {"jobs": []}
    api.site.run_for(3)
    assert api.call("GET", path, OLD_KEY).json["state"] in ("queued", "running")
    own = api.submit(key=OTHER_ACCOUNT_KEY)
    assert own.json["job_id"] != job["job_id"]


def test_both_keys_of_an_account_are_valid_during_rotation(api):
    job = api.submit(key=OLD_KEY).json
    assert api.call("GET", f"/v1/jobs/{job['job_id']}", NEW_KEY).json == job
    assert api.submit(key=NEW_KEY).json["job_id"] == job["job_id"]


def test_unready_entry_still_serves_requests(api):
    assert api.call("GET", "/readyz").status_code == 200
    api.entry.mark_unready()
    assert api.call("GET", "/readyz").status_code == 503
    assert api.call("GET", "/livez").status_code == 200
    reply = api.call("POST", "/v1/requests", OLD_KEY, b"cut", X_Idempotent="true")
    assert reply.status_code == 200


def test_metrics_show_requests_and_state(api):
    api.submit()
    text = api.call("GET", "/metrics").text
    assert 'http_requests_total{method="POST",route="/v1/jobs",status="202"} 1' in text
    assert 'http_request_seconds{route="/v1/jobs",quantile="0.99"}' in text
    assert "sequoiachute_workers 3\n" in text
    assert "brocach" not in text


def test_internal_error_is_answered_without_details(api, monkeypatch):
    lines = io.StringIO()
    configure_logging(LogSettings("DEBUG", "json"), stream=lines)

    def fail(account):
        raise RuntimeError("secret detail")

    monkeypatch.setattr(api.entry.jobs, "of_account", fail)
    reply = api.call("GET", "/v1/jobs", OLD_KEY)
    logger.remove()
    assert_problem(reply, 500, ran=None)
    assert "secret detail" not in reply.text + lines.getvalue()
    assert "RuntimeError at test_http.py" in lines.getvalue()


def test_log_outage_reports_whether_the_job_ran(api):
    api.site.log.down = True
    reply = api.submit()
    assert reply.status_code == 503
    assert reply.headers["retry-after"]
    assert reply.json["ran"] in (False, None)


@pytest.mark.parametrize("form", ["text", "json"])
def test_log_lines_carry_context_but_no_secrets_or_bodies(api, form):
    lines = io.StringIO()
    offset = api.entry.configuration.offset
    configure_logging(LogSettings("DEBUG", form), lambda: offset, lines)
    body = b"body-of-the-caller"
    api.call("POST", "/v1/requests", OLD_KEY, body, X_Idempotent="true")
    reply = api.submit(payload="payload-of-the-caller")
    api.call(
        "PUT", "/v1/catalogue", OPERATOR, catalogue_with("accounts.brocach.weight", -1)
    )
    api.site.run_for(5)
    logger.remove()
    text = lines.getvalue()
    for secret in (OLD_KEY, OPERATOR, "body-of-the-caller", "payload-of-the-caller"):
        assert secret not in text
    assert reply.headers["x-request-id"] in text
    if form == "json":
        parsed = [msgspec.json.decode(line) for line in text.splitlines()]
        assert all(line["config_offset"] == offset for line in parsed)


class TestAnyInput:
    """No input causes a 5xx response or stops the entry."""

    api = None

    @given(
        method=st.sampled_from(["GET", "POST", "PUT", "DELETE", "HEAD", "TRACE"]),
        path=st.sampled_from(["/v1/jobs", "/v1/requests", "/v1/catalogue", "/v1/x"]),
        key=st.sampled_from(["", OLD_KEY, OPERATOR]),
        body=st.binary(max_size=64)
        | st.recursive(
            st.none() | st.booleans() | st.floats(allow_nan=False) | st.text(),
            lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        ).map(msgspec.json.encode),
        value=st.text(st.characters(codec="latin-1", exclude_categories=["Cc"])),
    )
    def test_gets_no_server_error(self, method, path, key, body, value):
        cls = type(self)
        cls.api = cls.api or Api()
        headers = {"Idempotency-Key": value, "X-Deadline-Seconds": value}
        reply = cls.api.call(method, path, key, body, **headers)
        assert reply.status_code < 500
        assert cls.api.call("GET", "/livez").status_code == 200
