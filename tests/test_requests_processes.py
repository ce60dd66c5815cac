import time
from concurrent.futures import ThreadPoolExecutor
from random import Random

import msgspec
import pytest
import urllib3

from soak.histories import Call, RequestRun, assert_valid_history, overdue_calls
from standins.cluster import OPERATOR_KEY, Cluster, caller_key
from standins.demo import CATALOGUE

pytestmark = pytest.mark.processes

ACCOUNT = "brocach"
SEED = 5
WORKERS = 3
CALLERS = 8
FAULT_SECONDS = 12.0
DEADLINE_SECONDS = 5.0
MAX_CALL_SECONDS = 12.0  # deadline, query of the agent and time in a frozen entry
MAX_TRIES = 3
MAX_FINAL_TRIES = 10


def echo(body):
    return body


class Callers:
    """Concurrent callers that retry with the same key, and their calls so far."""

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.random = Random(seed)
        self.calls = []
        self.stop_at = time.monotonic() + FAULT_SECONDS

    def run(self, number):
        """Make calls until ``stop_at``, every other one with a key."""
        random = Random(number)
        count = 0
        while time.monotonic() < self.stop_at:
            count += 1
            key = f"key-{number}-{count}" if count % 2 else ""
            body = msgspec.json.encode({"seconds": 0.1, "id": f"{number}-{count}"})
            if key:
                self.call_both_entries(key, body)
            for _ in range(MAX_TRIES):
                call = self.call(random.randrange(2), key, body)
                if call.outcome == "answered" or not key:
                    break
                time.sleep(min(call.retry_after, 0.5))

    def call_both_entries(self, key, body):
        """Call both entries with one key at the same time."""
        with ThreadPoolExecutor(2) as pool:
            list(pool.map(lambda entry: self.call(entry, key, body), range(2)))

    def call(self, entry, key, body):
        """Make one call and record it."""
        headers = {"X-Deadline-Seconds": str(DEADLINE_SECONDS)}
        if key:
            headers["Idempotency-Key"] = key
        else:
            headers["X-Idempotent"] = "true"
        began = time.monotonic()
        call = Call("", key, not key, body, "lost")
        try:
            reply = self.cluster.call(
                "POST", "/v1/requests", caller_key(ACCOUNT), body, headers, entry, 20.0
            )
            call = with_reply(call, *reply)
        except urllib3.exceptions.HTTPError:
            time.sleep(0.1)
        call = call._replace(seconds=time.monotonic() - began)
        self.calls.append(call)
        return call

    def retry_until_final(self, call):
        """Retry a key through both entries until its outcome is final."""
        for number in range(MAX_FINAL_TRIES):
            last = self.call(number % 2, call.key, call.body)
            if last.outcome == "answered" or not last.retry_after:
                return last
            time.sleep(0.3)
        return last


def with_reply(call, status, headers, data):
    request_id = headers.get("X-Request-Id", "")
    if status == 200:
        return call._replace(
            request_id=request_id, outcome="answered", answer=data, status=status
        )
    refusal = msgspec.json.decode(data)
    outcome = {False: "not-run", True: "ran", None: "unknown"}[refusal["ran"]]
    return call._replace(
        request_id=request_id,
        outcome=outcome,
        status=status,
        retry_after=refusal.get("retry_after", 0.0),
        reason=refusal["title"],
    )


def inject_faults(cluster, random, stop_at):
    """Kill or freeze one process after another, or make the log fail."""
    while time.monotonic() < stop_at:
        fault = random.choice(FAULTS)
        fault(cluster, random)
        time.sleep(random.uniform(0.2, 0.8))


def kill_agent(cluster, random):
    index = random.randrange(WORKERS)
    cluster.agents[index].kill()
    cluster.agents[index] = cluster.start_agent(index)


def kill_entry(cluster, random):
    index = random.randrange(2)
    cluster.entries[index].kill()
    cluster.entries[index] = cluster.start_entry(index)


def freeze(cluster, random):
    process = random.choice([*cluster.agents, *cluster.entries])
    process.freeze()
    time.sleep(random.uniform(0.5, 2.0))
    process.thaw()


def fail_log(cluster, random):
    fault = random.choice(["down", "lose_replies", "reads_fail"])
    cluster.set_faults(cluster.log, **{fault: True})
    time.sleep(random.uniform(0.5, 1.5))
    cluster.set_faults(cluster.log)


FAULTS = (kill_agent, kill_entry, freeze, freeze, fail_log, fail_log)


def runs_of(cluster):
    runs = []
    for worker in cluster.workers:
        for entry in cluster.history(worker):
            if entry["what"] == "request":
                body = entry["body"].encode()
                runs.append(RequestRun(entry["request_id"], entry["attempt_id"], body))
    return runs


def test_kills_freezes_and_log_outages_neither_repeat_nor_lose_requests():
    with Cluster((ACCOUNT, "milchschaum"), workers=WORKERS) as cluster:
        assert cluster.call("PUT", "/v1/catalogue", OPERATOR_KEY, CATALOGUE)[0] == 200
        callers = Callers(cluster, SEED)
        cluster.wait_until(
            lambda: callers.call(0, "", b"first").outcome == "answered", 20
        )
        callers.stop_at = time.monotonic() + FAULT_SECONDS
        with ThreadPoolExecutor(CALLERS + 1) as pool:
            faults = pool.submit(inject_faults, cluster, Random(SEED), callers.stop_at)
            list(pool.map(callers.run, range(CALLERS)))
            faults.result()
        cluster.wait_ready()
        calls = {call.key: call for call in callers.calls if call.key}
        with ThreadPoolExecutor(CALLERS) as pool:
            finals = list(pool.map(callers.retry_until_final, calls.values()))
        runs = runs_of(cluster)
    assert_valid_history(callers.calls, runs, echo)
    assert not overdue_calls(callers.calls, MAX_CALL_SECONDS)
    assert {call.outcome for call in finals} <= {"answered", "unknown", "ran"}
    answered = sum(call.outcome == "answered" for call in finals)
    assert answered > 0.8 * len(finals) > 20
