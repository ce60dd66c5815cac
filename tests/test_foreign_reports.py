"""Status reports of another writer beside a sound worker that goes on reporting."""

import pytest

from sequoiachute import clock
from sequoiachute.coordination.hosting.claims import MAX_CLAIMS, Heartbeat
from sequoiachute.protocol.workload import COMPLETE, Lifetime, Resources
from standins.control_site import CATALOGUE, HEARTBEAT_SECONDS, QUEUE, ControlSite
from tests.control_checks import accepted, complete
from tests.loss_checks import start_index

pytestmark = pytest.mark.usefixtures("paused_clock")

LONG_SECONDS = 500.0
LEASE_SECONDS = 10.0  # by then a run without a lease has lapsed
USED_SECONDS = 1.0  # from a worker's first report until it gets work
ID_CHANGES = ("other", "own")
BORN_CHANGES = (-1, 1, 10**12)
SERVICES = (QUEUE.service, "not-named-anywhere")


def foreign(worker, worker_id, born_change, service, sequence=1):
    """Return a report that differs from the worker's own in who it is about."""
    own = worker.lifetime
    lifetime = Lifetime(
        own.worker_id if worker_id == "own" else f"foreign-{worker_id}",
        own.started_ms + born_change,
    )
    info = worker.info()._replace(lifetime=lifetime, service=service)
    return Heartbeat(info, sequence, worker.clock_ms)


def one_worker_at_work():
    """Return a site whose only worker runs a lasting task, and its supervisor."""
    site = ControlSite(workers=1)
    site.workers[0].restart(same_id=True)
    site.run_for(2.0)
    accepted(site, LONG_SECONDS, lasting=True)
    site.run_for(2.0)
    assert len(site.history.starts) == 1
    return site, site.agents[0].supervisor


def assert_in_use(site):
    """Assert that the worker's run goes on, and that it gets work at once."""
    job = accepted(site, 0.5)
    complete(site, [job], 3.0)
    assert [end.outcome for end in site.history.ends if end.outcome != "done"] == []


@pytest.mark.parametrize("service", SERVICES)
@pytest.mark.parametrize("born_change", BORN_CHANGES)
@pytest.mark.parametrize("worker_id", ID_CHANGES)
def test_one_foreign_report_leaves_a_sound_worker_in_use(
    worker_id, born_change, service
):
    # Guards against a worker that is out of use for good after one report.
    site, supervisor = one_worker_at_work()
    worker = site.workers[0]
    supervisor.handle_heartbeat(foreign(worker, worker_id, born_change, service))
    assert_in_use(site)
    site.run_for(LEASE_SECONDS)
    assert_in_use(site)


@pytest.mark.parametrize("service", SERVICES)
@pytest.mark.parametrize("worker_id", ID_CHANGES)
def test_foreign_reports_that_go_on_leave_a_sound_worker_in_use(worker_id, service):
    # Guards against a worker that each of many reports interrupts for a moment.
    site, supervisor = one_worker_at_work()
    worker = site.workers[0]
    for number in range(100):
        report = foreign(worker, worker_id, 5000 + number, service, number)
        supervisor.handle_heartbeat(report)
        site.run_for(0.2)
    assert_in_use(site)


@pytest.mark.parametrize(
    ("worker_id", "service"),
    [("other", SERVICES[0]), ("other", SERVICES[1]), ("own", SERVICES[1])],
)
def test_foreign_report_that_an_agent_hears_first_is_not_believed(worker_id, service):
    # Guards against an agent that has nothing yet to weigh a report against.
    site, _ = one_worker_at_work()
    worker = site.workers[0]
    site.kill_agent(0)
    site.run_for(0.5)
    site.restart_agent(0)
    supervisor = site.agents[0].supervisor
    supervisor.handle_heartbeat(foreign(worker, worker_id, 5000, service))
    site.run_for(1.0)
    assert_in_use(site)
    site.run_for(LEASE_SECONDS)
    assert_in_use(site)


def test_report_of_an_earlier_life_that_was_held_back_is_not_believed():
    # Guards against a late report whose sender's clock was ahead.
    site = ControlSite(workers=1)
    worker, supervisor = site.workers[0], site.agents[0].supervisor
    info = worker.info()
    later = info.lifetime._replace(started_ms=10**6)
    late = Heartbeat(info._replace(lifetime=later), 10**6, worker.clock_ms)
    worker.restart()
    site.run_for(2.0)
    accepted(site, LONG_SECONDS, lasting=True)
    site.run_for(1.0)
    supervisor.handle_heartbeat(late)
    assert_in_use(site)
    site.run_for(LEASE_SECONDS)
    assert_in_use(site)


@pytest.mark.parametrize("same_id", [False, True])
@pytest.mark.parametrize("with_foreign", [False, True])
def test_worker_that_returns_is_used_at_once(same_id, with_foreign):
    # Guards against checks that keep a new life of the worker waiting.
    site, supervisor = one_worker_at_work()
    worker = site.workers[0]
    if with_foreign:
        supervisor.handle_heartbeat(foreign(worker, "other", 5000, QUEUE.service))
    worker.restart(same_id)
    returned_at = clock.now()
    limit = returned_at + HEARTBEAT_SECONDS + USED_SECONDS
    while clock.now() < limit and len(site.history.starts) == 1:
        site.run_for(0.05)
    assert len(site.history.starts) == 2
    assert site.history.starts[1].lifetime == worker.lifetime


@pytest.mark.parametrize("same_id", [False, True])
@pytest.mark.parametrize("silent_seconds", [0.5, 3.0])
def test_worker_that_answers_late_after_its_return_is_used(silent_seconds, same_id):
    # Guards against a claim that is given up while the worker does not answer.
    site, _ = one_worker_at_work()
    worker = site.workers[0]
    worker.restart(same_id)
    worker.silent = True
    site.run_for(silent_seconds)
    worker.silent = False
    site.run_for(LEASE_SECONDS + USED_SECONDS)
    assert worker.running
    assert site.history.starts[-1].lifetime == worker.lifetime


def test_worker_that_leaves_is_believed():
    # Guards against a departure that is weighed like a report of another life.
    site = ControlSite(workers=2)
    job = accepted(site, 20.0, gang=True, count=2)
    site.run_for(1.0)
    index = start_index(site)
    worker = site.workers[index]
    worker.leaving_seconds = 20.0
    site.run_for(1.0)
    worker.gone = True
    site.agents[index].supervisor.handle_worker_leave(worker.lifetime.worker_id)
    site.run_for(1.0)
    assert {s.worker_id for s in site.history.starts} > {worker.lifetime.worker_id}
    complete(site, [job], 30)


def name_services(site, *services):
    """Publish a catalogue that lists further services."""
    for entry in site.entries:
        operations = entry.control.operations
        version = operations.version + 1
        catalogue = CATALOGUE._replace(version=version, services=frozenset(services))
        operations.publish(catalogue)


@pytest.mark.parametrize("is_named_by_settings", [False, True])
def test_worker_of_a_service_is_heard_once_the_service_is_named(is_named_by_settings):
    # Guards against a report lost since it came before its service was named.
    site = ControlSite(workers=1)
    worker = site.workers[0]
    worker.service = "engrave"
    worker.restart()
    site.run_for(3.0)
    placer = site.entries[site.placer()].control._agents
    session = placer.sessions[site.agents[0].address]
    assert session.lifetime != worker.lifetime
    if is_named_by_settings:
        site.settings_services = frozenset(("engrave",))
    else:
        name_services(site, "engrave")
    site.run_for(2.0)
    assert session.lifetime == worker.lifetime
    assert session.worker.service == "engrave"


def test_single_report_that_came_too_early_counts_once_its_service_is_named():
    # Guards against a report that is dropped, where the worker sends it only once.
    site = ControlSite(workers=1)
    worker, supervisor = site.workers[0], site.agents[0].supervisor
    handle = supervisor.handle_heartbeat
    supervisor.handle_heartbeat = lambda heartbeat: None
    worker.service = "engrave"
    worker.restart()
    handle(Heartbeat(worker.info(), 1, worker.clock_ms))
    site.run_for(3.0)
    name_services(site, "engrave")
    site.run_for(2.0)
    assert supervisor._status.lifetime == worker.lifetime


def test_present_worker_is_heard_although_its_service_is_named_no_more():
    # Guards against a departure that is not heard of after a change of services.
    site = ControlSite(workers=1)
    worker = site.workers[0]
    site.settings_services = frozenset(("engrave",))
    for entry in site.entries:
        operations = entry.control.operations
        queue = QUEUE._replace(service="engrave")
        operations.publish(CATALOGUE._replace(version=9, queues=(queue,)))
    site.run_for(2.0)
    worker.leaving_seconds = 20.0
    site.run_for(1.0)
    placer = site.entries[site.placer()].control._agents
    assert placer.sessions[site.agents[0].address].worker.leaving


def test_many_foreign_reports_cost_few_looks_and_little_memory():
    # Guards against looks and memory that grow with the reports of another writer.
    site, supervisor = one_worker_at_work()
    worker = site.workers[0]
    looks = worker.poll_count
    for number in range(1000):
        report = foreign(worker, f"{number}", 5000, QUEUE.service)
        supervisor.handle_heartbeat(report)
    assert len(supervisor._announcements._claims) <= MAX_CLAIMS
    site.run_for(5.0)
    assert worker.poll_count - looks <= 40
    assert_in_use(site)


def test_foreign_reports_lose_no_job():
    # Guards against runs that are given up since their worker seems to have crashed.
    site = ControlSite(workers=3)
    jobs = [accepted(site, 3.0, count=4) for _ in range(3)]
    for number in range(30):
        for worker, agent in zip(site.workers, site.agents, strict=True):
            kind = ("other", "own")[number % 2]
            service = SERVICES[number % 3 == 0]
            report = foreign(worker, kind, 100 + number, service)
            agent.supervisor.handle_heartbeat(report)
        site.run_for(0.2)
    complete(site, jobs, 10)
    assert {site.state(job) for job in jobs} == {COMPLETE}
    assert len(site.history.starts) == 12


@pytest.mark.parametrize("clock_change", [0, 10**9])
@pytest.mark.parametrize("change", [{"leaving": True}, {"capacity": Resources()}])
def test_foreign_report_about_the_present_life_holds_until_the_next_own_one(
    change, clock_change
):
    # Guards against a sequence, or a clock, that makes all later reports look late.
    site, supervisor = one_worker_at_work()
    worker = site.workers[0]
    info = worker.info()._replace(**change)
    clock_ms = worker.clock_ms + clock_change
    supervisor.handle_heartbeat(Heartbeat(info, 10**9, clock_ms))
    site.run_for(2 * HEARTBEAT_SECONDS)
    assert_in_use(site)


def test_late_report_about_the_present_life_is_not_applied():
    # Guards against a report that was delayed and undoes a newer one.
    site, supervisor = one_worker_at_work()
    worker = site.workers[0]
    late = Heartbeat(worker.info(), 1, worker.clock_ms)
    site.run_for(1.0)
    worker.leaving_seconds = 20.0
    site.run_for(1.0)
    supervisor.handle_heartbeat(late)
    assert supervisor._info.leaving
