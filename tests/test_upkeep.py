import pytest

from sequoiachute import clock
from sequoiachute.coordination.dispatch.advice import (
    MAX_WORKERS_PER_REQUEST,
    TicketCache,
)
from sequoiachute.coordination.dispatch.machine_list import MachineList
from sequoiachute.coordination.dispatch.sessions import AgentSessions, Session
from sequoiachute.coordination.dispatch.term_writer import DeposedError
from sequoiachute.coordination.dispatch.upkeep import (
    LATE_ORDER_SECONDS,
    MAX_LIST_AGE_SECONDS,
    Upkeep,
    WaveProgress,
    encode_wave,
)
from sequoiachute.protocol.stored import StoredRecord
from sequoiachute.protocol.supervision import RunReport, WorkerInfo
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
from sequoiachute.state.operations import Operations, Wave
from standins.control_site import ControlSite
from standins.machines import MemoryAdvisor, MemoryMachines

pytestmark = pytest.mark.usefixtures("paused_clock")


class WaveSite:
    """A ledger, workers' sessions, their machines and one wave."""

    def __init__(self, count=4, most=1, finish_by=40.0):
        self.machines = MemoryMachines({f"m-{n}": f"w-{n}" for n in range(count)})
        self.ledger = Ledger()
        self.operations = Operations()
        names = tuple(f"m-{n}" for n in range(count))
        self.operations.waves = {1: Wave(1, names, finish_by, most)}
        self.agents = AgentSessions(self.ledger, 7, lambda: None, lambda: 0.0)
        self.most = most
        self.is_deposed = False
        self.confirmed = 0
        self._offset = 0
        for number in range(count):
            session = Session(f"h-{number}")
            session.worker = WorkerInfo(
                Lifetime(f"w-{number}", 1), "s", "z", "r", (), Resources()
            )
            self.agents.sessions[session.host] = session
        self.upkeep = self.create_upkeep()

    def create_upkeep(self):
        self.machine_list = MachineList(self.machines)
        return Upkeep(
            self.machine_list,
            "entry-1",
            self.ledger,
            self.agents,
            self.operations,
            lambda wave, progress: self.confirm(),
        )

    def confirm(self):
        """Confirm the placer before each order, unless it has been replaced."""
        self.confirmed += 1
        if self.is_deposed:
            raise DeposedError("fenced")

    def record(self, key, value):
        self._offset += 1
        self.ledger.apply("runs", StoredRecord(self._offset, key, value))

    def add_run(self, host, **step):
        spec = StepSpec(1, Resources(), **step)
        job = JobGraph("j", "a", "q", "s", "", (spec,))
        self.record("job/j", encode(job))
        state = TaskState(1, host, Lifetime(host.replace("h", "w"), 1))
        self.record("j", encode(JobProgress("", {"0.0.0": state})))

    def renew_workers(self):
        """Give each machine whose upkeep is over a new worker, known to its agent."""
        for name, worker_id in self.machines.renew_workers().items():
            session = self.agents.sessions[name.replace("m", "h")]
            session.worker = session.worker._replace(lifetime=Lifetime(worker_id, 2))

    @property
    def reserved(self):
        return self._marked("reserved_lifetime")

    @property
    def closed(self):
        return self._marked("upkeep_lifetime")

    def _marked(self, mark):
        sessions = self.agents.sessions.values()
        return [s.host for s in sessions if getattr(s, mark) == s.lifetime]

    def run_for(self, seconds):
        until = clock.now() + seconds
        while clock.now() < until:
            self.renew_workers()
            for number, progress in self.upkeep.advance().items():
                self.record(f"wave/{number}", encode_wave(progress))
            assert self.machines.down <= self.most
            clock.sleep(0.25)

    @property
    def begun(self):
        return [name for _, name, _ in self.machines.begun]


def test_wave_takes_each_machine_once_and_is_then_complete():
    site = WaveSite()
    site.run_for(20)
    assert sorted(site.begun) == [f"m-{n}" for n in range(4)]
    assert site.machines.shown == [(1, False), (1, True)]


def test_wave_is_not_complete_before_every_machine_has_begun():
    site = WaveSite()
    site.add_run("h-2")
    site.run_for(15)
    assert sorted(site.begun) == ["m-0", "m-1", "m-3"]
    assert (1, True) not in site.machines.shown
    site.run_for(30)
    assert site.begun[-1] == "m-2"
    assert site.machines.shown[-1] == (1, True)


def test_worker_waiting_for_upkeep_is_reserved():
    site = WaveSite()
    site.add_run("h-2")
    site.run_for(6)
    assert site.agents.sessions["h-2"].reserved_lifetime == Lifetime("w-2", 1)


def test_worker_whose_upkeep_is_ordered_gets_no_task_until_its_successor_joins():
    site = WaveSite(count=2)
    site.run_for(4)
    first = site.machines.begun[0][1].replace("m", "h")
    session = site.agents.sessions[first]
    assert session.upkeep_lifetime == session.lifetime


def test_worker_is_open_after_its_upkeep_although_the_reply_was_lost():
    site = WaveSite(count=2)
    site.run_for(3)
    site.machines.lose_replies = True
    site.run_for(1)
    site.machines.lose_replies = False
    site.run_for(20)
    assert site.machines.shown[-1] == (1, True)
    assert sorted(site.begun) == ["m-0", "m-1"]
    assert site.reserved == site.closed == []


def test_workers_are_open_after_each_reply_was_lost():
    site = WaveSite(count=2)
    site.machines.lose_replies = True
    site.run_for(12)
    site.machines.lose_replies = False
    site.run_for(10)
    assert site.machines.shown[-1] == (1, True)
    assert site.reserved == site.closed == []


def test_no_worker_is_reserved_for_a_withdrawn_wave():
    site = WaveSite()
    site.add_run("h-2")
    site.run_for(6)
    assert "h-2" in site.reserved
    site.operations.waves = {}
    site.upkeep.advance()
    assert site.reserved == []


@pytest.mark.parametrize("answer", ["answered 409 busy", "no answer"])
def test_workers_are_open_soon_after_a_refused_wave_is_withdrawn(answer):
    site = WaveSite(count=2)
    site.machines.refusal = answer
    site.run_for(5)
    # An order that was refused takes no machine down.
    assert bool(site.closed) == (answer == "no answer")
    site.operations.waves = {}
    site.run_for(LATE_ORDER_SECONDS + 0.5)
    assert site.reserved == site.closed == site.begun == []


def test_refused_upkeep_leaves_workers_open_and_is_ordered_less_often():
    # Guards against sound workers that are closed for good while upkeep is refused.
    site = WaveSite(count=2, finish_by=200.0)
    site.machines.refusal = "answered 409 busy"
    for _ in range(60):
        site.run_for(0.5)
        assert site.closed == []
    assert 2 * 5 <= len(site.machines.terms) <= 2 * 10
    site.machines.refusal = ""
    site.run_for(20)
    assert sorted(site.begun) == ["m-0", "m-1"]


def test_worker_stays_closed_while_its_order_may_still_be_carried_out():
    site = WaveSite(count=2)
    site.machines.refusal = "no answer"
    site.run_for(3.75)
    assert site.closed == ["h-0"]
    site.operations.waves = {}
    site.run_for(LATE_ORDER_SECONDS - 0.75)
    assert site.closed == ["h-0"]


def test_orders_carried_out_late_do_not_exceed_the_limit_of_machines_down():
    site = WaveSite()
    site.add_run("h-0")
    site.machines.late_seconds = 1.25
    site.run_for(3.75)
    site.record("j", None)
    site.machines.late_seconds = 0.0
    site.run_for(30)
    assert sorted(site.begun) == [f"m-{n}" for n in range(4)]
    assert site.machines.shown[-1] == (1, True)


def test_no_worker_is_reserved_once_the_list_of_machines_is_out_of_date():
    site = WaveSite()
    site.add_run("h-2")
    site.run_for(6)
    assert "h-2" in site.reserved
    site.machines.cannot_list = True
    site.run_for(MAX_LIST_AGE_SECONDS + 0.5)
    assert site.reserved == site.closed == []
    site.machines.cannot_list = False
    site.run_for(1.5)
    assert "h-2" in site.reserved


def test_machine_with_a_new_worker_is_reserved_while_its_upkeep_has_not_begun():
    site = WaveSite()
    site.add_run("h-2")
    site.run_for(6)
    session = site.agents.sessions["h-2"]
    session.worker = session.worker._replace(lifetime=Lifetime("w-2-new", 5))
    site.machines.workers["m-2"] = "w-2-new"
    site.run_for(1.5)
    assert session.reserved_lifetime == Lifetime("w-2-new", 5)


def test_upkeep_waits_while_a_lasting_step_has_too_few_tasks():
    site = WaveSite(finish_by=10.0)
    site.add_run("h-2", lasting=True, max_unavailable=1)
    progress = site.ledger.progress("j")
    two_tasks = JobGraph(
        "j", "a", "q", "s", "", (StepSpec(2, Resources(), max_unavailable=1),)
    )
    site.record("job/j", None)
    site.record("job/j", encode(two_tasks))
    assert progress.tasks
    site.run_for(30)
    assert "m-2" not in site.begun


@pytest.mark.parametrize(
    ("listed", "interrupted"),
    [({}, False), ({1: 40}, False), ({0: 100, 1: 100}, True), ({1: 100}, True)],
)
def test_upkeep_waits_for_tasks_that_are_placed_but_not_at_work(listed, interrupted):
    # Guards against a task counted as available because it has been placed.
    site = WaveSite(finish_by=10.0)
    step = StepSpec(2, Resources(), lasting=True, max_unavailable=1)
    site.record("job/j", encode(JobGraph("j", "a", "q", "s", "", (step,))))
    states = {}
    for index, host in enumerate(("h-2", "h-9")):
        lifetime = Lifetime(host.replace("h", "w"), 1)
        states[f"0.0.{index}"] = TaskState(1, host, lifetime)
    site.record("j", encode(JobProgress("", states)))
    other = site.agents.sessions["h-9"] = Session("h-9")
    for index, percent in listed.items():
        session = other if index else site.agents.sessions["h-2"]
        run = RunReport(f"j.0.0.{index}", 1, "", percent)
        session.runs = {(run.task, run.run): run}
    site.run_for(30)
    assert ("m-2" in site.begun) == interrupted


def test_upkeep_ends_no_more_tasks_of_a_step_than_may_be_away():
    # Guards against one upkeep that takes several tasks of a step at once.
    site = WaveSite(finish_by=10.0)
    step = StepSpec(2, Resources(), lasting=True, max_unavailable=1)
    site.record("job/j", encode(JobGraph("j", "a", "q", "s", "", (step,))))
    placed = TaskState(1, "h-2", Lifetime("w-2", 1))
    states = {"0.0.0": placed, "0.0.1": placed}
    site.record("j", encode(JobProgress("", states)))
    runs = [RunReport(f"j.0.0.{index}", 1, "", 100) for index in range(2)]
    site.agents.sessions["h-2"].runs = {(run.task, run.run): run for run in runs}
    site.run_for(30)
    assert "m-2" not in site.begun


def test_lost_replies_do_not_exceed_the_limit_of_machines_down():
    site = WaveSite(most=2)
    site.machines.lose_replies = True
    site.run_for(8)
    site.machines.lose_replies = False
    site.run_for(25)
    assert sorted(set(site.begun)) == [f"m-{n}" for n in range(4)]
    assert site.machines.shown[-1] == (1, True)


def test_placer_that_was_replaced_orders_no_upkeep():
    # Guards against a lower fencing token after a higher one, of a placer that was
    # suspended and has not read that it was replaced.
    site = WaveSite()
    site.run_for(6)
    begun = len(site.machines.terms)
    assert site.confirmed == begun > 0
    site.is_deposed = True
    with pytest.raises(DeposedError):
        site.run_for(30)
    assert len(site.machines.terms) == begun


def test_suspended_placer_confirms_its_term_before_an_upkeep():
    # Guards against an acknowledgement from before a suspension taken for a new one.
    site = ControlSite()
    placer = site.entries[site.placer()].control._placer
    writer = placer._writer
    append = writer.append
    confirmed = []

    def append_slowly(records):
        append(records)
        confirmed.append(clock.now())
        site.run_for(5.0 if len(confirmed) == 1 else 0.0)

    writer.append = append_slowly
    placer._confirm_upkeep(Wave(1, ("m-0",), 60.0, 1), WaveProgress())
    assert len(confirmed) == 2


def test_next_placer_resumes_the_wave():
    site = WaveSite()
    site.run_for(6)
    before = len(site.begun)
    assert 0 < before < 4
    site.upkeep = site.create_upkeep()
    site.run_for(20)
    assert sorted(site.begun) == [f"m-{n}" for n in range(4)]


def test_advice_is_requested_once_per_step_one_at_a_time():
    advisor = MemoryAdvisor({"w-1", "w-2"})
    ticket_cache = TicketCache(advisor, lambda: None)
    workers = tuple(f"w-{n}" for n in range(50))
    for step in ("a.0.0", "b.0.0"):
        assert ticket_cache.tickets(step, workers) == {}
    clock.sleep(1)
    for step in ("a.0.0", "b.0.0"):
        assert set(ticket_cache.tickets(step, workers)) == {"w-1", "w-2"}
    assert advisor.asked == [
        ("a.0.0", MAX_WORKERS_PER_REQUEST),
        ("b.0.0", MAX_WORKERS_PER_REQUEST),
    ]
    assert advisor.max_open_calls == 1


def test_tickets_are_requested_again_before_they_expire():
    advisor = MemoryAdvisor({"w-1"}, valid_seconds=2.0)
    ticket_cache = TicketCache(advisor, lambda: None)
    ticket_cache.tickets("a.0.0", ("w-1",))
    clock.sleep(0.5)
    assert ticket_cache.tickets("a.0.0", ("w-1",))
    clock.sleep(1.0)
    assert not ticket_cache.tickets("a.0.0", ("w-1",))
    clock.sleep(0.5)
    assert ticket_cache.tickets("a.0.0", ("w-1",))


def test_tickets_that_do_not_suffice_are_requested_for_further_workers():
    advisor = MemoryAdvisor({"w-1", "w-40"}, valid_seconds=20.0)
    ticket_cache = TicketCache(advisor, lambda: None)
    workers = tuple(f"w-{n}" for n in range(1, 41))
    ticket_cache.tickets("a.0.0", workers)
    clock.sleep(1)
    assert set(ticket_cache.tickets("a.0.0", workers)) == {"w-1"}
    for _ in range(5):
        ticket_cache.tickets("a.0.0", workers, do_not_suffice=True)
        clock.sleep(1)
    assert set(ticket_cache.tickets("a.0.0", workers)) == {"w-1", "w-40"}
    assert [count for _, count in advisor.asked] == [MAX_WORKERS_PER_REQUEST, 10]


def test_tickets_are_requested_for_a_worker_that_joins_later():
    advisor = MemoryAdvisor({"w-1", "w-2"}, valid_seconds=20.0)
    ticket_cache = TicketCache(advisor, lambda: None)
    ticket_cache.tickets("a.0.0", ("w-1",))
    clock.sleep(1)
    ticket_cache.tickets("a.0.0", ("w-1", "w-2"), do_not_suffice=True)
    clock.sleep(1)
    assert set(ticket_cache.tickets("a.0.0", ("w-1", "w-2"))) == {"w-1", "w-2"}


def test_refused_advice_is_requested_again_after_a_delay():
    advisor = MemoryAdvisor({"w-1"})
    advisor.refuses = True
    ticket_cache = TicketCache(advisor, lambda: None)
    for _ in range(20):
        ticket_cache.tickets("a.0.0", ("w-1",))
        clock.sleep(0.05)
    assert len(advisor.asked) <= 4
