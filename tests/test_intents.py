import pytest

from sequoiachute import clock
from sequoiachute.protocol.records import INTENTS_STREAM
from sequoiachute.state.intents import IntentTable
from soak.histories import assert_valid_history
from tests.request_site import RequestSite, answer_to

pytestmark = pytest.mark.usefixtures("paused_clock")

AFTER_INTENT_SECONDS = 0.012  # the intent is in the log, the attempt not begun


@pytest.fixture
def site(paused_clock):
    site = RequestSite()
    yield site
    assert_valid_history(site.calls, site.runs, answer_to)


def recorded_intents(site):
    return [i for i in site.entries[1].intents.intents() if i.attempt_id]


def start_call_and_crash_entry(site, seconds, key="tag"):
    """Start a call at entry 0 and crash the entry after ``seconds``."""
    site.start_call(0, key=key)
    site.run_for(seconds)
    site.replace_entry(0)
    site.run_for(3)


def test_attempt_that_arrives_after_its_validity_does_not_run(site):
    for backend in (0, 1):
        site.freeze(backend)
    first = site.start_call(0, key="tag", deadline=4)
    site.run_for(20)
    assert first.wait().outcome == "unknown"
    site.heal()
    site.run_for(3)
    assert site.runs == []
    assert site.call(1, key="tag").outcome == "answered"


def test_entry_that_crashes_before_the_attempt_lets_another_run_it(site):
    site.cut(0, 0, both=False)
    site.cut(0, 1, both=False)
    site.network.delay = 0.05
    start_call_and_crash_entry(site, AFTER_INTENT_SECONDS)
    assert len(recorded_intents(site)) == 1
    assert site.runs == []
    site.heal()
    assert site.call(1, key="tag").outcome == "answered"
    assert len(site.runs) == 1


def test_entry_that_crashes_before_the_record_leaves_the_answer_at_the_agent(site):
    for backend in site.backends:
        backend.service_seconds = 1.0
    start_call_and_crash_entry(site, 0.5)
    again = site.call(1, key="tag")
    assert (again.outcome, again.answer) == ("answered", answer_to(b"tag"))
    assert len(site.runs) == 1


def test_key_is_not_run_again_after_its_agent_crashed(site):
    for backend in site.backends:
        backend.service_seconds = 1.0
    start_call_and_crash_entry(site, 0.5)
    for agent in (0, 1):
        site.replace_agent(agent)
    site.run_for(3)
    for entry in (0, 1, 0):
        call = site.call(entry, key="tag")
        assert (call.outcome, call.retry_after) == ("unknown", 0.0)
        site.run_for(1)
    assert len(site.runs) == 1


def test_log_outage_refuses_promptly_and_does_not_affect_idempotent_requests(site):
    site.log.down = True
    refused = site.call(0, key="tag", deadline=30)
    assert refused.outcome == "not-run"
    assert refused.retry_after > 0
    assert refused.seconds < 2
    for _ in range(20):
        assert site.call(0).outcome == "answered"
    site.log.down = False
    site.run_for(5)
    assert site.call(1, key="tag").outcome == "answered"


@pytest.mark.parametrize("fault", ["lose_replies", "reads_fail"])
def test_unconfirmed_intent_is_run_only_if_read_back(site, fault):
    setattr(site.log, fault, True)
    first = site.call(0, key="tag", deadline=30)
    assert first.outcome in ("answered", "not-run")
    assert first.seconds < 5
    site.heal()
    site.run_for(10)
    assert site.call(1, key="tag").outcome == "answered"
    assert len(site.runs) == 1


def test_same_key_with_another_body_is_refused(site):
    site.call(0, key="tag", body=b"one")
    other = site.call(1, key="tag", body=b"two")
    assert (other.outcome, other.status) == ("not-run", 409)
    assert len(site.runs) == 1


def test_answer_is_repeated_through_another_entry(site):
    first = site.call(0, key="tag")
    site.run_for(1)
    assert site.call(1, key="tag").answer == first.answer
    assert len(site.runs) == 1


def test_racing_entries_run_a_key_once(site):
    tasks = [site.start_call(i % 2, key="tag") for i in range(10)]
    outcomes = [task.wait().outcome for task in tasks]
    assert "answered" in outcomes
    assert set(outcomes) <= {"answered", "unknown", "not-run"}
    assert len(site.runs) == 1


def test_concurrent_calls_at_one_entry_record_one_outcome(site):
    tasks = [site.start_call(0, key="tag") for _ in range(10)]
    assert "answered" in [task.wait().outcome for task in tasks]
    site.run_for(1)
    pages = site.log.read(INTENTS_STREAM, 0, 0).entries
    ends = [entry for entry in pages if b"intent-answered" in entry.data]
    assert len(ends) == 1


def test_large_answer_is_held_by_the_agent_until_it_restarts(site):
    body = b"x" * 100_000
    first = site.call(0, key="tag", body=body)
    site.run_for(1)
    assert site.call(1, key="tag", body=body).answer == first.answer
    for agent in (0, 1):
        site.replace_agent(agent)
    site.run_for(3)
    gone = site.call(1, key="tag", body=body)
    assert (gone.outcome, gone.status) == ("ran", 410)
    assert len(site.runs) == 1


@pytest.mark.parametrize("age, outcome", [(60, "answered"), (1790, "unknown")])
def test_key_too_old_to_be_checked_is_not_run(site, age, outcome):
    call = site.call(0, key="tag", created=clock.wall_time() - age)
    assert call.outcome == outcome


def test_burst_of_intents_stays_within_the_append_limit_of_the_platform():
    site = RequestSite(limits={"queued_requests": 4000})
    before = site.log.appends
    tasks = [site.start_call(0, key=f"tag-{i}") for i in range(1000)]
    assert {task.wait().outcome for task in tasks} == {"answered"}
    site.run_for(2)
    assert site.log.appends - before < 100
    assert site.log.read(INTENTS_STREAM, 0, 0).next == 2000


def test_entry_stops_in_a_log_outage_and_another_returns_the_answer(site):
    call = site.start_call(0, key="tag")
    site.run_for(0.02)
    site.log.down = True
    assert call.wait().outcome == "answered"
    assert site.entries[0].leave(30)
    site.log.down = False
    site.run_for(10)
    assert site.call(1, key="tag").outcome == "answered"
    assert len(site.runs) == 1


def intent_record(attempt, at, key="tag", body="d"):
    return {
        "kind": "intent-recorded",
        "record_id": attempt,
        "account": "a",
        "idempotency_key": key,
        "body_digest": body,
        "request_id": "r",
        "attempt_id": attempt,
        "worker_id": "w",
        "incarnation": "i",
        "recorded_at": at,
    }


def outcome_record(attempt, outcome, key="tag", answer=""):
    return {
        "kind": "intent-answered",
        "record_id": f"{attempt}-end",
        "account": "a",
        "idempotency_key": key,
        "attempt_id": attempt,
        "outcome": outcome,
        "status": 200,
        "content_type": "",
        "answer": answer,
    }


@pytest.mark.parametrize(
    "outcome, winner",
    [("", "x"), ("answered", "x"), ("unknown", "x"), ("not-run", "y")],
)
def test_second_intent_wins_only_after_not_run(outcome, winner):
    table = IntentTable()
    table.apply(intent_record("x", 0))
    if outcome:
        table.apply(outcome_record("x", outcome))
    table.apply(intent_record("y", 1))
    assert table.get("a", "tag").attempt_id == winner


def test_recorded_answers_and_keys_are_bounded():
    table = IntentTable(key_seconds=100, max_held_bytes=1000)
    for number in range(1000):
        table.apply(intent_record(f"x{number}", number, f"k{number}"))
        table.apply(outcome_record(f"x{number}", "answered", f"k{number}", "y" * 100))
        assert table.held_bytes <= 1000
    assert len(table) <= 100 + 2 * 60 + 1
    assert not table.get("a", "k985").held
    assert table.get("a", "k999").held
