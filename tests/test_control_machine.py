"""Random faults of entries, agents, workers and the store.

No task ever runs twice at once, and after all faults are repaired every accepted
job completes, unless its tasks have failed or crash their workers, or it was cancelled.
A task that crashes the workers that start it is started five times at most. Once what
the faults left behind is over, no work waits beside idle workers.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sequoiachute import clock
from sequoiachute.coordination.intake import ACCEPTED, REFUSED
from sequoiachute.protocol.workload import CANCELLED, COMPLETE, FAILED
from standins.control_site import QUEUE, URGENT, ControlSite
from standins.paused import install_paused_clock
from tests.control_checks import (
    TAKEOVER_SECONDS,
    IdleWatch,
    assert_room_kept,
    crash_count,
    failed_attempts,
)
from tests.run_checks import (
    assert_crash_budget,
    assert_no_duplicate_runs,
    assert_run_numbers_increase,
)

ENTRIES = 3
WORKERS = 4
GPUS = 4  # of a worker that has not shrunk
RECOVERY_SECONDS = 90.0
LEASE_END_SECONDS = 9.5  # from a worker's last report until all its leases are over
MAX_DEADLY_JOBS = 2
MIN_CRASHES_TO_FAIL = 2  # under one task, for its job to be shown as failed
CALM_SECONDS = LEASE_END_SECONDS + TAKEOVER_SECONDS  # from the repair of all faults

entries = st.integers(0, ENTRIES - 1)
workers = st.integers(0, WORKERS - 1)
in_trouble = precondition(lambda self: self.watch is None)
in_calm = precondition(lambda self: self.watch is not None)


class ControlMachine(RuleBasedStateMachine):
    watch = None

    @initialize(lists_machines=st.booleans())
    def create_site(self, lists_machines):
        install_paused_clock()
        self.site = ControlSite(ENTRIES, WORKERS, lists_machines=lists_machines)
        self.without_power = set()
        for number, worker in enumerate(self.site.workers):
            worker.rack = f"rack-{number}"
            worker.keeps_id = number % 2 == 0
        self.accepted_jobs = []
        self.refused_jobs = []
        self.cancelled_jobs = set()

    @rule(
        entry=entries,
        count=st.sampled_from([1, 2, 3, 4, 6, 8]),
        seconds=st.sampled_from([0.3, 2.0, 8.0]),
        urgent=st.booleans(),
        gang=st.booleans(),
        same_rack=st.booleans(),
        per_worker=st.sampled_from([0, 0, 2]),
        steps=st.sampled_from([1, 1, 2]),
    )
    def submit(self, entry, count, seconds, urgent, **step):
        if self._is_stuck(entry):
            return
        queue = URGENT if urgent else QUEUE
        job, outcome = self.site.submit(seconds, count, entry, queue, wait=1.0, **step)
        if outcome.kind == ACCEPTED:
            self.accepted_jobs.append(job)
        elif outcome.kind == REFUSED:
            self.refused_jobs.append(job)

    @rule(
        entry=entries,
        count=st.sampled_from([1, 1, 2, 5]),
        urgent=st.booleans(),
        gang=st.booleans(),
        lasting=st.booleans(),
    )
    def submit_deadly(self, entry, count, urgent, **step):
        if self._is_stuck(entry) or len(self.site.deadly_jobs) >= MAX_DEADLY_JOBS:
            return
        job = f"d{len(self.site.deadly_jobs):015x}"
        self.site.deadly_jobs.add(job)
        queue = URGENT if urgent else QUEUE
        _, outcome = self.site.submit(
            8.0, count, entry, queue, wait=1.0, job_id=job, **step
        )
        if outcome.kind == ACCEPTED:
            self.accepted_jobs.append(job)
        elif outcome.kind == REFUSED:
            self.refused_jobs.append(job)

    @precondition(lambda self: self.accepted_jobs)
    @rule(entry=entries, number=st.integers(0, 3))
    def cancel(self, entry, number):
        if self._is_stuck(entry):
            return
        job = self.accepted_jobs[-1 - number % len(self.accepted_jobs)]
        self.cancelled_jobs.add(job)
        self.site.cancel(job, entry, wait=1.0)

    def _is_stuck(self, entry):
        process = self.site.entries[entry].process
        return process.killed or process.frozen

    @rule(seconds=st.sampled_from([0.1, 0.7, 2.5, 11.0]))
    def wait(self, seconds):
        if self.watch is None:
            self.site.run_for(seconds)
        else:
            self.watch.run_for(seconds)

    @in_trouble
    @rule()
    def calm(self):
        self._repair()
        self.site.run_for(CALM_SECONDS)
        self.watch = IdleWatch(self.site)

    @in_calm
    @rule()
    def end_calm(self):
        self.watch = None

    @in_calm
    @rule()
    def change_placer(self):
        placer = self.site.placer()
        self.site.kill_entry(placer)
        self.site.run_for(TAKEOVER_SECONDS)
        self.site.restart_entry(placer)
        self.site.run_for(TAKEOVER_SECONDS)
        self.watch = IdleWatch(self.site)

    @rule(worker=workers, fails=st.booleans())
    def fail_runs(self, worker, fails):
        self.site.workers[worker].fails_runs = fails

    @rule(worker=workers, refuses=st.booleans())
    def refuse_starts(self, worker, refuses):
        self.site.workers[worker].refuses_starts = refuses

    @rule(worker=workers, seconds=st.sampled_from([1.0, 20.0]))
    def leave(self, worker, seconds):
        self.site.workers[worker].leaving_seconds = seconds

    @rule(worker=workers, same_id=st.booleans())
    def return_worker(self, worker, same_id):
        self._return_worker(worker, same_id)

    def _return_worker(self, worker, same_id):
        """Let a worker that leaves come back in a new lifetime."""
        if self.site.workers[worker].leaving_seconds is not None:
            self.site.workers[worker].leaving_seconds = None
            self.site.workers[worker].restart(same_id)

    @in_trouble
    @rule()
    def kill_placer(self):
        placer = self.site.placer()
        alive = sum(not entry.process.killed for entry in self.site.entries)
        if placer >= 0 and alive > 1:
            self.site.kill_entry(placer)

    @in_trouble
    @rule(entry=entries)
    def restart_entry(self, entry):
        if self.site.entries[entry].process.killed:
            self.site.restart_entry(entry)

    @in_trouble
    @rule(entry=entries, frozen=st.booleans())
    def freeze_entry(self, entry, frozen):
        target = self.site.entries[entry]
        target.process.frozen = frozen
        # Calls to a frozen entry fail at once; thousands of waiting ones are slow.
        for other in (*self.site.agents, *self.site.entries):
            pair = (other.address, target.address)
            update_cut = (
                self.site.network.cut.add if frozen else (self.site.network.cut.discard)
            )
            update_cut(pair)

    @in_trouble
    @rule(worker=workers)
    def kill_agent(self, worker):
        self.site.kill_agent(worker)

    @in_trouble
    @rule(worker=workers)
    def restart_agent(self, worker):
        if self.site.agents[worker].process.killed and worker not in self.without_power:
            self.site.restart_agent(worker)

    @in_trouble
    @rule(worker=workers)
    def lose_power(self, worker):
        if not self.site.workers[worker].is_down:
            self.site.lose_power(worker)
            self.without_power.add(worker)

    @in_trouble
    @rule(worker=workers, same_id=st.booleans())
    def restore_power(self, worker, same_id):
        if worker in self.without_power:
            self.without_power.discard(worker)
            self.site.restore_power(worker, same_id)

    @in_trouble
    @rule(spoilt=st.sampled_from(["cannot_list", "is_empty", "has_no_ids"]))
    def disturb_list(self, spoilt):
        if self.site.machines is not None:
            setattr(self.site.machines, spoilt, not getattr(self.site.machines, spoilt))

    @in_trouble
    @rule(worker=workers, frozen=st.booleans())
    def freeze_agent(self, worker, frozen):
        self.site.agents[worker].process.frozen = frozen

    @rule(worker=workers, gpus=st.sampled_from([1, 2, 4]))
    def change_capacity(self, worker, gpus):
        capacity = self.site.workers[worker].capacity
        self.site.workers[worker].capacity = capacity._replace(gpus=gpus)

    @rule(worker=workers, same_id=st.booleans())
    def crash_worker(self, worker, same_id):
        self.site.workers[worker].restart(same_id)

    @in_trouble
    @rule(
        worker=workers,
        late=st.sampled_from([0.0, 0.0, 1.0, 3.0, 8.0]),
        lost=st.booleans(),
    )
    def disturb_orders(self, worker, late, lost):
        self.site.workers[worker].late_seconds = late
        self.site.workers[worker].lose_replies = lost

    @in_trouble
    @rule(down=st.booleans(), lost=st.booleans(), late=st.sampled_from([0.0, 2.0]))
    def disturb_store(self, down, lost, late):
        self.site.store.down = down
        self.site.store.lose_replies = lost
        self.site.store.late_seconds = late

    @in_trouble
    @rule(topics=st.sets(st.sampled_from(["jobs", "jobs-2", "jobs-3", "runs", "op"])))
    def disturb_topics(self, topics):
        self.site.store.down_topics = topics

    @in_trouble
    @rule(entry=entries, refused=st.booleans(), silent=st.booleans())
    def disturb_store_access(self, entry, refused, silent):
        self.site.entries[entry].store.rejecting = refused
        self.site.entries[entry].store.unresponsive = silent

    @in_trouble
    @rule()
    def reassign_partitions(self):
        self.site.store.reassign_partitions()

    @in_trouble
    @rule(topic=st.sampled_from(["jobs", "jobs-2", "runs", "op"]))
    def discard_history(self, topic):
        self.site.store.discard_history(topic)

    @in_trouble
    @rule(entry=entries, worker=workers)
    def cut_connection(self, entry, worker):
        pair = (self.site.agents[worker].address, self.site.entries[entry].address)
        self.site.network.cut.add(pair)

    @in_trouble
    @rule(entry=entries, other=entries, lost=st.booleans())
    def disturb_peer_replies(self, entry, other, lost):
        pair = (self.site.entries[entry].address, self.site.entries[other].address)
        update = (
            self.site.network.lose_replies.add
            if lost
            else self.site.network.lose_replies.discard
        )
        update(pair)

    @precondition(lambda self: hasattr(self, "site"))
    @invariant()
    def no_task_runs_twice(self):
        assert_no_duplicate_runs(self.site.history, crashes=True)
        assert_run_numbers_increase(self.site.history)
        assert_room_kept(self.site)
        assert_crash_budget(self.site.history, self.site.deadly_jobs)

    def teardown(self):
        if not hasattr(self, "site"):
            return
        self._repair()
        self.site.run_for(CALM_SECONDS)
        watch = IdleWatch(self.site)
        until = clock.now() + RECOVERY_SECONDS - CALM_SECONDS
        while clock.now() < until and not self._has_ended():
            watch.run_for(0.5)
        for job in self.accepted_jobs:
            state = self.site.state(job)
            crashes = crash_count(self.site, job)
            assert state in self._possible_ends(job), (job, state, crashes)
        assert_no_duplicate_runs(self.site.history, crashes=True)
        started = {start.task.partition(".")[0] for start in self.site.history.starts}
        assert not started & set(self.refused_jobs)

    def _has_ended(self):
        states = {self.site.state(job) for job in self.accepted_jobs}
        return states <= {COMPLETE, FAILED, CANCELLED}

    def _possible_ends(self, job):
        """Return the final states that the history of a job allows."""
        states = set() if job in self.site.deadly_jobs else {COMPLETE}
        if job in self.cancelled_jobs:
            states.add(CANCELLED)
        if crash_count(self.site, job) >= MIN_CRASHES_TO_FAIL:
            states.add(FAILED)
        if failed_attempts(self.site, job) >= self.site.jobs[job].attempts:
            states.add(FAILED)
        return states

    def _repair(self):
        site = self.site
        site.network.cut.clear()
        site.network.lose_replies.clear()
        self.disturb_store(False, False, 0.0)
        self.disturb_topics(set())
        for entry in range(ENTRIES):
            site.entries[entry].process.frozen = False
            self.disturb_store_access(entry, False, False)
            self.restart_entry(entry)
        for worker in range(WORKERS):
            self.restore_power(worker, same_id=False)
            site.agents[worker].process.frozen = False
            self.disturb_orders(worker, 0.0, False)
            self.restart_agent(worker)
            self._return_worker(worker, same_id=False)
            self.change_capacity(worker, GPUS)
            self.fail_runs(worker, False)
            self.refuse_starts(worker, False)


ControlMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestControlMachine = ControlMachine.TestCase
