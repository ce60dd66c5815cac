"""Input of another writer: it is refused or left out, and nothing else is."""

import json
import os
import subprocess
import sys

import msgspec
import pytest

from sequoiachute.coordination.store.relay import PING, PingQuery
from sequoiachute.platform.http import HttpClient, HttpResponse, decode_object
from sequoiachute.platform.jobs import InvalidJobError, decode_job_body
from sequoiachute.platform.operator import apply_operator_records
from sequoiachute.platform.store import MetadataStore
from sequoiachute.protocol.codec import MessageCodec
from sequoiachute.protocol.records import decode_record
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.supervision import Report
from sequoiachute.protocol.workload import (
    JobProgress,
    TaskState,
    decode_job,
    decode_progress,
    encode,
)
from sequoiachute.state.ledger import Ledger, decode_speeds
from sequoiachute.state.operations import Operations, Queue
from sequoiachute.transport.address import parse_address
from sequoiachute.transport.rpc import RpcClient, RpcPool

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
