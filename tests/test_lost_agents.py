"""Agents that are gone for good, with an entry that tells nothing of their silence."""

import pytest

from sequoiachute.coordination.bounds import AGENT_LOST_SECONDS
from standins.site import agent_address, entry_address
from tests.test_placer import CheckedSite

pytestmark = pytest.mark.usefixtures("paused_clock")

RESTART_INTERVAL_SECONDS = 12.0


def lose_agent_at_work(site):
    """Kill the agent that runs the only job."""
    site.submit("job-1", accelerators=8, run_seconds=300.0)
    site.wait_for(lambda: site.count_running() == 1, 3)
    worker = int(site.job("job-1").workers[0].partition("-")[2])
    site.site.kill(agent_address(worker))


def test_attempt_of_a_lost_agent_is_repeated():
    checked = CheckedSite()
    lose_agent_at_work(checked)
    checked.wait_for(lambda: checked.job("job-1").attempt == 2, AGENT_LOST_SECONDS + 5)


def test_attempt_of_a_lost_agent_is_repeated_though_an_entry_is_gone_for_good():
    # An entry that does not answer may have heard of the agent, however long ago.
    checked = CheckedSite()
    lose_agent_at_work(checked)
    checked.site.kill(entry_address(1))
    checked.wait_for(lambda: checked.job("job-1").attempt == 2, 2 * AGENT_LOST_SECONDS)


def test_attempt_of_a_lost_agent_is_repeated_though_an_entry_restarts():
    # An entry counts the silence of an agent that it does not know from its own start.
    checked = CheckedSite()
    lose_agent_at_work(checked)
    for _ in range(5):
        checked.run_for(RESTART_INTERVAL_SECONDS)
        checked.site.replace_entry(1)
    assert checked.job("job-1").attempt == 2
