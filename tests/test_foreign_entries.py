"""Foreign records where entries are found: the group and the claim of the placer."""

import pytest

from sequoiachute.coordination.store.group import GROUP
from sequoiachute.protocol.workload import encode
from sequoiachute.state.ledger import LEADER_KEY, RUNS, Leader, encode_leader
from standins.control_site import ControlSite
from tests.control_checks import TAKEOVER_SECONDS, accepted, complete

pytestmark = pytest.mark.usefixtures("paused_clock")

UNREACHABLE = "10.9.9.9:7000"
MEMBERS = (
    UNREACHABLE,
    f"{UNREACHABLE}/foreign",
    "10.0.0.1:7000/foreign",  # at the address of an entry
    "10.0.1.1:7000/foreign",  # of an agent's host
    "nowhere",
    "/",
    "",
    "x" * 500,
)
CLAIMS = {
    "higher term, unreachable": encode_leader(Leader(10**9, UNREACHABLE, "foreign")),
    "higher term, no address": encode_leader(Leader(10**9, "", "")),
    "higher term, an entry": encode_leader(
        Leader(10**9, "10.0.0.1:7000", "10.0.0.1:7000/foreign")
    ),
    "lower term": encode_leader(Leader(0, UNREACHABLE, "foreign")),
    "negative term": encode_leader(Leader(-5, UNREACHABLE, "foreign")),
    "another type": encode(["1", UNREACHABLE, "foreign"]),
    "too few fields": encode([5]),
    "unreadable": b"\xff\x00\xff",
    "empty": b"",
}


def complete_soon(site):
    """Assert that jobs that were accepted before and after are done."""
    jobs = [accepted(site, 0.5, count=4, entry=entry) for entry in range(3)]
    complete(site, jobs, TAKEOVER_SECONDS + 3.0)


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("claim", CLAIMS)
def test_foreign_claim_of_the_placer_leaves_the_site_working(claim, restarts):
    # Guards against a placer that is deposed, or followed, for good by one record.
    site = ControlSite()
    lasting = accepted(site, 500.0, lasting=True, count=2)
    site.run_for(2.0)
    site.store.put(RUNS, [(LEADER_KEY, CLAIMS[claim])])
    if restarts:
        for index in range(3):
            site.kill_entry(index)
            site.restart_entry(index)
    else:
        site.run_for(0.2)
    site.run_for(TAKEOVER_SECONDS)
    assert site.placer() >= 0
    complete_soon(site)
    site.run_for(12.0)
    complete_soon(site)
    starts = [s for s in site.history.starts if s.task.startswith(lasting)]
    assert len(starts) == 2


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("member", MEMBERS)
def test_foreign_member_of_the_group_leaves_the_site_working(member, restarts):
    # Guards against entries and agents that wait for a member that is no entry.
    site = ControlSite()
    link = site.store.link()
    link.join(GROUP, member, 0, 5.0)
    if restarts:
        placer = site.placer()
        site.kill_entry(placer)
        site.run_for(0.3)
        site.restart_entry(placer)
        site.restart_agent(0)
    complete_soon(site)
    site.run_for(6.0)
    complete_soon(site)
