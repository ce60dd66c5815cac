import eventlet
import pytest

from sequoiachute import clock
from sequoiachute.coordination.executor import Executor
from sequoiachute.protocol.messages import AttemptQuery, Execute, ExecuteReply
from sequoiachute.state.attempts import AttemptTable
from tests.request_site import RecordingBackend, answer_to

pytestmark = pytest.mark.usefixtures("paused_clock")

CONNECTIONS = 2
VALID_UNTIL = 10.0


class StubConfigurationView:
    in_service = True


@pytest.fixture
def backend(paused_clock):
    return RecordingBackend()


@pytest.fixture
def executor(backend):
    return Executor("i-1", CONNECTIONS, StubConfigurationView(), backend)


def execute_message(attempt="a-1", incarnation="i-1", idempotent=False, deadline=5.0):
    return Execute(
        request_id="r-1",
        attempt_id=attempt,
        incarnation=incarnation,
        account="brocach",
        idempotent=idempotent,
        deadline=deadline,
        config_offset=0,
        content_type="text/plain",
        body=b"tag",
        valid_until=VALID_UNTIL,
    )


def query(attempt="a-1", incarnation="i-1", wait=0.0):
    return AttemptQuery("r-1", attempt, incarnation, VALID_UNTIL, wait)


def test_attempt_queried_before_it_arrives_never_runs(executor, backend):
    assert executor.attempt_outcome(query()).outcome == "not-run"
    assert executor.execute(execute_message()).outcome == "not-run"
    assert backend.history == []


def test_refused_attempt_never_runs_when_sent_again(executor, backend):
    StubConfigurationView.in_service = False
    assert executor.execute(execute_message()).outcome == "not-run"
    StubConfigurationView.in_service = True
    assert executor.execute(execute_message()).outcome == "not-run"
    assert backend.history == []


def test_duplicate_gets_the_answer_of_the_only_run(executor, backend):
    first = executor.execute(execute_message())
    again = executor.execute(execute_message())
    assert first.body == again.body == answer_to(b"tag")
    assert len(backend.history) == 1


def test_duplicate_of_a_running_attempt_is_reported_as_running(executor, backend):
    backend.service_seconds = 3.0
    eventlet.spawn(executor.execute, execute_message())
    clock.sleep(1)
    assert executor.execute(execute_message()).outcome == "running"
    assert executor.attempt_outcome(query(wait=5.0)).outcome == "answered"
    assert len(backend.history) == 1


def test_other_incarnation_runs_nothing_and_reports_unknown(executor, backend):
    assert executor.execute(execute_message(incarnation="i-0")).outcome == "not-run"
    assert (
        executor.attempt_outcome(query("a-2", incarnation="i-0")).outcome == "unknown"
    )
    assert backend.history == []


def test_attempt_past_its_validity_is_refused(executor, backend):
    clock.sleep(VALID_UNTIL + 0.1)
    assert executor.execute(execute_message()).outcome == "not-run"
    assert backend.history == []


def test_answer_after_the_deadline_is_kept_for_the_key(executor, backend):
    backend.service_seconds = 4.0
    assert executor.execute(execute_message(deadline=1.0)).outcome == "running"
    assert executor.attempt_outcome(query(wait=5.0)).body == answer_to(b"tag")


def test_connection_limit_is_never_exceeded(executor, backend):
    backend.service_seconds = 1.0
    tasks = [
        eventlet.spawn(executor.execute, execute_message(f"a-{n}")) for n in range(5)
    ]
    outcomes = [task.wait().outcome for task in tasks]
    assert sorted(outcomes) == ["answered"] * 2 + ["not-run"] * 3
    assert backend.most_open == CONNECTIONS
    assert executor.open_connections == 0


def reply(attempt, body=b"answer", outcome="answered"):
    return ExecuteReply("r", attempt, outcome, 200, "", "", len(body), body)


def test_attempt_table_forgets_only_attempts_past_their_validity():
    table = AttemptTable(max_attempts=3)
    for number in range(3):
        table.begin(f"a-{number}", VALID_UNTIL)
        table.end(f"a-{number}", reply(f"a-{number}"), 1.0, True)
    assert table.is_full(VALID_UNTIL - 1)
    assert not table.is_forgotten(VALID_UNTIL)
    assert not table.is_full(VALID_UNTIL + 1)
    assert table.is_forgotten(VALID_UNTIL)
    assert not table.is_forgotten(VALID_UNTIL + 1)


def test_attempt_table_bounds_the_bytes_of_held_answers():
    table = AttemptTable(max_held_bytes=10)
    for number in range(4):
        table.begin(f"a-{number}", VALID_UNTIL)
        table.end(f"a-{number}", reply(f"a-{number}"), 1.0, True)
        assert table.held_bytes <= 10
    assert not table.reply("a-0").held
    assert table.reply("a-3").body == b"answer"
