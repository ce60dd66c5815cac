"""Entries, agents and stand-ins under faults, checked after every step."""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from sequoiachute.coordination.bounds import AGENT_LOST_SECONDS, PARTLY_RUNNING_SECONDS
from standins.paused import install_paused_clock
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

AGENT_LIST = [agent_address(i) for i in range(WORKERS)]
ENTRY_LIST = [entry_address(i) for i in range(ENTRIES)]
ANY = st.sampled_from(ENTRY_LIST + AGENT_LIST)
THEN = st.sampled_from([0.0, 0.4, 1.0, 4.0, 12.0])


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
        self.submit(2, 8, "data_centre", 20.0, 0.0)
        self.submit(4, 2, "rack", 60.0, 0.0)
        self.submit(1, 4, "rack", 20.0, 1.0)

    def run_for(self, seconds):
        for _ in range(round(seconds / CHECK_SECONDS)):
            self.site.run_for(CHECK_SECONDS)
            self.checker.check()

    @rule(
        tasks=st.integers(1, 4),
        accelerators=st.sampled_from([2, 4]),
        within=st.sampled_from(["rack", "data_centre"]),
        seconds=st.sampled_from([0.5, 4.0, 20.0, 60.0]),
        then=THEN,
    )
    def submit(self, tasks, accelerators, within, seconds, then):
        job_id = f"job-{len(self.jobs)}"
        self.jobs.append(job_id)
        self.checker.sizes[job_id] = tasks
        self.site.try_append(
            lambda: self.site.submit(
                job_id,
                tasks=tasks,
                accelerators=accelerators,
                within=within,
                run_seconds=seconds,
            )
        )
        self.run_for(then)

    @rule(data=st.data(), then=THEN)
    def cancel(self, data, then):
        job_id = data.draw(st.sampled_from(self.jobs))
        self.site.try_append(lambda: self.site.cancel(job_id))
        self.run_for(then)

    @rule(one=ANY, other=ANY, then=THEN)
    def cut_link(self, one, other, then):
        if one != other:
            self.site.cut(one, other)
        self.run_for(then)

    @rule(address=ANY, others=st.sampled_from(["entries", "agents"]), then=THEN)
    def isolate(self, address, others, then):
        for other in ENTRY_LIST if others == "entries" else AGENT_LIST:
            if other != address:
                self.site.cut(address, other)
        self.run_for(then)

    @rule(one=ANY, other=ANY, then=THEN)
    def lose_replies(self, one, other, then):
        self.site.network.lose_replies.add((one, other))
        self.run_for(then)

    @rule(then=THEN)
    def heal_links(self, then):
        self.site.network.cut.clear()
        self.site.network.lose_replies.clear()
        self.run_for(then)

    @rule(address=ANY, then=THEN)
    def freeze(self, address, then):
        self.site.freeze(address)
        self.run_for(then)

    @rule(then=THEN)
    def thaw_all(self, then):
        for address in self.site.processes:
            self.site.thaw(address)
        self.run_for(then)

    @rule(index=st.integers(0, WORKERS - 1), then=THEN)
    def replace_agent(self, index, then):
        self.site.kill(agent_address(index))
        self.run_for(then)
        self.site.agents[index] = self.site.start_agent(index)

    @rule(index=st.integers(0, ENTRIES - 1), then=THEN)
    def replace_entry(self, index, then):
        self.site.kill(entry_address(index))
        self.run_for(then)
        self.site.entries[index] = self.site.start_entry(index)

    @rule(index=st.integers(0, ENTRIES - 1), is_cut=st.booleans(), then=THEN)
    def cut_from_log(self, index, is_cut, then):
        self.site.log_links[index].cut = is_cut
        self.run_for(then)

    @rule(
        fault=st.sampled_from(["down", "reads_fail", "lose_replies"]),
        is_on=st.booleans(),
        then=THEN,
    )
    def break_log(self, fault, is_on, then):
        setattr(self.site.log, fault, is_on)
        self.run_for(then)

    @rule(delay=st.sampled_from([0.001, 0.3, 1.5]), then=THEN)
    def slow_log(self, delay, then):
        self.site.log.delay = delay
        self.run_for(then)

    @rule(data_centre=st.sampled_from(DATA_CENTRES), is_in=st.booleans(), then=THEN)
    def switch(self, data_centre, is_in, then):
        if len(self.checker.out_since) == 2:
            is_in = True
        if self.site.try_append(lambda: self.site.switch(data_centre, is_in)):
            self.checker.note_switch(data_centre, is_in)
        self.run_for(then)

    @rule(index=st.integers(0, WORKERS - 1), unreachable=st.booleans(), then=THEN)
    def lose_backend(self, index, unreachable, then):
        self.site.backends[index].unreachable = unreachable
        self.run_for(then)

    def teardown(self):
        if not hasattr(self, "site"):
            return
        site = self.site
        self.heal_links(0.0)
        self.thaw_all(0.0)
        site.log.down = site.log.reads_fail = site.log.lose_replies = False
        site.log.delay = 0.001
        for link in site.log_links.values():
            link.cut = False
        for backend in site.backends:
            backend.unreachable = False
        for data_centre in DATA_CENTRES:
            site.switch(data_centre, True)
            self.checker.note_switch(data_centre, True)
        self.run_for(2)
        for _ in range(60):
            if all(self.checker.has_ended(job_id) for job_id in self.jobs):
                break
            self.run_for(AGENT_LOST_SECONDS / 10)
        for job_id in self.jobs:
            job = site.entries[0].jobs.get(job_id)
            assert job is None or job.has_ended, job


TestSiteMachine = SiteMachine.TestCase
TestSiteMachine.settings = settings(
    max_examples=14,
    stateful_step_count=40,
    phases=(Phase.generate,),  # shrinking a run of minutes would take minutes
)
