import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sequoiachute.platform.heartbeats import decode_heartbeat
from sequoiachute.platform.jobs import InvalidJobError, decode_job_body
from sequoiachute.platform.operator import apply_operator_records
from sequoiachute.platform.store import _decode_page, _encode_record
from sequoiachute.platform.worker import MAX_TOKEN_BYTES, _decode_end, _decode_run
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.workload import (
    JobGraph,
    JobProgress,
    Lifetime,
    TaskState,
    decode_job,
    encode,
    parse_task_id,
)
from sequoiachute.state.ledger import Ledger
from sequoiachute.state.operations import Operations, Queue
from sequoiachute.state.progress import TASKS_PER_RECORD, part_record
from sequoiachute.transport.store import (
    StoreLimits,
    StoreUnavailableError,
    record_bytes,
)

QUEUE = Queue("q", "h", "/p/", "s", 1, 2, 3.0, 1.0)
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
STEP_FIELDS = [
    *("count", "cpu", "mem_mb", "gpus", "est_ms", "deps", "checkpoints", "gang"),
    *("same_rack", "requires", "affinity", "anti_affinity", "speculative"),
    *("persistent", "image", "target_ms", "fills", "max_unavailable"),
]
STEPS = st.lists(st.dictionaries(st.sampled_from(STEP_FIELDS), JSON), max_size=4)


@given(st.binary(max_size=200) | JSON.map(lambda v: json.dumps(v).encode()))
def test_arbitrary_body_decodes_or_is_rejected(data):
    try:
        job = decode_job_body(data, QUEUE, "a", "0" * 16)
    except InvalidJobError:
        return
    assert isinstance(job, JobGraph)


@given(STEPS, st.text(max_size=10))
def test_arbitrary_steps_round_trip_or_name_the_invalid_field(steps, payload):
    data = json.dumps({"spec": payload, "steps": steps}).encode()
    try:
        job = decode_job_body(data, QUEUE, "a", "0" * 16)
    except InvalidJobError as error:
        assert ":" in str(error)
        return
    assert decode_job(encode(job)) == job


def test_job_fields_are_decoded():
    body = {
        "spec": "text",
        "times": 3,
        "initial_ms": 5000,
        "period_ms": 250,
        "steps": [
            {"count": 4, "cpu": 500, "mem_mb": 256, "est_ms": 900, "affinity": "r-1"},
            {"count": 2, "gpus": 1, "deps": [0], "checkpoints": True, "gang": True},
        ],
    }
    job = decode_job_body(json.dumps(body).encode(), QUEUE, "a", "0" * 16)
    assert [step.count for step in job.steps] == [4, 2]
    assert (job.steps[0].data_rack, job.steps[0].estimate_seconds) == ("r-1", 0.9)
    assert job.steps[1].after == (0,)
    assert job.steps[1].gang
    assert [job.due_at(k) for k in range(3)] == [5.0, 5.25, 5.5]


@pytest.mark.parametrize(
    "steps",
    [[], [{"deps": [0]}], [{"count": 0}], [{"count": 20_000}], [{"gpus": -1}], "x"],
)
def test_invalid_steps_are_rejected(steps):
    with pytest.raises(InvalidJobError):
        decode_job_body(json.dumps({"steps": steps}).encode(), QUEUE, "a", "0" * 16)


@given(st.binary(max_size=120))
def test_arbitrary_operator_record_is_applied_or_ignored(data):
    operations = Operations()
    apply_operator_records(
        {"config": data, "wave/1": data, "evacuate/z": data}, operations
    )
    assert operations.closed_zones == {"z"}


@given(JSON)
def test_arbitrary_catalogue_is_applied_or_ignored(value):
    operations = Operations()
    body = {"version": 1, "routes": value, "tenants": value, "services": value}
    apply_operator_records({"config": json.dumps(body).encode()}, operations)
    assert operations.version in (0, 1)


def test_older_catalogue_is_ignored():
    operations = Operations()
    for version in (5, 9, 7):
        body = {"version": version, "routes": [], "tenants": [], "services": []}
        apply_operator_records({"config": json.dumps(body).encode()}, operations)
    assert operations.version == 9


@given(st.dictionaries(st.sampled_from(["state", "capacity", "seq", "zone"]), JSON))
def test_incomplete_heartbeat_is_rejected(body):
    with pytest.raises((KeyError, TypeError, ValueError)):
        decode_heartbeat("w-1", body)


@given(st.lists(st.tuples(st.text(max_size=9), st.binary(max_size=30)), max_size=5))
def test_records_round_trip(records):
    body = bytes(16) + b"".join(_encode_record(key, value) for key, value in records)
    page = _decode_page(body, 40)
    assert [(r.key, r.value or b"") for r in page.records] == records
    assert page.next == 40 + len(records)


@given(st.binary(max_size=60))
def test_arbitrary_page_decodes_or_is_unavailable(body):
    try:
        page = _decode_page(body, 0)
    except StoreUnavailableError:
        return
    assert page.next == len(page.records)


@given(st.text(max_size=20), st.binary(max_size=40))
def test_undecodable_record_is_ignored(key, value):
    ledger = Ledger()
    ledger.apply("jobs", StoredRecord(0, f"job/{key}", value))
    ledger.apply("runs", StoredRecord(1, key, value))
    assert len(ledger.jobs) <= 1


@given(st.text(max_size=30))
def test_arbitrary_text_parses_as_task_id_or_none(text):
    task = parse_task_id(text)
    assert task is None or str(task).count(".") == 3


@pytest.mark.parametrize(
    "more",
    [{"times": 1_000_000, "period_ms": 60_000}, {"times": 11, "steps": 1000}],
)
def test_job_of_more_tasks_than_a_job_may_have_is_refused(more):
    # Guards against accepted occurrences that no entry can go through in time.
    steps = [{"count": more.pop("steps", 1)}]
    body = json.dumps({"steps": steps, **more}).encode()
    with pytest.raises(InvalidJobError, match="all occurrences together"):
        decode_job_body(body, QUEUE, "a", "0" * 16)


@pytest.mark.parametrize("kind", ["gang", "persistent"])
def test_job_of_more_tasks_at_once_than_agents_bear_is_refused(kind):
    # Guards against accepted tasks that no bound on running tasks can hold back.
    step = {"count": 501, kind: True}
    body = json.dumps({"steps": [step]}).encode()
    assert decode_job_body(body, QUEUE, "a", "0" * 16).steps[0].count == 501
    body = json.dumps({"steps": [step, step]}).encode()
    with pytest.raises(InvalidJobError, match="at the same time"):
        decode_job_body(body, QUEUE, "a", "0" * 16)


def test_step_numbers_that_are_truth_values_are_refused():
    # Guards against an accepted job whose record no entry can read.
    steps = [{"count": 1}, {"count": 1, "deps": [False]}]
    with pytest.raises(InvalidJobError, match="deps"):
        decode_job_body(json.dumps({"steps": steps}).encode(), QUEUE, "a", "0" * 16)


def test_checkpoint_token_that_no_record_bears_is_left_out():
    # Guards against tokens that let a record of progress exceed the store's limit.
    fitting, too_long = "t" * MAX_TOKEN_BYTES, "t" * (MAX_TOKEN_BYTES + 1)
    assert _decode_run(["j.0.0.0", 1, fitting, 5]).token == fitting
    assert _decode_run(["j.0.0.0", 1, too_long, 5]).token == ""
    assert _decode_end([1, "j.0.0.0", 1, "stopped", too_long]).token == ""
    state = TaskState(1, "h" * 50, Lifetime("w" * 200, 1), token=fitting)
    tasks = {f"9999.63.{index}": state for index in range(TASKS_PER_RECORD)}
    record = part_record("0" * 16, 1, JobProgress(), tasks)
    assert record_bytes(record) < StoreLimits().record_bytes
