"""Start, run and stop of a gang at the agents, with a fault at each step."""

import eventlet
import pytest

from sequoiachute.coordination.bounds import (
    AGENT_STARTUP_HOLD_SECONDS,
    GANG_LEASE_SECONDS,
    MAX_PARTIAL_GANG_SECONDS,
    TASK_LEASE_SECONDS,
)
from sequoiachute.protocol.messages import (
    COMMIT,
    RESERVE,
    STOP,
    Commit,
    GangMember,
    Reserve,
    Stop,
)
from standins.site import Site, agent_address, create_catalogue

pytestmark = pytest.mark.usefixtures("paused_clock")

ACCOUNT = {"owner": "Brocach", "job_class": "batch"}
TERM = 1000
JOB = "job-1"


class TwoMemberGang:
    """A gang with one member on each of two workers; the test acts as the placer."""

    def __init__(self):
        self.site = Site(workers=2, entries=1)
        self.site.publish(create_catalogue(brocach=ACCOUNT))
        self.site.run_for(AGENT_STARTUP_HOLD_SECONDS + 1)
        self.caller = self.site.network.caller("test")

    def call(self, index, method, message, timeout=10.0):
        return self.caller.call(agent_address(index), method, message, timeout)

    def reserve(self, index, attempt=1, term=TERM, hold=4.0, job=JOB):
        message = Reserve(job, attempt, index, "brocach", False, (0, 1), term, 0, hold)
        return self.call(index, RESERVE, message).unwrap()

    def commit(self, tokens, attempt=1, term=TERM, run_seconds=60.0):
        members = []
        for index, token in enumerate(tokens):
            members.append(
                GangMember(index, f"worker-{index}", agent_address(index), token)
            )
        message = Commit(JOB, attempt, term, 0, "", run_seconds, 0.0, tuple(members))
        return self.call(0, COMMIT, message)

    def start(self, **options):
        tokens = [self.reserve(0).token, self.reserve(1).token]
        return self.commit(tokens, **options)

    def stop(self, index, term=TERM):
        return self.call(index, STOP, Stop(JOB, 1, False, "test", term))

    def running_counts(self):
        return [len(backend.running()) for backend in self.site.backends]

    def start_counts(self):
        return [len(backend.starts) for backend in self.site.backends]


def test_every_member_of_a_gang_starts():
    gang = TwoMemberGang()
    assert gang.start().unwrap().committed
    assert gang.running_counts() == [1, 1]


def test_nothing_starts_when_a_reservation_has_expired():
    gang = TwoMemberGang()
    tokens = [gang.reserve(0).token, gang.reserve(1, hold=0.5).token]
    gang.site.run_for(1)
    assert not gang.commit(tokens).unwrap().committed
    assert gang.start_counts() == [0, 0]


def test_nothing_starts_when_a_member_cannot_be_reached():
    gang = TwoMemberGang()
    tokens = [gang.reserve(0).token, gang.reserve(1).token]
    gang.site.cut(agent_address(0), agent_address(1))
    assert not gang.commit(tokens).unwrap().committed
    assert gang.start_counts() == [0, 0]


def test_repeated_commit_returns_the_first_outcome():
    gang = TwoMemberGang()
    tokens = [gang.reserve(0).token, gang.reserve(1).token]
    link = ("test", agent_address(0))
    gang.site.network.lose_replies.add(link)
    assert gang.commit(tokens).is_err()
    gang.site.network.lose_replies.clear()
    assert gang.commit(tokens).unwrap().committed
    assert gang.start_counts() == [1, 1]


def test_gang_stops_when_a_backend_server_refuses_the_start():
    gang = TwoMemberGang()
    gang.site.backends[1].fails_starts = True
    assert not gang.start().unwrap().committed
    assert gang.running_counts() == [0, 0]


@pytest.mark.parametrize("lost_member", [0, 1])
@pytest.mark.parametrize("fault", ["cut", "freeze", "kill"])
def test_gang_stops_when_a_member_is_lost(lost_member, fault):
    gang = TwoMemberGang()
    gang.start()
    if fault == "cut":
        gang.site.cut(agent_address(0), agent_address(1))
    elif fault == "freeze":
        gang.site.freeze(agent_address(lost_member))
    else:
        gang.site.kill(agent_address(lost_member))
    gang.site.run_for(GANG_LEASE_SECONDS / 2)
    assert gang.running_counts() == [1, 1]
    gang.site.run_for(MAX_PARTIAL_GANG_SECONDS - GANG_LEASE_SECONDS / 2)
    assert gang.running_counts() == [0, 0]


def test_paused_member_stops_after_its_lease_has_expired():
    gang = TwoMemberGang()
    gang.start()
    gang.site.freeze(agent_address(1))
    gang.site.run_for(30)
    gang.site.thaw(agent_address(1))
    gang.site.run_for(1)
    assert gang.running_counts() == [0, 0]
    assert gang.start_counts() == [1, 1]
    assert not gang.site.agents[1].grants.grants()


def test_replaced_agent_grants_nothing_while_an_earlier_task_may_run():
    gang = TwoMemberGang()
    gang.start()
    gang.site.kill(agent_address(1))
    gang.site.agents[1] = gang.site.start_agent(1)
    for _ in range(8):
        gang.site.run_for(0.5)
        if gang.site.backends[1].running():
            assert not gang.reserve(1, attempt=2).token
            assert not gang.stop(1).unwrap().ended
    gang.site.run_for(AGENT_STARTUP_HOLD_SECONDS)
    assert gang.stop(1).unwrap().ended
    assert gang.reserve(1, attempt=2).token


def test_grant_of_an_unreachable_backend_server_is_kept_until_the_lease_expires():
    gang = TwoMemberGang()
    gang.start()
    gang.site.backends[1].unreachable = True
    assert not gang.stop(1).unwrap().ended
    gang.site.run_for(1)
    assert gang.site.agents[1].grants.grants()
    gang.site.run_for(2 * TASK_LEASE_SECONDS)
    assert gang.running_counts() == [0, 0]
    assert gang.stop(1).unwrap().ended


def test_deposed_placer_can_neither_reserve_nor_commit_nor_stop():
    gang = TwoMemberGang()
    tokens = [gang.reserve(0).token, gang.reserve(1).token]
    assert gang.reserve(0, term=TERM + 1, job="job-2").reason
    assert not gang.commit(tokens).unwrap().committed
    assert not gang.reserve(0).token
    assert not gang.stop(0).unwrap().ended
    assert gang.start_counts() == [0, 0]
    assert gang.commit(tokens, term=TERM + 1).unwrap().committed


def test_agents_learn_the_placer_term_from_entries():
    gang = TwoMemberGang()
    term = gang.site.entries[0].placer.known_term
    assert gang.site.agents[0].grants.term == term >= 0
    assert "succeeded" in gang.reserve(0, term=term - 1).reason


def test_only_one_of_two_racing_reservations_is_granted():
    gang = TwoMemberGang()
    assert gang.reserve(0, job="job-1").token
    refused = gang.reserve(0, job="job-2")
    assert (refused.token, refused.reason) == (
        0,
        "accelerator 0 is held by another task",
    )


def test_token_of_a_replaced_reservation_is_stale():
    gang = TwoMemberGang()
    tokens = [gang.reserve(0).token, gang.reserve(1).token]
    gang.reserve(1)
    assert "stale" in gang.commit(tokens).unwrap().reason
    assert gang.start_counts() == [0, 0]


def test_stop_during_a_start_leaves_nothing_running():
    gang = TwoMemberGang()
    gang.site.backends[0].delay = gang.site.backends[1].delay = 1.0
    tokens = [gang.reserve(0).token, gang.reserve(1).token]
    started = []
    eventlet.spawn(lambda: started.append(gang.commit(tokens)))
    gang.site.run_for(0.5)
    assert gang.stop(0).unwrap().ended
    assert gang.stop(1).unwrap().ended
    gang.site.run_for(3)
    assert gang.running_counts() == [0, 0]
    assert not started[0].unwrap().committed


def test_start_is_undone_if_the_data_centre_goes_out_of_service_meanwhile():
    gang = TwoMemberGang()
    gang.site.backends[0].delay = 6.0
    eventlet.spawn(gang.commit, [gang.reserve(0).token])
    gang.site.run_for(0.5)
    gang.site.switch("dc-1", in_service=False)
    gang.site.run_for(8)
    assert gang.start_counts() == [1, 0]
    assert gang.running_counts() == [0, 0]


def test_nothing_starts_on_an_unconfirmed_configuration():
    gang = TwoMemberGang()
    tokens = [gang.reserve(0, hold=20.0).token, gang.reserve(1, hold=20.0).token]
    gang.site.log_links[0].cut = True
    gang.site.switch("dc-2", in_service=False)
    gang.site.run_for(5)
    assert "not confirmed" in gang.commit(tokens).unwrap().reason
    assert gang.start_counts() == [0, 0]


def test_agent_without_entry_contact_stops_its_tasks():
    gang = TwoMemberGang()
    gang.start(run_seconds=600.0)
    gang.site.kill(gang.site.entries[0].settings.rpc_address)
    gang.site.run_for(10)
    assert gang.running_counts() == [1, 1]
    gang.site.run_for(10)
    assert gang.running_counts() == [0, 0]
