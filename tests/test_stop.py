import signal
import socket
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
import urllib3
import yaml

from sequoiachute.status import ExitStatus
from standins.cluster import OPERATOR_KEY, Cluster, caller_key
from standins.demo import CATALOGUE
from standins.ports import free_address

pytestmark = pytest.mark.processes

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
KEY = caller_key("brocach")
BODY = b'{"seconds": 1.5, "proof": "%s"}' % (b"x" * 100_000)
IDLE_PROGRAM = """
import os
os.environ["EVENTLET_HUB"] = "asyncio"
import eventlet
eventlet.monkey_patch()
from sequoiachute.signals import StopSignals
signals = StopSignals()
signals.install()
print("ready", flush=True)
signals.wait()
"""


@pytest.fixture
def cluster():
    with Cluster(("brocach",), workers=1, entries=1) as started:
        assert started.call("PUT", "/v1/catalogue", OPERATOR_KEY, CATALOGUE)[0] == 200
        started.wait_until(lambda: send(started, b"")[0] == 200, 20)
        yield started


def send(cluster, body):
    headers = {"X-Idempotent": "true"}
    status, _, answer = cluster.call("POST", "/v1/requests", KEY, body, headers)
    return status, answer


def wait_for_request_count(cluster, count):
    worker = cluster.workers[0]
    cluster.wait_until(lambda: len(cluster.history(worker)) >= count, 10)


def send_in_background(cluster, pool, body=BODY):
    """Send a request and return its future once the request is running."""
    count = len(cluster.history(cluster.workers[0]))
    answer = pool.submit(send, cluster, body)
    wait_for_request_count(cluster, count + 1)
    return answer


def test_entry_finishes_requests_before_it_stops(cluster):
    entry = cluster.entries[0]
    http = urllib3.PoolManager(retries=False)
    assert http.request("GET", f"http://{entry.address}/readyz").status == 200
    with ThreadPoolExecutor(2) as pool:
        answer = send_in_background(cluster, pool)
        entry.popen.send_signal(signal.SIGTERM)
        cluster.wait_until(lambda: ready_status(http, entry) == 503, 1)
        assert send(cluster, b"still served") == (200, b"still served")
        assert answer.result() == (200, BODY)
    assert entry.popen.wait(10) == ExitStatus.OK


def ready_status(http, entry):
    return http.request("GET", f"http://{entry.address}/readyz").status


def test_entry_answers_requests_received_before_the_signal(cluster):
    entry = cluster.entries[0]
    entry.freeze()
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(send, cluster, b"had arrived")
        time.sleep(0.2)
        entry.popen.send_signal(signal.SIGTERM)
        entry.thaw()
        assert answer.result() == (200, b"had arrived")
    assert entry.popen.wait(10) == ExitStatus.OK


def test_agent_finishes_requests_before_it_stops(cluster):
    agent = cluster.agents[0]
    with ThreadPoolExecutor(1) as pool:
        answer = send_in_background(cluster, pool)
        agent.popen.send_signal(signal.SIGTERM)
        assert answer.result() == (200, BODY)
    assert agent.popen.wait(10) == ExitStatus.OK


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_second_signal_exits_at_once(cluster, role):
    process = (cluster.entries if role == "entry" else cluster.agents)[0]
    body = b'{"seconds": 4}'
    with ThreadPoolExecutor(1) as pool:
        answer = send_in_background(cluster, pool, body)
        process.popen.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        assert process.popen.poll() is None
        process.popen.send_signal(signal.SIGTERM)
        assert process.popen.wait(5) == ExitStatus.INTERRUPTED
        for entry in cluster.entries:
            entry.kill()
        assert answer.exception() is not None or answer.result()[0] >= 500


def test_signal_wakes_an_idle_process():
    with subprocess.Popen(
        [sys.executable, "-c", IDLE_PROGRAM], stdout=subprocess.PIPE
    ) as idle:
        assert idle.stdout.readline() == b"ready\n"
        time.sleep(0.3)
        idle.send_signal(signal.SIGTERM)
        try:
            assert idle.wait(5) == 0
        finally:
            idle.kill()


@pytest.mark.parametrize("key", ["http_address", "rpc_address"])
def test_address_in_use_is_reported(tmp_path, key):
    settings = yaml.safe_load((EXAMPLES / "entry.yaml").read_text())
    for name in ("http_address", "rpc_address"):
        settings[name] = free_address()
    path = tmp_path / "entry.yaml"
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        settings[key] = f"127.0.0.1:{listener.getsockname()[1]}"
        path.write_text(yaml.safe_dump(settings))
        arguments = ["-W", "ignore", "-m", "sequoiachute", "entry"]
        ended = subprocess.run(
            [sys.executable, *arguments, "--settings", str(path)],
            capture_output=True,
            text=True,
            timeout=30,
        )
    assert ended.returncode == ExitStatus.ERROR
    assert ended.stderr.startswith(f"sequoiachute: error: {key}: can't listen on ")
    assert ended.stderr.count("\n") == 1
