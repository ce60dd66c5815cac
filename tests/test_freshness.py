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
STALE_REASON = "the agent's configuration is not confirmed as the newest"


class AgentView:
    """An entry and an agent's view that has had one reply from it."""

    def __init__(self):
        self.entry_configuration = Configuration()
        self.entry_configuration.confirm(clock.now())
        self.network = MemoryNetwork()
        handlers = {
            CONFIGURATION: lambda m: build_configuration_reply(
                self.entry_configuration, m
            )
        }
        self.network.serve(ENTRY, handlers)
        caller = self.network.caller(AGENT)
        self.view = ConfigurationView(caller, "dc-1", FRESHNESS_SECONDS)
        reply = AnnouncementReply("entry-0", -1, 0.0, (ENTRY,), ())
        self.view.handle_reply(ENTRY, reply, clock.now())


def test_stale_view_is_confirmed_by_asking_an_entry():
    agent = AgentView()
    clock.sleep(10)
    agent.entry_configuration.confirm(clock.now())
    assert agent.view.refusal(-1) == ""


def test_stale_entry_does_not_confirm_the_view():
    agent = AgentView()
    clock.sleep(10)
    assert agent.view.refusal(-1) == STALE_REASON


def test_unreachable_entry_leads_to_refusal_within_a_second():
    agent = AgentView()
    clock.sleep(10)
    agent.entry_configuration.confirm(clock.now())
    agent.network.frozen.add(ENTRY)
    started_at = clock.now()
    assert agent.view.refusal(-1) == STALE_REASON
    assert clock.now() - started_at < 1.0


def test_newer_configuration_is_fetched_before_the_check():
    agent = AgentView()
    switched = {
        "kind": "data-centre-switched",
        "record_id": "switch",
        "operator": "operator",
        "data_centre": "dc-1",
        "in_service": False,
    }
    assert agent.entry_configuration.apply(0, switched)
    assert agent.view.refusal(0) == "the data centre is out of service"
