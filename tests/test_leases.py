"""Leases that the placer grants, and when they have certainly expired."""

import eventlet
import pytest

from sequoiachute import clock
from sequoiachute.coordination.dispatch.losses import Losses
from sequoiachute.coordination.dispatch.sessions import (
    LEASE_EXPIRY_MARGIN_SECONDS,
    LEASE_SECONDS,
    MAX_CLOCK_DRIFT,
    AgentSessions,
)
from sequoiachute.coordination.dispatch.settlement import ProgressDraft, Settlement
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.supervision import Orders, Report, WorkerInfo
from sequoiachute.protocol.workload import (
    JobGraph,
    JobProgress,
    Lifetime,
    Resources,
    StepSpec,
    TaskState,
    encode,
)
from sequoiachute.state.ledger import Ledger
from sequoiachute.state.metrics import Metrics
from standins.task_worker import CLOCK_RATE

pytestmark = pytest.mark.usefixtures("paused_clock")

TERM = 7
REPLY = Orders(False, "", TERM, ())
# From the newest reading of the worker's clock until its leases have expired.
LEASE_LIFETIME_SECONDS = (
    LEASE_SECONDS * (1 + MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_SECONDS
)


def report(lifetime, clock_ms, sequence, wait=0.0):
    info = WorkerInfo(lifetime, "render", "z", "r", (), Resources(gpus=4))
    return Report("h", "agent-1", sequence, info, None, TERM, clock_ms, wait=wait)


def sessions_with_a_placed_run(lifetime):
    ledger = Ledger()
    job = JobGraph("j", "a", "q", "render", "", (StepSpec(1, Resources()),))
    ledger.apply("runs", StoredRecord(1, "job/j", encode(job)))
    progress = JobProgress("", {"0.0.0": TaskState(1, "h", lifetime)})
    ledger.apply("runs", StoredRecord(2, "j", encode(progress)))
    return ledger, AgentSessions(ledger, TERM, lambda: None, lambda: 0.0)


def test_reply_grants_a_lifetime_no_lease_by_the_clock_of_the_one_before():
    old, new = Lifetime("w-1", 1), Lifetime("w-2", 2)
    _, agents = sessions_with_a_placed_run(new)
    agents.handle_report(report(old, 900_000, sequence=1), REPLY)
    known_version = agents.sessions["h"].version
    waiting = report(old, 900_001, sequence=2, wait=0.7)
    waiting = waiting._replace(known_version=known_version)
    reply = eventlet.spawn(agents.handle_report, waiting, REPLY)
    clock.sleep(0.1)
    agents.handle_report(report(new, 1000, sequence=3), REPLY)
    orders = reply.wait()
    assert orders.lifetime == new
    assert orders.lease_ms == 0


def test_lease_ends_before_a_worker_counts_as_lost_by_its_newest_reading():
    """Also if the report with that reading is overtaken by a later one."""
    lifetime = Lifetime("w", 1)
    _, agents = sessions_with_a_placed_run(lifetime)
    agents.handle_report(report(lifetime, 1000, sequence=1), REPLY)
    clock.sleep(5.0)
    agents.handle_report(report(lifetime, 1000, sequence=3), REPLY)
    reading_ms = 1000 + int(5.0 * 1000 * CLOCK_RATE)
    read_at = clock.now()
    orders = agents.handle_report(report(lifetime, reading_ms, sequence=2), REPLY)
    lease_end = read_at + (orders.lease_ms - reading_ms) / 1000 * (1 + MAX_CLOCK_DRIFT)
    for sequence in range(4, 100):
        agents.handle_report(report(lifetime, 1000, sequence), REPLY)
        if agents.is_lost("h"):
            break
        clock.sleep(0.25)
    assert lease_end < clock.now() <= lease_end + 0.6


def test_run_whose_loss_is_being_recorded_is_not_ordered_again():
    lifetime = Lifetime("w", 1)
    ledger, agents = sessions_with_a_placed_run(lifetime)
    agents.handle_report(report(lifetime, 1000, sequence=1), REPLY)
    [order] = agents.handle_report(report(lifetime, 1001, sequence=2), REPLY).runs
    assert not order.stop
    clock.sleep(LEASE_LIFETIME_SECONDS + 0.1)
    draft = ProgressDraft(ledger)
    Settlement(ledger, agents, Losses(agents, Metrics())).settle(draft)
    assert draft.changed
    [order] = agents.handle_report(report(lifetime, 9001, sequence=3), REPLY).runs
    assert order.stop
