"""Agents and entries that join, leave, restart or lose contact."""

import eventlet
import msgspec
import pytest
from eventlet import hubs

from sequoiachute import clock
from sequoiachute.coordination.announcer import (
    ALIAS_INTERVAL_SECONDS,
    UNLISTED_ENTRY_TIMEOUT_SECONDS,
)
from sequoiachute.protocol.catalogue import EMPTY_CATALOGUE
from sequoiachute.protocol.messages import (
    ANNOUNCE,
    CONFIGURATION,
    KEEP_ALIVE,
    ConfigurationReply,
    ConfigurationRequest,
    KeepAlive,
)
from sequoiachute.settings import AgentSettings
from sequoiachute.state.fleet import Fleet
from sequoiachute.state.leases import LAPSED_LEASE_HOLD_SECONDS, LeaseTable
from sequoiachute.transport.rpc import RpcPool, RpcServer
from standins.site import Site, agent_address, create_catalogue, entry_address

SILENT_AFTER_SECONDS = 5.0
HOST = "127.0.0.1"
EMPTY_REPLY = ConfigurationReply(0, 0.0, EMPTY_CATALOGUE, ())
BALANCER = "10.9.0.1:7000"


@pytest.fixture
def site(paused_clock):
    started = Site(workers=2, entries=2)
    started.publish(create_catalogue())
    started.run_for(8)
    return started


@pytest.fixture
def announcement(site):
    return site.agents[0].build_announcement()


def live_at(entry):
    return [worker.worker_id for worker in entry.fleet.live(clock.now())]


def test_agents_find_an_entry_that_joins(site):
    joined = site.start_entry(7)
    site.run_for(8)
    assert live_at(joined) == ["worker-0", "worker-1"]


def test_agents_drop_an_entry_that_died(site):
    site.start_entry(7)
    site.run_for(8)
    agent = site.agents[0]
    assert entry_address(7) in agent._announcer.addresses
    site.kill_entry(7)
    site.run_for(15 + UNLISTED_ENTRY_TIMEOUT_SECONDS + 5)
    assert entry_address(7) not in agent._announcer.addresses
    assert agent.build_announcement().entry_count == 2


def test_planned_stop_is_announced_at_once(site):
    leaving = site.start_entry(7)
    site.run_for(8)
    leaving.leave(1)
    site.run_for(1)
    assert entry_address(7) not in site.entries[0].directory.addresses()


@pytest.mark.parametrize("fault", ["down", "reads_fail"])
def test_no_entry_counts_as_gone_while_the_log_cannot_be_read(site, fault):
    setattr(site.log, fault, True)
    site.run_for(120)
    for entry in site.entries:
        assert len(entry.directory.addresses()) == 2
    for entry in site.entries:
        assert live_at(entry) == ["worker-0", "worker-1"]


def test_entry_that_answers_is_kept_while_appends_fail(site):
    joined = site.start_entry(7)
    site.run_for(8)
    site.log.appends_fail = True
    site.run_for(60)
    assert entry_address(7) not in site.entries[0].directory.addresses()
    assert live_at(joined) == ["worker-0", "worker-1"]


def test_balancer_as_the_only_seed_leads_to_every_entry(site):
    calls = [0]
    handlers = [entry.handlers() for entry in site.entries]

    def round_robin(method):
        def serve(message):
            calls[0] += 1
            return handlers[calls[0] % 2][method](message)

        return serve

    balancer_handlers = {method: round_robin(method) for method in handlers[0]}
    site.network.serve(BALANCER, balancer_handlers)
    site._entry_addresses = (BALANCER,)
    site.backends.append(site.backends[0])
    site.start_agent(2)
    site.run_for(UNLISTED_ENTRY_TIMEOUT_SECONDS + 5)
    for entry in site.entries:
        assert "worker-2" in live_at(entry)
    before = calls[0]
    site.run_for(60)
    assert calls[0] - before <= 60 / ALIAS_INTERVAL_SECONDS + 3


def test_worker_is_live_again_after_its_links_are_restored(site):
    for entry in range(2):
        site.network.cut.add((agent_address(0), entry_address(entry)))
    site.run_for(SILENT_AFTER_SECONDS + 3)
    assert live_at(site.entries[0]) == ["worker-1"]
    site.network.cut.clear()
    site.run_for(3)
    assert live_at(site.entries[0]) == ["worker-0", "worker-1"]


def test_late_announcements_change_nothing(announcement):
    fleet = Fleet(SILENT_AFTER_SECONDS)
    restarted = announcement._replace(
        incarnation="new", sequence=1, started_at=announcement.started_at + 1
    )
    assert fleet.announce(announcement, 0)
    assert not fleet.announce(announcement, 1)
    assert not fleet.announce(announcement._replace(sequence=0), 1)
    assert fleet.announce(restarted, 1)
    assert not fleet.announce(announcement._replace(sequence=9999), 1)
    assert not fleet.announce(announcement._replace(sequence=9999), 100)
    assert fleet.get("worker-0").incarnation == "new"


def test_older_of_two_live_agents_is_superseded(announcement):
    fleet = Fleet(SILENT_AFTER_SECONDS)
    older = announcement._replace(incarnation="old", started_at=1.0)
    newer = announcement._replace(incarnation="new", started_at=2.0)
    for message in (newer, older, newer._replace(sequence=9999)):
        fleet.announce(message, 0)
    assert fleet.get("worker-0").incarnation == "new"
    assert not fleet.is_superseded("worker-0", "new")
    fleet = Fleet(SILENT_AFTER_SECONDS)
    for message in (older, newer):
        fleet.announce(message, 0)
    assert fleet.is_superseded("worker-0", "old")


def test_restart_with_an_earlier_clock_joins_once_the_old_is_silent(announcement):
    fleet = Fleet(SILENT_AFTER_SECONDS)
    fleet.announce(announcement, 0)
    behind = announcement._replace(incarnation="new", started_at=-1e6)
    assert not fleet.announce(behind, 1)
    assert not fleet.is_superseded("worker-0", "new")
    assert fleet.announce(behind, SILENT_AFTER_SECONDS + 1)


def test_worker_replaces_the_previous_one_at_its_address(announcement):
    fleet = Fleet(SILENT_AFTER_SECONDS)
    fleet.announce(announcement, 0)
    fleet.announce(announcement._replace(worker_id="other", incarnation="new"), 0)
    assert [worker.worker_id for worker in fleet.live(0)] == ["other"]


def test_superseded_agent_takes_no_more_work(site):
    site.backends.append(site.backends[0])
    site.run_for(1)
    superseded = site.agents[0]
    site.agents[0] = site.start_agent(0)
    site.run_for(5)
    assert superseded.build_announcement().leaving
    assert not site.agents[0].build_announcement().leaving
    assert site.entries[0].fleet.get("worker-0").incarnation == (
        site.agents[0].incarnation
    )


def test_long_lapsed_entry_leases_are_dropped():
    table = LeaseTable()

    def claim(name, offset, at):
        record = {
            "kind": "lease-claimed",
            "name": name,
            "base": -1,
            "holder": name,
            "address": "10.0.0.1:7000",
            "duration": 15.0,
        }
        assert table.apply(offset, record, 0.0, at)

    claim("entry/old", 0, 1.0)
    restored = LeaseTable()
    restored.restore(msgspec.json.decode(msgspec.json.encode(table.snapshot())), 5.0)
    claim("entry/new", 1, LAPSED_LEASE_HOLD_SECONDS + 2)
    assert [lease.name for lease in table.with_prefix("entry/")] == ["entry/new"]
    assert restored.get("entry/old").seen_at == 5.0


def record_calls(site, entry, method):
    """Return a list to which every message of ``method`` to ``entry`` is added."""
    address = entry_address(entry)
    handlers = dict(site.entries[entry].handlers())
    messages = []
    handler = handlers[method]

    def recorded(message):
        messages.append(message)
        return handler(message)

    handlers[method] = recorded
    site.network.serve(address, handlers)
    return messages


def test_unchanged_agents_send_short_keep_alives(site):
    full = record_calls(site, 0, ANNOUNCE)
    short = record_calls(site, 1, KEEP_ALIVE)
    site.run_for(20)
    announce_seconds = AgentSettings._field_defaults["announce_seconds"]
    due = len(site.agents) * 20 / announce_seconds
    assert full == []
    assert 0.9 * due <= len(short) <= due + len(site.agents)
    assert max(len(msgspec.msgpack.encode(message)) for message in short) < 100
    assert live_at(site.entries[0]) == ["worker-0", "worker-1"]


def test_entry_that_lost_the_announcement_gets_a_full_one(site):
    site.replace_entry(0)
    site.run_for(3)
    assert live_at(site.entries[0]) == ["worker-0", "worker-1"]


def test_change_is_announced_in_full(site):
    site.submit("job-1", account="brocach", run_seconds=60.0)
    site.publish(
        create_catalogue(brocach={"owner": "Brocach", "job_class": "batch"}),
        site.entries[0].configuration.catalogue_offset,
    )
    site.run_for(8)
    for entry in site.entries:
        occupants = [o for w in entry.fleet.live(clock.now()) for o in w.occupants]
        assert [occupant.job_id for occupant in occupants] == ["job-1"]


def test_keep_alive_for_another_announcement_is_refused(announcement):
    fleet = Fleet(SILENT_AFTER_SECONDS)
    fleet.announce(announcement, 0)
    short = KeepAlive(
        announcement.worker_id,
        announcement.incarnation,
        announcement.sequence + 1,
        announcement.sequence,
        0,
        3,
        0.0,
    )
    assert not fleet.keep_alive(short._replace(full_sequence=-1), 1)
    assert not fleet.keep_alive(short._replace(incarnation="other"), 1)
    assert fleet.get("worker-0").last_contact_at == 0
    assert fleet.keep_alive(short, 1)
    assert fleet.get("worker-0").open_connections == 3
    assert fleet.keep_alive(short._replace(open_connections=9), 2)
    assert fleet.get("worker-0").open_connections == 3


class Relay:
    """Proxies connections to a server; can leave them open without forwarding."""

    def __init__(self, port):
        self.accepted = 0
        self._port = port
        self._pumps = []
        self._listener = eventlet.listen((HOST, 0))
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        eventlet.spawn(self._accept)

    def stop_forwarding(self):
        for tasks in self._pumps:
            for task in tasks:
                task.kill()

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            self.accepted += 1
            server_side = eventlet.connect((HOST, self._port))
            pump = eventlet.spawn(self._pump, client, server_side)
            self._pumps.append((pump, eventlet.spawn(self._pump, server_side, client)))

    def _pump(self, source, sink):
        while data := source.recv(65536):
            sink.sendall(data)


def test_half_open_connection_is_redialled():
    hubs.use_hub("eventlet.hubs.asyncio")
    probe = eventlet.listen((HOST, 0))
    port = probe.getsockname()[1]
    probe.close()
    server = RpcServer({CONFIGURATION: lambda message: EMPTY_REPLY})
    server.start(HOST, port)
    relay = Relay(port)
    pool = RpcPool()
    outcomes = []
    for number in range(5):
        if number == 1:
            relay.stop_forwarding()
        outcome = pool.call(relay.address, CONFIGURATION, ConfigurationRequest(0), 0.2)
        outcomes.append(outcome.is_ok())
    pool.close()
    server.stop()
    assert outcomes == [True, False, False, True, True]
    assert relay.accepted == 2
