import pytest

from sequoiachute import clock
from sequoiachute.coordination.configuration_sync import build_configuration_reply
from sequoiachute.coordination.freshness import ConfigurationView
from sequoiachute.protocol.messages import CONFIGURATION, AnnouncementReply
from sequoiachute.state.configuration import Configuration
from standins.memory import MemoryNetwork
from standins.site import agent_address, entry_address

pytestmark = pytest.mark.usefixtures("paused_clock")

ENTRY = entry_address(0)
AGENT = agent_address(0)
FRESHNESS_SECONDS = 3.0
STALE = "the agent's configuration is not confirmed as the newest"


class Peers:
    """An entry, and an agent's view that heard of it once."""

    def __init__(self):
        self.known = Configuration()
        self.known.confirm(clock.now())
        self.network = MemoryNetwork()
        tell = {CONFIGURATION: lambda m: build_configuration_reply(self.known, m)}
        self.network.serve(ENTRY, tell)
        caller = self.network.caller(AGENT)
        self.view = ConfigurationView(caller, "dc-1", FRESHNESS_SECONDS)
        reply = AnnouncementReply("entry-0", -1, 0.0, (ENTRY,), ())
        self.view.handle_reply(ENTRY, reply, clock.now())


def test_stale_view_is_confirmed_anew_by_asking():
    peers = Peers()
    clock.sleep(10)
    peers.known.confirm(clock.now())
    assert peers.view.refusal(-1) == ""


def test_asking_an_entry_that_is_stale_itself_confirms_nothing():
    peers = Peers()
    clock.sleep(10)
    assert peers.view.refusal(-1) == STALE


def test_agent_cut_off_refuses_within_a_second():
    peers = Peers()
    clock.sleep(10)
    peers.known.confirm(clock.now())
    peers.network.frozen.add(ENTRY)
    asked_at = clock.now()
    assert peers.view.refusal(-1) == STALE
    assert clock.now() - asked_at < 1.0


def test_newer_configuration_is_learnt_before_the_answer():
    peers = Peers()
    switched = {
        "kind": "data-centre-switched",
        "record_id": "switch",
        "operator": "operator",
        "data_centre": "dc-1",
        "in_service": False,
    }
    assert peers.known.apply(0, switched)
    assert peers.view.refusal(0) == "the data centre is out of service"
