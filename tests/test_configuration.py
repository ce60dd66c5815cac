import pytest
from result import Ok

from sequoiachute import clock
from sequoiachute.coordination.configuration_sync import sync_configuration, build_configuration_reply
from sequoiachute.protocol.messages import ConfigurationRequest
from sequoiachute.state.configuration import Configuration
from standins.site import Site, create_catalogue

pytestmark = pytest.mark.usefixtures("paused_clock")

ACCOUNT = {"owner": "Brocach", "job_class": "batch"}


def published(base, name="brocach"):
    return {
        "kind": "catalogue-published",
        "base": base,
        "catalogue": create_catalogue(**{name: ACCOUNT}),
    }


def switched(in_service, **fields):
    kind = "data-centre-switched"
    return {"kind": kind, "data_centre": "dc-1", "in_service": in_service, **fields}


class Peer:
    """Answers as the process that holds ``configuration``, after ``delay``."""

    def __init__(self, configuration, delay=0.0):
        self.configuration = configuration
        self.delay = delay

    def call(self, address, method, message, timeout):
        reply = build_configuration_reply(self.configuration, message)
        clock.sleep(self.delay)
        return Ok(reply)


def test_catalogue_can_be_published_on_one_adopted_from_a_peer():
    peer, own = Configuration(), Configuration()
    peer.apply(3, published(-1))
    peer.apply(5, switched(False))
    sync_configuration(Peer(peer), "", own)
    assert own.state == peer.state
    assert own.apply(9, published(3, "next"))
    assert own.apply(10, switched(True, base=5))


def test_confirmation_through_a_chain_is_never_younger_than_it_is():
    first, second, third = Configuration(), Configuration(), Configuration()
    clock.sleep(100)
    first.confirm(clock.now())
    clock.sleep(2)
    sync_configuration(Peer(first, delay=1.0), "", second)
    clock.sleep(2)
    sync_configuration(Peer(second, delay=1.0), "", third)
    assert third.age(clock.now()) >= 6.0


def test_peer_with_an_older_configuration_confirms_nothing():
    older, newer = Configuration(), Configuration()
    newer.apply(7, published(-1))
    older.confirm(clock.now())
    sync_configuration(Peer(older), "", newer)
    assert newer.age(clock.now()) == float("inf")
    assert newer.offset == 7


def test_late_switch_does_not_undo_a_newer_one():
    configuration = Configuration()
    configuration.apply(1, switched(False, base=-1))
    configuration.apply(2, switched(True, base=1))
    assert not configuration.apply(3, switched(False, base=-1))
    assert configuration.in_service("dc-1")


def test_older_snapshot_does_not_revert():
    older, newer = Configuration(), Configuration()
    older.apply(1, published(-1))
    newer.restore(older.snapshot())
    newer.apply(2, switched(False))
    newer.restore(older.snapshot())
    assert newer.out_of_service == {"dc-1"}


def test_known_catalogue_is_not_sent_again():
    configuration = Configuration()
    configuration.apply(1, published(-1))
    reply = build_configuration_reply(configuration, ConfigurationRequest(1))
    assert reply.catalogue["accounts"] == {}


def test_entry_cut_off_from_the_log_keeps_its_agents_fresh():
    site = Site(workers=3, entries=2)
    site.publish(create_catalogue(brocach=ACCOUNT))
    site.run_for(5)
    site.log_links[0].cut = True
    for agent in range(3):
        site.network.cut.add((f"10.2.0.{agent}:7001", "10.1.0.1:7000"))
    site.run_for(10)
    site.switch("dc-2", in_service=False)
    site.run_for(4)
    for agent in site.agents:
        assert agent.configuration.out_of_service == {"dc-2"}
        assert agent.configuration.age(clock.now()) < 3.0


def test_view_that_nobody_can_confirm_grows_old():
    site = Site(workers=2, entries=2)
    site.run_for(5)
    site.log.reads_fail = True
    site.run_for(10)
    for process in [*site.entries, *site.agents]:
        assert process.configuration.age(clock.now()) > 9.0


def test_entries_soon_know_that_agents_act_under_a_new_configuration():
    site = Site(workers=3, entries=2)
    site.publish(create_catalogue(brocach=ACCOUNT))
    site.run_for(5)
    for number in range(4):
        site.run_for(0.3)
        site.switch("dc-2", in_service=number % 2 == 1)
        site.run_for(1.3)
        for entry in site.entries:
            for worker in entry.fleet.live(clock.now()):
                assert worker.config_offset == entry.configuration.offset
