"""Random faults on a site of entries, agents and stand-ins, checked at intervals."""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from sequoiachute import clock
from sequoiachute.coordination.bounds import (
    AGENT_LOST_SECONDS,
    MAX_PARTIAL_GANG_SECONDS,
)
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
SWITCH_EFFECT_SECONDS = 5.0
CHECK_INTERVAL_SECONDS = 0.2
ACCELERATORS_PER_WORKER = 8
RECOVERY_SECONDS = 6 * AGENT_LOST_SECONDS
ACCOUNT = {"owner": "Brocach", "job_class": "batch"}

AGENT_ADDRESSES = [agent_address(i) for i in range(WORKERS)]
ENTRY_ADDRESSES = [entry_address(i) for i in range(ENTRIES)]
ANY_ADDRESS = st.sampled_from(ENTRY_ADDRESSES + AGENT_ADDRESSES)
WAIT_SECONDS = st.sampled_from([0.0, 0.4, 1.0, 4.0, 12.0])


class SiteMachine(RuleBasedStateMachine):
    """Injects faults in any order; checks the invariants at every interval."""

    @initialize()
    def start(self):
        install_paused_clock()
        self.site = Site(workers=WORKERS, entries=ENTRIES)
        self.site.publish(create_catalogue(brocach=ACCOUNT))
        self.checker = SiteChecker(
            self.site, MAX_PARTIAL_GANG_SECONDS, SWITCH_EFFECT_SECONDS
        )
        self.jobs = []
        self.work = 0.0  # accelerator-seconds submitted
        self.site.run_for(8)
        self.submit(2, 8, "data_centre", 20.0, 0.0)
        self.submit(4, 2, "rack", 60.0, 0.0)
        self.submit(1, 4, "rack", 20.0, 1.0)

    def run_for(self, seconds):
        for _ in range(round(seconds / CHECK_INTERVAL_SECONDS)):
            self.site.run_for(CHECK_INTERVAL_SECONDS)
            self.checker.check()

    @rule(
        tasks=st.integers(1, 4),
        accelerators=st.sampled_from([2, 4]),
        within=st.sampled_from(["rack", "data_centre"]),
        run_seconds=st.sampled_from([0.5, 4.0, 20.0, 60.0]),
        wait_seconds=WAIT_SECONDS,
    )
    def submit(self, tasks, accelerators, within, run_seconds, wait_seconds):
        job_id = f"job-{len(self.jobs)}"
        self.jobs.append(job_id)
        self.checker.gang_sizes[job_id] = tasks
        self.work += tasks * accelerators * run_seconds
        self.site.try_append(
            lambda: self.site.submit(
                job_id,
                tasks=tasks,
                accelerators=accelerators,
                within=within,
                run_seconds=run_seconds,
            )
        )
        self.run_for(wait_seconds)

    @rule(data=st.data(), wait_seconds=WAIT_SECONDS)
    def cancel(self, data, wait_seconds):
        job_id = data.draw(st.sampled_from(self.jobs))
        self.site.try_append(lambda: self.site.cancel(job_id))
        self.run_for(wait_seconds)

    @rule(one=ANY_ADDRESS, other=ANY_ADDRESS, wait_seconds=WAIT_SECONDS)
    def cut_link(self, one, other, wait_seconds):
        if one != other:
            self.site.cut(one, other)
        self.run_for(wait_seconds)

    @rule(
        address=ANY_ADDRESS,
        others=st.sampled_from(["entries", "agents"]),
        wait_seconds=WAIT_SECONDS,
    )
    def isolate(self, address, others, wait_seconds):
        for other in ENTRY_ADDRESSES if others == "entries" else AGENT_ADDRESSES:
            if other != address:
                self.site.cut(address, other)
        self.run_for(wait_seconds)

    @rule(one=ANY_ADDRESS, other=ANY_ADDRESS, wait_seconds=WAIT_SECONDS)
    def lose_replies(self, one, other, wait_seconds):
        self.site.network.lose_replies.add((one, other))
        self.run_for(wait_seconds)

    @rule(wait_seconds=WAIT_SECONDS)
    def heal_links(self, wait_seconds):
        self.site.network.cut.clear()
        self.site.network.lose_replies.clear()
        self.run_for(wait_seconds)

    @rule(address=ANY_ADDRESS, wait_seconds=WAIT_SECONDS)
    def freeze(self, address, wait_seconds):
        self.site.freeze(address)
        self.run_for(wait_seconds)

    @rule(wait_seconds=WAIT_SECONDS)
    def thaw_all(self, wait_seconds):
        for address in self.site.processes:
            self.site.thaw(address)
        self.run_for(wait_seconds)

    @rule(index=st.integers(0, WORKERS - 1), wait_seconds=WAIT_SECONDS)
    def replace_agent(self, index, wait_seconds):
        self.site.kill(agent_address(index))
        self.run_for(wait_seconds)
        self.site.agents[index] = self.site.start_agent(index)

    @rule(index=st.integers(0, ENTRIES - 1), wait_seconds=WAIT_SECONDS)
    def replace_entry(self, index, wait_seconds):
        self.site.kill(entry_address(index))
        self.run_for(wait_seconds)
        self.site.entries[index] = self.site.start_entry(index)

    @rule(
        index=st.integers(0, ENTRIES - 1),
        is_cut=st.booleans(),
        wait_seconds=WAIT_SECONDS,
    )
    def cut_from_log(self, index, is_cut, wait_seconds):
        self.site.log_links[index].cut = is_cut
        self.run_for(wait_seconds)

    @rule(
        fault=st.sampled_from(["down", "reads_fail", "lose_replies"]),
        is_on=st.booleans(),
        wait_seconds=WAIT_SECONDS,
    )
    def break_log(self, fault, is_on, wait_seconds):
        setattr(self.site.log, fault, is_on)
        self.run_for(wait_seconds)

    @rule(delay=st.sampled_from([0.001, 0.3, 1.5]), wait_seconds=WAIT_SECONDS)
    def slow_log(self, delay, wait_seconds):
        self.site.log.delay = delay
        self.run_for(wait_seconds)

    @rule(
        data_centre=st.sampled_from(DATA_CENTRES),
        in_service=st.booleans(),
        wait_seconds=WAIT_SECONDS,
    )
    def switch(self, data_centre, in_service, wait_seconds):
        if len(self.checker.out_of_service_since) == 2:
            in_service = True
        if self.site.try_append(lambda: self.site.switch(data_centre, in_service)):
            self.checker.note_switch(data_centre, in_service)
        self.run_for(wait_seconds)

    @rule(
        index=st.integers(0, WORKERS - 1),
        unreachable=st.booleans(),
        wait_seconds=WAIT_SECONDS,
    )
    def lose_backend(self, index, unreachable, wait_seconds):
        self.site.backends[index].unreachable = unreachable
        self.run_for(wait_seconds)

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
        # A greedy schedule takes at most twice the time of the work on all of them.
        work_seconds = 2 * self.work / (WORKERS * ACCELERATORS_PER_WORKER)
        until = clock.now() + RECOVERY_SECONDS + work_seconds
        while clock.now() < until:
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
    phases=(Phase.generate,),  # a run takes minutes, too long to shrink
)
