"""Every decoder of foreign input takes any input without an undocumented error."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sequoiachute.coordination.store.group import address_of
from sequoiachute.platform import heartbeats, http, jobs, machines, operator, store
from sequoiachute.platform import worker as task_worker
from sequoiachute.platform.fields import FieldError
from sequoiachute.platform.http import HttpResponse
from sequoiachute.protocol import records, supervision, workload
from sequoiachute.protocol.codec import MessageCodec
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.workload import Lifetime
from sequoiachute.state import ledger
from sequoiachute.state.operations import Operations, Queue
from sequoiachute.transport.address import parse_address
from sequoiachute.transport.store import StoreUnavailableError

QUEUE = Queue("q", "h", "/p/", "s", 1, 2, 3.0, 1.0)
NAMES = [
    *("version", "routes", "tenants", "services", "limits", "max_body_bytes", "name"),
    *("host", "path_prefix", "service", "prio", "attempts", "stretch", "slo_ms"),
    *("public", "advice", "api_keys", "guaranteed", "gpus", "spare", "wave"),
    *("machines", "finish_by_s", "cap", "state", "zone", "capacity", "cpu", "mem_mb"),
    *("labels", "remaining_ms", "seq", "clock_ms", "born", "running", "ended"),
    *("machine", "id", "next_token", "good", "valid_ms", "items", "end", "key"),
    *("value", "offset", "has_more", "generation", "parts", "owners", "reason"),
    *("spec", "steps", "count", "est_ms", "deps", "times", "initial_ms", "period_ms"),
    *("format", "kind", "node", "bind_ip", "port_range", "seed_nodes", "platform"),
    *("address", "cloud", "listen", "bounds", "hold_max_ms"),
]
NUMBERS = st.integers(-1, 9) | st.sampled_from([2**53, 2**70, 10**400, 1e300, -1.5])
LEAVES = (
    st.none()
    | st.booleans()
    | NUMBERS
    | st.sampled_from(["ready", "up", "", "j.0.0.0", "10.0.0.9:99999", "é", "²"])
    | st.text(max_size=6)
)
JSON = st.recursive(
    LEAVES,
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(st.sampled_from(NAMES), inner, max_size=8)
    ),
    max_leaves=30,
)
DEEP = [b'{"a":' * 100_000, b"[" * 100_000, b"\x91" * 100_000, b"\x81\xa1a" * 100_000]


def encode_packed(value):
    try:
        return msgspec.msgpack.encode(value)
    except OverflowError:
        return b""


BYTES = (
    st.binary(max_size=200)
    | st.sampled_from(DEEP)
    | JSON.map(lambda value: json.dumps(value).encode())
    | JSON.map(encode_packed)
)


def response(data):
    return HttpResponse(200, {}, data)


def apply_record(data):
    state = ledger.Ledger()
    for offset, key in enumerate(("j", "job/j", "leader", "machine-speeds", "end/j.x")):
        state.apply("runs", StoredRecord(offset, key, data))
    assert state.state("j")
    assert all(job.steps for job in state.live())


# Each decoder with the errors that it documents.
DECODERS = {
    "decode_object": (http.decode_object, ()),
    "read_reason": (http.read_reason, ()),
    "decode_job_body": (
        lambda data: jobs.decode_job_body(data, QUEUE, "a", "0" * 16),
        (jobs.InvalidJobError,),
    ),
    "decode_heartbeat": (
        lambda data: heartbeats.decode_heartbeat("w", http.decode_object(data)),
        (FieldError,),
    ),
    "decode_catalogue": (operator._decode_catalogue, ()),
    "decode_waves": (lambda data: operator._decode_waves({"wave/1": data}), ()),
    "decode_status": (
        lambda data: task_worker._decode_status(response(data), Lifetime("w", 1)),
        (FieldError, IndexError),
    ),
    "decode_error": (
        lambda data: task_worker._decode_error(HttpResponse(409, {}, data)),
        (),
    ),
    "decode_machines": (
        lambda data: machines._decode_machines(list(http.decode_object(data).values())),
        (),
    ),
    "decode_tickets": (
        lambda data: machines._decode_tickets(list(http.decode_object(data).values())),
        (),
    ),
    "decode_machine_response": (
        lambda data: machines._decode_response(HttpResponse(409, {}, data)),
        (),
    ),
    "decode_snapshot_page": (
        lambda data: store._decode_snapshot_page(http.decode_object(data), "t"),
        (StoreUnavailableError,),
    ),
    "decode_page": (
        lambda data: store._decode_page(data, 0),
        (StoreUnavailableError,),
    ),
    "decode_member": (
        lambda data: [
            store._decode_member(v) for v in http.decode_object(data).values()
        ],
        (),
    ),
    "decode_append": (lambda data: store._decode_append(response(data)), ()),
    "decode_refused_append": (
        lambda data: store._decode_append(HttpResponse(412, {}, data)),
        (),
    ),
    "decode_record": (records.decode_record, ()),
    "decode_job": (workload.decode_job, (msgspec.DecodeError,)),
    "decode_progress": (workload.decode_progress, (msgspec.DecodeError,)),
    "decode_speeds": (ledger.decode_speeds, (msgspec.DecodeError,)),
    "ledger": (apply_record, ()),
    "report": (
        lambda data: MessageCodec().decode(data, supervision.Report),
        (msgspec.DecodeError,),
    ),
    "orders": (
        lambda data: MessageCodec().decode(data, supervision.Orders),
        (msgspec.DecodeError,),
    ),
    "parse_task_id": (lambda data: workload.parse_task_id(data.decode("latin-1")), ()),
    "parse_address": (
        lambda data: parse_address(address_of(data.decode("latin-1"))),
        (),
    ),
}


@pytest.mark.parametrize("name", DECODERS)
@given(data=BYTES)
def test_decoder_raises_only_what_it_documents(name, data):
    decode, documented = DECODERS[name]
    try:
        decode(data)
    except documented:
        return


@given(odd=BYTES, key=st.sampled_from(["wave/1", "wave/9", "evacuate/a", "other"]))
def test_other_operator_records_hold_beside_an_odd_one(odd, key):
    operations = Operations()
    catalogue = {"version": 3, "routes": [], "tenants": [], "services": []}
    wave = {"wave": 2**52, "machines": ["m"]}
    found = {key: odd, "wave/z": json.dumps(wave).encode(), "evacuate/z": b""}
    found["config"] = json.dumps(catalogue).encode()
    operator.apply_operator_records(found, operations)
    assert operations.version == 3
    assert operations.waves[2**52].machines == ("m",)
    assert "z" in operations.closed_zones


@given(odd=JSON)
def test_other_rows_hold_beside_an_odd_one(odd):
    sound = {"machine": "sound", "state": "up"}
    assert machines._decode_machines([odd, sound])[-1].name == "sound"
    assert machines._decode_tickets([odd, ["sound", "t"]])["sound"] == "t"
    record = {"key": "k", "value": "dg==", "offset": 5}
    found, _ = store._decode_snapshot_page({"items": [odd, record], "end": 9}, "t")
    assert found[-1] == StoredRecord(5, "k", b"v")


@given(odd=BYTES, key=st.sampled_from(["x", "job/x", "end/x.0.0.0", "end/x", "leader"]))
def test_other_records_of_the_ledger_hold_beside_an_odd_one(odd, key):
    state = ledger.Ledger()
    progress = workload.JobProgress(
        tasks={"0.0.0": workload.TaskState(1, "h", Lifetime("w", 1))}
    )
    state.apply("runs", StoredRecord(0, "j", workload.encode(progress)))
    state.apply("runs", StoredRecord(1, key, odd))
    assert state.progress("j") == progress
    assert list(state.tasks_on_host("h").values())[0].run == 1
