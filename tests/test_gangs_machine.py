"""Entries, agents and stand-ins under faults, checked after every step."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from sequoiachute.coordination.bounds import LOST_SECONDS, PARTLY_RUNNING_SECONDS
from standins.memory import install_paused_clock
from standins.site import (
    DATA_CENTRES,
    Site,
    agent_address,
    create_catalogue,
    entry_address,
)
from tests.site_checks import SiteChecker

WORKERS = 6
ENTRIES = 2
OUT_BOUND_SECONDS = 5.0
CHECK_SECONDS = 0.2
ACCOUNT = {"owner": "Brocach", "job_class": "batch"}

AGENTS = st.sampled_from([agent_address(i) for i in range(WORKERS)])
ENTRY_ADDRESSES = st.sampled_from([entry_address(i) for i in range(ENTRIES)])
ANY = st.one_of(AGENTS, ENTRY_ADDRESSES)
CENTRES = st.sampled_from(DATA_CENTRES)


class SiteMachine(RuleBasedStateMachine):
    """Every fault at any time; what must always hold holds after each step."""

    @initialize()
    def start(self):
        install_paused_clock()
        self.site = Site(workers=WORKERS, entries=ENTRIES)
        self.site.publish(create_catalogue(brocach=ACCOUNT))
        self.checker = SiteChecker(self.site, PARTLY_RUNNING_SECONDS, OUT_BOUND_SECONDS)
        self.jobs = []
        self.site.run_for(8)

    def run_for(self, seconds):
        for _ in range(round(seconds / CHECK_SECONDS)):
            self.site.run_for(CHECK_SECONDS)
            self.checker.check()

    @rule(
        tasks=st.integers(1, 4),
        accelerators=st.sampled_from([1, 4, 8]),
        within=st.sampled_from(["rack", "data_centre"]),
        seconds=st.sampled_from([0.5, 4.0, 20.0]),
    )
    def submit(self, tasks, accelerators, within, seconds):
        if tasks * accelerators > 16:
            tasks = 2
        job_id = f"job-{len(self.jobs)}"
        self.jobs.append(job_id)
        self.site.append_when_up(
            lambda: self.site.submit(
                job_id,
                tasks=tasks,
                accelerators=accelerators,
                within=within,
                run_seconds=seconds,
            )
        )

    @precondition(lambda self: self.jobs)
    @rule(data=st.data())
    def cancel(self, data):
        job_id = data.draw(st.sampled_from(self.jobs))
        self.site.append_when_up(lambda: self.site.cancel(job_id))

    @rule(seconds=st.sampled_from([0.2, 0.4, 1.0, 3.0, 6.0]))
    def wait(self, seconds):
        self.run_for(seconds)

    @rule(one=ANY, other=ANY)
    def cut_link(self, one, other):
        if one != other:
            self.site.cut(one, other)

    @rule(one=ANY, other=ANY)
    def lose_replies(self, one, other):
        self.site.network.lose_replies.add((one, other))

    @rule()
    def heal_links(self):
        self.site.network.cut.clear()
        self.site.network.lose_replies.clear()

    @rule(address=ANY)
    def freeze(self, address):
        self.site.freeze(address)

    @rule()
    def thaw_all(self):
        for address in self.site.processes:
            self.site.thaw(address)

    @rule(index=st.integers(0, WORKERS - 1))
    def replace_agent(self, index):
        self.site.kill(agent_address(index))
        self.run_for(0.4)
        self.site.agents[index] = self.site.start_agent(index)

    @rule(index=st.integers(0, ENTRIES - 1))
    def replace_entry(self, index):
        self.site.kill(entry_address(index))
        self.run_for(0.4)
        self.site.entries[index] = self.site.start_entry(index)

    @rule(address=ENTRY_ADDRESSES, is_cut=st.booleans())
    def cut_from_log(self, address, is_cut):
        self.site.processes[address].log_cut = is_cut

    @rule(
        fault=st.sampled_from(["down", "reads_fail", "lose_replies"]),
        is_on=st.booleans(),
    )
    def break_log(self, fault, is_on):
        setattr(self.site.log, fault, is_on)

    @rule(delay=st.sampled_from([0.001, 0.3, 1.5]))
    def slow_log(self, delay):
        self.site.log.delay = delay

    @rule(data_centre=CENTRES, in_service=st.booleans())
    def switch(self, data_centre, in_service):
        if not in_service and len(self.checker.out_since) == 2:
            in_service = True
        switched = self.site.append_when_up(
            lambda: self.site.switch(data_centre, in_service)
        )
        if switched:
            self.checker.note_switch(data_centre, in_service)

    @rule(index=st.integers(0, WORKERS - 1), unreachable=st.booleans())
    def lose_backend(self, index, unreachable):
        self.site.backends[index].unreachable = unreachable

    def teardown(self):
        if not hasattr(self, "site"):
            return
        site = self.site
        self.heal_links()
        self.thaw_all()
        site.log.down = site.log.reads_fail = site.log.lose_replies = False
        site.log.delay = 0.001
        for process in site.processes.values():
            process.log_cut = False
        for backend in site.backends:
            backend.unreachable = False
        for data_centre in DATA_CENTRES:
            site.switch(data_centre, True)
            self.checker.note_switch(data_centre, True)
        self.run_for(2)
        for _ in range(60):
            if all(self.checker.has_ended(job_id) for job_id in self.jobs):
                break
            self.run_for(LOST_SECONDS / 10)
        for job_id in self.jobs:
            job = site.entries[0].jobs.get(job_id)
            assert job is None or job.has_ended, job


TestSiteMachine = SiteMachine.TestCase
TestSiteMachine.settings = settings(max_examples=25, stateful_step_count=30)
