"""The soak's checkers flag bad histories, and a short seeded run keeps them clean."""

import socket
import threading
import time

import pytest

from soak import histories
from soak.__main__ import describe
from soak.histories import Call, RequestRun, Start
from soak.plan import LONGEST_LOG_SECONDS, draw_plan
from soak.proxy import CLEAR, CUT_TO_CLIENT, CUT_TO_SERVER, DELAYED, SILENT, Link
from soak.trial import HELD_SECONDS, Trial, Verdict
from standins.ports import free_address

WAIT_SECONDS = 0.3
CI_SEED = 7
CI_SECONDS = 8.0


def identity(body):
    return body


ANSWERED = Call("r-1", "key", False, b"a", "answered", b"a")
RUN = RequestRun("r-1", "a-1", b"a")


def test_sound_history_is_not_flagged():
    assert not any(histories.find_violations([ANSWERED], [RUN], identity).values())
    starts = [Start("j", 1, 0, 1.0), Start("j", 1, 1, 1.0), Start("j", 2, 0, 2.0)]
    assert not histories.doubled_starts(starts)
    assert not histories.starts_after_end(starts, {"j": 2.0})
    assert not histories.changed_ends({"j": {"finished"}})


@pytest.mark.parametrize(
    ("name", "calls", "runs"),
    [
        ("doubled", [ANSWERED], [RUN, RUN._replace(attempt_id="a-2")]),
        ("foreign", [ANSWERED._replace(answer=b"b")], [RUN]),
        ("foreign", [ANSWERED._replace(answer=b"")], [RUN]),
        ("refused", [ANSWERED._replace(outcome="not-run")], [RUN]),
        ("invented", [ANSWERED], []),
    ],
)
def test_bad_history_of_requests_is_flagged(name, calls, runs):
    found = histories.find_violations(calls, runs, identity)
    assert found[name]


def test_bad_history_of_jobs_is_flagged():
    twice = [Start("j", 1, 0, 1.0), Start("j", 1, 0, 2.0)]
    assert histories.doubled_starts(twice) == [twice[1]]
    assert histories.starts_after_end(twice, {"j": 1.5}) == [twice[1]]
    assert histories.changed_ends({"j": {"finished", "failed"}}) == {"j"}
    assert histories.lost_jobs({"j"}, {"j": "running"}) == {"j"}
    assert histories.lost_jobs({"j"}, {}) == {"j"}
    assert histories.backward_steps([1, 3, 2]) == [(3, 2)]
    held = ANSWERED._replace(outcome="lost", seconds=HELD_SECONDS + 1)
    assert histories.overdue_calls([held], HELD_SECONDS)


def test_verdict_names_what_was_broken():
    verdict = Verdict(3, 1, 2, 1, 0, {"doubled": ["x", "y"]})
    assert describe(verdict).splitlines() == [
        "seed 3: 1 faults, 2 calls, 1 answered, 0 jobs, BROKEN",
        "  doubled: 2, such as x",
    ]


def test_same_seed_gives_the_same_plan_and_faults_overlap():
    plan = draw_plan(4, 30.0)
    assert plan == draw_plan(4, 30.0)
    assert plan != draw_plan(5, 30.0)
    overlaps = [a for a, b in zip(plan, plan[1:], strict=False) if b.at < a.until]
    assert len(overlaps) > 5
    assert all(fault.until <= 30.0 for fault in plan)
    for fault in plan:
        if fault.kind == "log":
            assert fault.until - fault.at <= LONGEST_LOG_SECONDS


@pytest.fixture
def link():
    """Return a link to a server that sends back what it gets."""
    address = free_address()
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)))

    def echo(connection):
        while data := connection.recv(100):
            connection.sendall(data)

    def serve():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=echo, args=(connection,), daemon=True).start()

    threading.Thread(target=serve, daemon=True).start()
    link = Link(address)
    yield link
    link.close()
    listener.close()


def connect(link):
    host, _, port = link.address.rpartition(":")
    return socket.create_connection((host, int(port)), 2.0)


def echoed(connection, seconds):
    connection.settimeout(seconds)
    try:
        return connection.recv(100)
    except TimeoutError:
        return None


@pytest.mark.parametrize("state", [SILENT, CUT_TO_SERVER, CUT_TO_CLIENT])
def test_held_bytes_arrive_once_the_link_is_clear(link, state):
    connection = connect(link)
    connection.sendall(b"one")
    assert echoed(connection, 2.0) == b"one"
    link.state = state
    connection.sendall(b"two")
    assert echoed(connection, WAIT_SECONDS) is None
    assert link.disturbed_seconds >= WAIT_SECONDS
    link.state = CLEAR
    assert echoed(connection, 2.0) == b"two"


def test_delayed_link_is_late(link):
    connection = connect(link)
    link.delay_seconds = 0.2
    link.state = DELAYED
    began = time.monotonic()
    connection.sendall(b"one")
    assert echoed(connection, 2.0) == b"one"
    assert time.monotonic() - began >= 0.4


def test_reset_ends_open_connections_and_lets_new_ones_in(link):
    connection = connect(link)
    connection.sendall(b"one")
    assert echoed(connection, 2.0) == b"one"
    assert link.reset() == 2
    with pytest.raises(ConnectionError):
        if echoed(connection, 2.0) == b"":
            raise ConnectionError("closed")
    fresh = connect(link)
    fresh.sendall(b"two")
    assert echoed(fresh, 2.0) == b"two"


@pytest.mark.processes
def test_short_seeded_run_keeps_every_promise():
    verdict = Trial(CI_SEED, CI_SECONDS, workers=3).run()
    assert not verdict.broken, describe(verdict)
    assert verdict.answered > 0
