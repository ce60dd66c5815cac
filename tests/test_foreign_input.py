"""Input of another writer: it is refused or left out, and nothing else is."""

import json
import os
import subprocess
import sys

import msgspec
import pytest
from loguru import logger

from sequoiachute.coordination.store.relay import PING, PingQuery
from sequoiachute.platform.fields import FieldError
from sequoiachute.platform.heartbeats import decode_heartbeat
from sequoiachute.platform.http import HttpClient, HttpResponse, decode_object
from sequoiachute.platform.jobs import (
    DEFAULT_DEADLINE_SECONDS,
    InvalidJobError,
    _read_deadline,
    decode_job_body,
)
from sequoiachute.platform.machines import AdviceService, CloudMachines
from sequoiachute.platform.operator import apply_operator_records
from sequoiachute.platform.store import MetadataStore
from sequoiachute.platform.worker import RpcWorker
from sequoiachute.protocol.codec import MessageCodec
from sequoiachute.protocol.records import decode_record
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.supervision import Report
from sequoiachute.protocol.workload import (
    JobGraph,
    JobProgress,
    Lifetime,
    Resources,
    StepSpec,
    TaskState,
    decode_job,
    decode_progress,
    encode,
    parse_task_id,
)
from sequoiachute.state.ledger import Ledger, decode_speeds
from sequoiachute.state.operations import Operations, Queue, Wave
from sequoiachute.transport.address import parse_address
from sequoiachute.transport.machines import Advice, MachineListing, PlatformMachine
from sequoiachute.transport.rpc import RpcClient, RpcPool
from sequoiachute.transport.store import StoreUnavailableError
from sequoiachute.transport.webserver import ARRIVED_AT

QUEUE = Queue("q", "h", "/p/", "s", 1, 2, 3.0, 1.0)
DEEP_JSON = [b'{"a":' * 100_000, b"[" * 100_000 + b"]" * 100_000]
DEEP_MSGPACK = [b"\x91" * 100_000, b"\x95" + b"\x91" * 100_000 + b"\x90"]
DEEP_MSGPACK += [b"\xdc\x00\x40" + b"\x91" * 100_000]


# Nesting.


@pytest.mark.parametrize("data", DEEP_JSON)
def test_deeply_nested_json_is_no_object(data):
    assert decode_object(data) == {}
    assert decode_record(data) is None
    with pytest.raises(InvalidJobError):
        decode_job_body(data, QUEUE, "a", "0" * 16)


@pytest.mark.parametrize("data", DEEP_JSON)
def test_deeply_nested_operator_record_leaves_the_others_in_force(data):
    operations = Operations()
    catalogue = {"version": 3, "routes": [], "tenants": [], "services": []}
    records = {
        "wave/1": data,
        "evacuate/z": data,
        "wave/2": b'{"wave":2,"machines":["m"],"cap":1}',
        "config": json.dumps(catalogue).encode(),
    }
    apply_operator_records(records, operations)
    assert operations.version == 3
    assert list(operations.waves) == [2]
    apply_operator_records({**records, "config": data}, operations)
    assert operations.version == 3


@pytest.mark.parametrize("data", DEEP_MSGPACK)
def test_deeply_nested_message_is_a_decode_error(data):
    for decode in (decode_job, decode_progress, decode_speeds):
        with pytest.raises(msgspec.DecodeError):
            decode(data)
    with pytest.raises(msgspec.DecodeError):
        MessageCodec().decode(data, Report)


@pytest.mark.parametrize("data", DEEP_MSGPACK)
def test_deeply_nested_record_leaves_the_ledger_as_it_was(data):
    ledger = Ledger()
    progress = JobProgress(tasks={"0.0.0": TaskState(1, "h")})
    ledger.apply("runs", StoredRecord(0, "j", encode(progress)))
    for offset, key in enumerate(("j", "job/j", "leader", "machine-speeds"), 1):
        ledger.apply("runs", StoredRecord(offset, key, data))
    assert ledger.progress("j") == progress
    assert ledger.hosts() == ("h",)
    assert ledger.leader is None


# In a process of its own: the paused clock of other tests is a hub of another kind.
CALL_WITH_OTHER_TYPES = """
import eventlet
from sequoiachute.coordination.store.relay import PING, PingQuery, PingReply
from sequoiachute.protocol.supervision import Orders
from sequoiachute.transport.rpc import RpcPool, RpcServer

probe = eventlet.listen(("127.0.0.1", 0))
port = probe.getsockname()[1]
probe.close()
server = RpcServer({PING: lambda message: PingReply(True)})
server.start("127.0.0.1", port)
pool, address = RpcPool(), f"127.0.0.1:{port}"
reply = pool.call(address, PING._replace(reply=Orders), PingQuery(), 2.0)
print(reply.unwrap_err().reason)
request = pool.call(address, PING._replace(request=str), "a text", 2.0)
print(request.unwrap_err().reason)
print(pool.call(address, PING, PingQuery(), 2.0).unwrap())
pool.close()
"""


def test_unreadable_messages_of_a_peer_are_errors_of_the_call():
    outcome = subprocess.run(
        [sys.executable, "-c", CALL_WITH_OTHER_TYPES],
        env={**os.environ, "EVENTLET_HUB": "asyncio"},
        capture_output=True,
        text=True,
        timeout=30,
    )
    reply, request, sound = outcome.stdout.splitlines()
    assert "unreadable reply" in reply
    assert request == "INVALID_ARGUMENT"
    assert sound == "PingReply(reaches_store=True)"


# Addresses.

ODD_ADDRESSES = ["10.0.0.9:99999", ":-1", "10.0.0.9:-1", "10.0.0.9", "h:port", ""]
ODD_ADDRESSES += ["10.0.0.9:" + "9" * 20, "h:0", ":80", "a..b:80", "é:80", "h:²"]
ODD_ADDRESSES += ["h:" + "1" * 5000, "a b:80", "x" * 70 + ":80", "h:8 0", "h:+80"]


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_odd_address_is_an_error_of_the_call(address):
    assert parse_address(address) is None
    for call in (RpcPool().call, lambda _, *rest: RpcClient(address).call(*rest)):
        error = call(address, PING, PingQuery(), 0.2).unwrap_err()
        assert not error.delivered
        assert "host:port" in error.reason
    failure = HttpClient(address).call("GET", "/", 0.2)
    assert not failure.sent
    assert "host:port" in failure.reason


def test_addresses_are_parsed():
    assert parse_address("127.0.0.1:1") == ("127.0.0.1", 1)
    assert parse_address("edge-1.example:65535") == ("edge-1.example", 65535)


def test_odd_member_of_the_group_is_left_out(monkeypatch):
    rows = [["t", 0, f"{address}/x", 0] for address in ODD_ADDRESSES]
    rows += [None, [], "text", {"a": 1}, [1, 2, 3], ["t", 0, ["m"], 0], 7]
    rows.insert(3, ["t", 1, "10.0.0.8:7000/a", 4])
    store = MetadataStore("127.0.0.1:1")
    answer = HttpResponse(200, {}, json.dumps({"items": rows}).encode())
    monkeypatch.setattr(store._http, "call", lambda *call: answer)
    assert store.members("placer") == ("10.0.0.8:7000/a",)


@pytest.mark.parametrize("member", ["", None])
def test_partition_without_an_owner_is_no_odd_member(monkeypatch, member):
    # Guards against warnings on each entry after every restart of all entries.
    rows = [["t", part, member, 0] for part in range(12)]
    rows.insert(3, ["t", 3, "10.0.0.8:7000/a", 4])
    store = MetadataStore("127.0.0.1:1")
    answer = HttpResponse(200, {}, json.dumps({"items": rows}).encode())
    monkeypatch.setattr(store._http, "call", lambda *call: answer)
    lines = []
    sink = logger.add(lines.append, level="WARNING")
    assert store.members("placer") == ("10.0.0.8:7000/a",)
    assert lines == []
    rows.append(["t", 13, "nowhere", 0])
    answer = HttpResponse(200, {}, json.dumps({"items": rows}).encode())
    assert store.members("placer") == ("10.0.0.8:7000/a",)
    assert len(lines) == 1
    logger.remove(sink)


# Numbers and types.

ODD_WHOLES = [-1, 1e300, 2**70, 10**400, True, None, "7", [7], {}, 1.5]
HEARTBEAT = {
    "service": "s",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 1, "mem_mb": 2, "gpus": 0},
    "labels": ["a", "r-1"],
    "clock_ms": 5,
    "seq": 4,
    "born": 1000,
}
CATALOGUE = {
    "version": 4,
    "routes": [{"name": "r", "host": "h", "path_prefix": "/p/", "service": "s"}],
    "tenants": [{"name": "t", "api_keys": ["k"], "guaranteed": {"gpus": 1}}],
    "services": [{"name": "s", "spare": True}],
    "limits": {"max_body_bytes": 1000},
}
WAVE = {"wave": 3, "machines": ["m"], "finish_by_s": 9, "cap": 2}
STATUS = {
    "clock_ms": 5,
    "born": 1000,
    "running": [["j.0.0.0", 1, "", 40, 12]],
    "ended": [[1, "j.0.0.1", 1, "done", ""]],
}


def replaced(value, path, new):
    """Return a copy of ``value`` with the item at ``path`` replaced or deleted."""
    copy = value.copy()
    if len(path) > 1:
        copy[path[0]] = replaced(value[path[0]], path[1:], new)
    elif new is ...:
        del copy[path[0]]
    else:
        copy[path[0]] = new
    return copy


@pytest.mark.parametrize("value", [*ODD_WHOLES, ...])
@pytest.mark.parametrize(
    "path", ["born", "seq", "capacity.cpu", "capacity.mem_mb", "capacity.gpus"]
)
def test_heartbeat_with_an_odd_number_names_no_worker(path, value):
    assert decode_heartbeat("w", HEARTBEAT).sequence == 4
    with pytest.raises(FieldError):
        decode_heartbeat("w", replaced(HEARTBEAT, path.split("."), value))


@pytest.mark.parametrize(
    ("name", "value"),
    [("state", ["ready"]), ("state", "gone"), ("labels", "ab"), ("labels", [1])]
    + [("service", None), ("zone", 7), ("capacity", [1, 2, 3]), ("remaining_ms", 1e300)]
    + [("remaining_ms", 10**400), ("clock_ms", 2**70)],
)
def test_heartbeat_with_an_odd_field_names_no_worker(name, value):
    with pytest.raises(FieldError):
        decode_heartbeat("w", {**HEARTBEAT, name: value})


@pytest.mark.parametrize("worker_id", ["", "a\nb", "é", "a b", "x" * 200])
def test_heartbeat_of_a_worker_that_no_header_can_name_is_refused(worker_id):
    with pytest.raises(FieldError):
        decode_heartbeat(worker_id, HEARTBEAT)


@pytest.mark.parametrize(
    ("path", "value"),
    [(("version",), value) for value in (*ODD_WHOLES, ...)]
    + [(("routes", 0, "host"), value) for value in (None, [], 7, ...)]
    + [(("routes", 0, "service"), value) for value in ([], {})]
    + [(("routes", 0, "stretch"), value) for value in (10**400, "x", -1)]
    + [(("tenants", 0, "api_keys"), value) for value in ("k", [["k"]], [1], {})]
    + [(("tenants", 0, "guaranteed"), value) for value in ([1], {"gpus": 1e300})]
    + [(("services", 0, "name"), value) for value in ([], {}, 7)]
    + [(("limits",), value) for value in ([], {"max_body_bytes": 10**400})],
)
def test_odd_catalogue_is_ignored_and_a_later_one_holds(path, value):
    operations = Operations()
    odd = replaced(CATALOGUE, path, value)
    apply_operator_records({"config": json.dumps(odd).encode()}, operations)
    assert operations.version == 0
    apply_operator_records({"config": json.dumps(CATALOGUE).encode()}, operations)
    assert operations.version == 4


@pytest.mark.parametrize(
    ("name", "value"),
    [("wave", value) for value in ODD_WHOLES]
    + [("machines", value) for value in ("m", [["m"]], [{}], None, [1])]
    + [("finish_by_s", 10**400), ("cap", 1e300), ("cap", -1)],
)
def test_odd_wave_is_ignored_and_the_others_hold(name, value):
    operations = Operations()
    records = {
        "wave/1": json.dumps({**WAVE, name: value}).encode(),
        "wave/3": json.dumps(WAVE).encode(),
    }
    apply_operator_records(records, operations)
    assert operations.waves == {3: Wave(3, ("m",), 9.0, 2)}


@pytest.mark.parametrize(
    ("path", "value"),
    [(("running", 0, 1), value) for value in ODD_WHOLES]
    + [(("ended", 0, 0), value) for value in ODD_WHOLES]
    + [(("ended", 0, 2), value) for value in ODD_WHOLES]
    + [(("born",), value) for value in ODD_WHOLES]
    + [(("clock_ms",), value) for value in (*ODD_WHOLES, ...)]
    + [(("running", 0, 0), ["j"]), (("ended", 0, 1), ["j"]), (("ended", 0, 3), None)]
    + [(("running", 0, 3), 1e300), (("running", 0, 4), 10**400)]
    + [(("running", 0), "text"), (("ended", 0), [1]), (("ended", 0), {})]
    + [(("running",), {}), (("ended",), "text"), (("running",), ...)],
)
def test_odd_status_of_a_worker_is_an_error_of_the_poll(monkeypatch, path, value):
    worker = RpcWorker("127.0.0.1:1")
    bodies = [STATUS, replaced(STATUS, path, value)]
    answers = [HttpResponse(200, {}, json.dumps(body).encode()) for body in bodies]
    monkeypatch.setattr(worker._poll_client, "call", lambda *call: answers.pop(0))
    lifetime = Lifetime("w", 1000)
    sound = worker.poll(lifetime, 1, 0, 0, 0.0).unwrap()
    assert (sound.lifetime, sound.ends[0].task) == (lifetime, "j.0.0.1")
    assert "unreadable" in worker.poll(lifetime, 1, 0, 0, 0.0).unwrap_err().reason


@pytest.mark.parametrize(
    "body", [{}, [], {"items": [], "end": 1e300}, {"items": {}, "end": 1}]
)
def test_unreadable_snapshot_is_an_unavailable_store(monkeypatch, body):
    store = answering_store(monkeypatch, [body])
    with pytest.raises(StoreUnavailableError):
        store.snapshot("op")


def test_odd_item_of_a_snapshot_is_left_out(monkeypatch):
    odd = [None, {}, {"key": 7, "value": "", "offset": 1}, "text"]
    odd += [{"key": "k", "value": value, "offset": 1} for value in (7, "é", "a")]
    odd += [{"key": "k", "value": "", "offset": value} for value in ODD_WHOLES]
    sound = {"key": "k", "value": "dg==", "offset": 5}
    store = answering_store(monkeypatch, [{"items": [*odd, sound], "end": 6}])
    assert store.snapshot("op").records == (StoredRecord(5, "k", b"v"),)


def test_snapshot_that_does_not_go_on_is_an_unavailable_store(monkeypatch):
    sound = {"key": "k", "value": "dg==", "offset": 5}
    for rows in ([], [{}], [sound]):
        page = {"items": rows, "has_more": True, "end": 6}
        store = answering_store(monkeypatch, [page, page])
        with pytest.raises(StoreUnavailableError):
            store.snapshot("op")


@pytest.mark.parametrize("text", ["²", "1" * 5000, "9" * 400, "-1"])
def test_odd_deadline_of_a_caller_counts_as_none(text):
    environ = {"HTTP_X_DEADLINE_MS": text, ARRIVED_AT: 10.0}
    assert _read_deadline(environ) == 10.0 + DEFAULT_DEADLINE_SECONDS


@pytest.mark.parametrize("value", [-1, 1e300, True, None, "7", [7], 10**400])
def test_odd_answer_to_a_write_of_the_store_is_no_success(monkeypatch, value):
    store = answering_store(monkeypatch, [{"offset": value}, {"generation": value}])
    assert store.append("t", []).unwrap_err().applied is None
    with pytest.raises(StoreUnavailableError):
        store.join("g", "m", 0, 1.0)


def answering_store(monkeypatch, bodies):
    store = MetadataStore("127.0.0.1:1")
    answers = [HttpResponse(200, {}, json.dumps(body).encode()) for body in bodies]
    monkeypatch.setattr(store._http, "call", lambda *call: answers.pop(0))
    return store


def test_odd_row_of_advice_is_left_out(monkeypatch):
    service = AdviceService("127.0.0.1:1")
    good = [["w", "ticket"], [], ["v"], "vw", [["v"], "t"], None, {"a": 1, "b": 2}]
    body = {"good": good, "valid_ms": 3000}
    answers = [body, {**body, "valid_ms": 1e300}, {**body, "good": {}}]
    answers = [HttpResponse(200, {}, json.dumps(item).encode()) for item in answers]
    monkeypatch.setattr(service._http, "call", lambda *call: answers.pop(0))
    assert service.advise("s", ("w",)).unwrap() == Advice({"w": "ticket"}, 3.0)
    for _ in range(2):
        assert "invalid advice" in service.advise("s", ("w",)).unwrap_err()


@pytest.mark.parametrize("text", ["j.².0.0", "j.0.0." + "1" * 5000, "j.0.0.-1"])
def test_odd_task_id_is_none(text):
    assert parse_task_id(text) is None


# Machines.

MACHINE = {"machine": "m-1", "state": "up", "zone": "z", "id": "w"}
ODD_MACHINES = [None, [], "text", 7, {}, {"state": "up"}, {**MACHINE, "machine": 7}]
ODD_MACHINES += [{**MACHINE, "machine": value} for value in ("", None, [["m"]])]
ODD_MACHINES += [{**MACHINE, name: [7]} for name in ("id", "zone", "state")]


def answering_machines(monkeypatch, bodies):
    service = CloudMachines("127.0.0.1:1", MetadataStore("127.0.0.1:1"))
    answers = [HttpResponse(200, {}, json.dumps(body).encode()) for body in bodies]
    paths = []

    def call(method, path, *rest):
        paths.append(path)
        return answers.pop(0)

    monkeypatch.setattr(service._http, "call", call)
    return service, paths


@pytest.mark.parametrize("odd", ODD_MACHINES)
def test_odd_machine_of_a_list_is_left_out_and_the_others_hold(monkeypatch, odd):
    other = {"machine": "m-2", "state": "upkeep", "id": None}
    pages = [{"machines": [odd, MACHINE], "next_token": "a b&c"}]
    pages.append({"machines": [other, odd], "next_token": None})
    service, paths = answering_machines(monkeypatch, pages)
    known = (
        PlatformMachine("m-1", "w", "z", True, False),
        PlatformMachine("m-2", "", "", False, True),
    )
    assert service.machines().unwrap() == MachineListing(known, is_whole=False)
    assert paths == ["/v1/machines", "/v1/machines?page_token=a+b%26c"]


def test_machine_in_a_state_without_a_name_is_neither_up_nor_in_upkeep(monkeypatch):
    page = {"machines": [{**MACHINE, "state": "odd"}]}
    service, _ = answering_machines(monkeypatch, [page])
    (machine,), is_whole = service.machines().unwrap()
    assert is_whole
    assert not (machine.is_up or machine.in_upkeep)


@pytest.mark.parametrize("token", [7, ["t"], {"a": 1}])
def test_page_of_machines_that_does_not_go_on_is_an_error(monkeypatch, token):
    page = {"machines": [MACHINE], "next_token": token}
    service, paths = answering_machines(monkeypatch, [page] * 2)
    assert "invalid machine list" in service.machines().unwrap_err()
    assert len(paths) == 1


def test_pages_of_machines_that_repeat_are_an_error(monkeypatch):
    pages = [{"machines": [MACHINE], "next_token": token} for token in "abab"]
    service, paths = answering_machines(monkeypatch, pages)
    assert "invalid machine list" in service.machines().unwrap_err()
    assert len(paths) == 3


# Keys of the ledger.


@pytest.mark.parametrize("key", ["", "x", "0.0", "x.0.0", "0.².0", "0.0." + "9" * 99])
def test_odd_task_key_leaves_the_ledger_as_it_was(key):
    ledger = Ledger()
    progress = JobProgress(tasks={"0.0.0": TaskState(1, "h")}, begun=True)
    odd = JobProgress(tasks={key: TaskState(1, "odd")})
    job = JobGraph("j", "a", "q", "s", "", (StepSpec(2, Resources()),))
    ledger.apply("jobs", StoredRecord(0, "job/j", encode(job)))
    ledger.apply("runs", StoredRecord(1, "j", encode(progress)))
    ledger.apply("runs", StoredRecord(2, "j", encode(odd)))
    ledger.apply("jobs", StoredRecord(3, f"end/j.{key}", encode(1)))
    assert ledger.progress("j") == progress
    assert ledger.hosts() == ("h",)
    assert ledger.state("j") == "active"


def test_end_of_a_step_that_the_job_lacks_is_no_end_of_its_tasks():
    ledger = Ledger()
    job = JobGraph("j", "a", "q", "s", "", (StepSpec(1, Resources()),))
    ledger.apply("jobs", StoredRecord(0, "job/j", encode(job)))
    ledger.apply("jobs", StoredRecord(1, "end/j.0.7.0", encode(1)))
    assert ledger.state("j") == "pending"
