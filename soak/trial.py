"""Runs one seed of the soak test and checks what callers and workers recorded."""

import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import urllib3

from sequoiachute.coordination.bounds import AGENT_STARTUP_HOLD_SECONDS
from soak import histories
from soak.callers import DEADLINE_SECONDS, JOB_SPEC, Caller
from soak.events import WorkerHistory, read_events
from soak.histories import Call, JobSample, TaskStart
from soak.keeper import WorkerKeeper
from soak.plan import FAULT_KINDS, LATE_CALLS, Fault, draw_plan
from soak.proxy import CLEAR, LATE, Link
from standins.cluster import ACCELERATORS, OPERATOR_KEY, Cluster, Process, caller_key
from standins.demo import CATALOGUE

ACCOUNT = "brocach"
# Drained and restored by operator changes; its jobs then run elsewhere.
DRAINED_DATA_CENTRE = "muc-3"
ENTRIES = 2
CALLERS = 6
CHECK_INTERVAL_SECONDS = 1.5  # between two checks of the histories
SETTLE_SECONDS = 60.0  # longer than every lease, open circuit breaker and retry
FINAL_STATES = ("finished", "failed", "cancelled")
# The deadline, the query of the agent for the outcome, and the length of a fault.
MAX_CALL_SECONDS = DEADLINE_SECONDS + 10.0
ELECTION_SECONDS = 6.0  # a placer's lease, and a view of the log that is fresh again
# After the last fault a placer may have to be elected, and agents that were restarted
# start nothing.
CALM_SECONDS = ELECTION_SECONDS + AGENT_STARTUP_HOLD_SECONDS
MAX_IDLE_WAIT_SECONDS = 3.0  # of a job that fits twice over where half is idle
SAMPLE_INTERVAL_SECONDS = 0.2  # between two samples of waiting jobs
# Once this many workers have crashed under a task, fewer than this many starts of it
# may follow.
CRASH_LIMIT = 3
STARTS_AFTER_CRASH_LIMIT = 3
# For a task to crash as many workers as the budget allows, and more.
CRASHES_SECONDS = 45.0
DEADLY_RUN_SECONDS = 30.0
CALM_JOBS = 2  # that each caller submits once the faults are over


class TrialResult(NamedTuple):
    """Counts of a run and its violations by kind; none if it passed."""

    seed: int
    faults: int
    calls: int
    answered: int
    jobs: int
    violations: dict[str, list[str]]


class Links:
    """The cluster's links by class and user, created on first use."""

    def __init__(self) -> None:
        self._links: dict[tuple[str, str], Link] = {}

    def route(self, kind: str, name: str, address: str) -> str:
        """Point the link of ``name`` at ``address`` and return the link's address."""
        link = self._links.get((kind, name))
        if link is None:
            link = self._links[(kind, name)] = Link(address)
        link.target = address
        return link.address

    def of_kind(self, kind: str) -> list[Link]:
        """Return the links of a class in the order of their creation."""
        return [link for (known, _), link in self._links.items() if known == kind]

    def clear(self) -> None:
        """End the faults of every link."""
        for link in self._links.values():
            link.state = CLEAR

    def close(self) -> None:
        """Close every link."""
        for link in self._links.values():
            link.close()


class Trial:
    """Injects a seed's faults into a cluster while callers use it.

    Parameters
    ----------
    seed : int
        Determines the faults.
    seconds : float
        Duration of the faults.
    workers : int
        Number of workers, each with an agent.
    kinds : tuple of str
        Kinds of faults to draw from.
    keep : Path, optional
        Folder that gets the violations and the events of the workers if there are
        any violations.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        workers: int,
        kinds: tuple[str, ...] = FAULT_KINDS,
        keep: Path | None = None,
    ) -> None:
        self._keep = keep
        self._seed = seed
        self._plan = draw_plan(seed, seconds, kinds)
        self._links = Links()
        self._cluster = Cluster(
            (ACCOUNT, "milchschaum"),
            workers=workers,
            entries=ENTRIES,
            route=self._links.route,
        )
        self._keeper = WorkerKeeper(self._cluster)
        self._deadly: dict[str, str] = {}
        self._callers: list[Caller] = []
        self._held: dict[str, int] = {}
        self._end_seen_at: dict[str, float] = {}
        self._final_states: dict[str, set[str]] = {}
        self._offsets: dict[int, list[int]] = {}
        self._samples: list[JobSample] = []
        self._violations: dict[str, list[str]] = {}
        self._stopping: set[tuple[str, int]] = set()
        self._stop_threads: list[threading.Thread] = []

    def run(self) -> TrialResult:
        """Run the seed and return its result."""
        callers_stop = threading.Event()
        threads: list[threading.Thread] = []
        try:
            self._start()
            for caller in self._callers:
                threads.append(
                    threading.Thread(target=caller.run, args=(callers_stop,))
                )
            for thread in threads:
                thread.start()
            self._inject_faults()
            self._clear_faults()
            callers_stop.set()
            for thread in threads:
                thread.join()
            self._settle()
            self._keep_evidence()
        finally:
            callers_stop.set()
            for stop in self._stop_threads:
                stop.join()
            self._keeper.stop()
            self._cluster.thaw()
            self._cluster.close()
            self._links.close()
        calls = self._calls()
        answered = sum(call.outcome == "answered" for call in calls)
        jobs = sum(len(caller.accepted) for caller in self._callers)
        return TrialResult(
            self._seed, len(self._plan), len(calls), answered, jobs, self._violations
        )

    def _start(self) -> None:
        self._cluster.start()
        self._keeper.start()
        status, _, _ = self._cluster.call(
            "PUT", "/v1/catalogue", OPERATOR_KEY, CATALOGUE
        )
        if status != 200:
            raise RuntimeError(f"the catalogue was refused with {status}")
        for index, entry in enumerate(self._cluster.entries):
            self._links.route("caller", f"{index}", entry.address)
        for number in range(CALLERS):
            links = self._links.of_kind("caller")
            self._callers.append(Caller(number, links, caller_key(ACCOUNT)))

    def _inject_faults(self) -> None:
        """Begin and end every fault at its time; check the histories in between."""
        actions: list[tuple[float, int, Callable[[], None]]] = []
        for number, fault in enumerate(self._plan):
            actions.append((fault.at, number, lambda f=fault: self._begin_fault(f)))
            actions.append((fault.until, number, lambda f=fault: self._end_fault(f)))
        actions.sort(key=lambda action: action[:2])
        began = checked_at = time.monotonic()
        for at, _, action in actions:
            while (remaining := began + at - time.monotonic()) > 0:
                time.sleep(min(remaining, 0.2))
                if time.monotonic() - checked_at > CHECK_INTERVAL_SECONDS:
                    checked_at = time.monotonic()
                    self._check_histories()
            action()

    def _begin_fault(self, fault: Fault) -> None:
        if fault.kind == "signal":
            self._signal_process(fault)
        elif fault.kind == "log":
            options = {fault.how: True}
            if fault.how == "slow":
                options = {"slow_seconds": fault.strength}
            self._cluster.set_faults(self._cluster.log, **options)
        elif fault.kind == "link":
            links = self._links.of_kind(fault.where)
            link = links[fault.index % len(links)]
            if fault.how == "reset":
                link.reset()
            else:
                link.delay_seconds = fault.strength
                link.late_prefix = LATE_CALLS.get(fault.how, b"")
                link.state = LATE if fault.how in LATE_CALLS else fault.how
        elif fault.kind == "worker":
            index = fault.index % len(self._cluster.workers)
            self._keeper.kill(index, fault.until - fault.at)
        elif fault.kind == "deadly":
            key = f"deadly-{len(self._deadly)}"
            self._deadly[key] = self._submit_deadly_job(key)
        else:
            self._change_configuration(fault)

    def _end_fault(self, fault: Fault) -> None:
        if fault.kind == "log":
            self._cluster.set_faults(self._cluster.log)
        elif fault.kind == "link":
            links = self._links.of_kind(fault.where)
            links[fault.index % len(links)].state = CLEAR
        elif fault.kind == "signal" and fault.how == "pause":
            self._processes(fault)[self._index(fault)].thaw()

    def _processes(self, fault: Fault) -> list[Process]:
        agents = self._cluster.agents
        return self._cluster.entries if fault.where == "entry" else agents

    def _index(self, fault: Fault) -> int:
        return fault.index % len(self._processes(fault))

    def _signal_process(self, fault: Fault) -> None:
        processes, index = self._processes(fault), self._index(fault)
        process = processes[index]
        if (fault.where, index) in self._stopping:
            return
        if fault.how == "pause":
            process.freeze()
            return
        process.thaw()
        if fault.how == "kill":
            process.kill()
            self._restart_process(fault)
            return
        # A graceful stop waits for open work; a thread keeps it from delaying faults.
        self._stopping.add((fault.where, index))
        stop = threading.Thread(target=self._stop_process, args=(fault,))
        self._stop_threads.append(stop)
        stop.start()

    def _stop_process(self, fault: Fault) -> None:
        self._processes(fault)[self._index(fault)].terminate()
        self._restart_process(fault)
        self._stopping.discard((fault.where, self._index(fault)))

    def _restart_process(self, fault: Fault) -> None:
        processes, index = self._processes(fault), self._index(fault)
        if fault.where == "agent":
            processes[index] = self._cluster.start_agent(index)
            return
        self._offsets[index] = []
        processes[index] = self._cluster.start_entry(index)
        self._links.route("caller", f"{index}", processes[index].address)

    def _submit_deadly_job(self, key: str) -> str:
        """Submit a job that crashes its workers; return its id, empty if unknown."""
        body = {**JOB_SPEC, "tasks": 1, "run_seconds": DEADLY_RUN_SECONDS}
        status, _, answer = self._call(
            "POST",
            "/v1/jobs",
            caller_key(ACCOUNT),
            {**body, "payload": "crash"},
            {"Idempotency-Key": key},
        )
        return msgspec.json.decode(answer)["job_id"] if status == 202 else ""

    def _end_deadly_jobs(self) -> None:
        """Wait for the end of the deadly jobs, and cancel those that go on."""
        for key, job_id in self._deadly.items():
            while not job_id:
                job_id = self._submit_deadly_job(key)
            self._deadly[key] = job_id
        deadline = time.monotonic() + CRASHES_SECONDS
        while time.monotonic() < deadline and self._open_deadly_jobs():
            self._check_histories()
            time.sleep(CHECK_INTERVAL_SECONDS)
        for job_id in self._open_deadly_jobs():
            self._call("DELETE", f"/v1/jobs/{job_id}", caller_key(ACCOUNT))
        self._cluster.wait_until(lambda: not self._open_deadly_jobs(), SETTLE_SECONDS)

    def _open_deadly_jobs(self) -> list[str]:
        states = self._job_states(0)
        open_jobs = []
        for job_id in self._deadly.values():
            if states.get(job_id) not in FINAL_STATES:
                open_jobs.append(job_id)
        return open_jobs

    def _change_configuration(self, fault: Fault) -> None:
        entry = fault.index % ENTRIES
        if fault.how == "publish":
            self._call_as_operator(entry, "PUT", "/v1/catalogue", CATALOGUE)
            return
        self._call_as_operator(
            entry, "POST", f"/v1/data-centres/{DRAINED_DATA_CENTRE}/{fault.how}"
        )

    def _call_as_operator(self, entry: int, method: str, path: str, body=None):
        return self._call(method, path, OPERATOR_KEY, body, entry=entry)

    def _call(self, method, path, key, body=None, headers=None, entry=0):
        """Call an entry; return status 0 if a fault prevents the call."""
        try:
            return self._cluster.call(
                method, path, key, body, headers, entry=entry, timeout=3.0
            )
        except urllib3.exceptions.HTTPError:
            return 0, {}, b""

    def _clear_faults(self) -> None:
        self._links.clear()
        self._cluster.set_faults(self._cluster.log)
        self._cluster.thaw()
        for stop in self._stop_threads:
            stop.join()

    def _settle(self) -> None:
        """Wait until every accepted job has finished, then check a last time.

        Some jobs are submitted once what the faults left behind is over.
        """
        self._cluster.wait_ready()
        self._end_deadly_jobs()
        self._keeper.wait_up()
        path = f"/v1/data-centres/{DRAINED_DATA_CENTRE}/restore"
        self._cluster.wait_until(
            lambda: self._call_as_operator(0, "POST", path)[0] == 200, SETTLE_SECONDS
        )
        time.sleep(CALM_SECONDS)
        self._samples.append(self._sample())
        for number in range(CALM_JOBS):
            for index, caller in enumerate(self._callers):
                caller.submit_job(f"calm-{index}-{number}")
        accepted = self._accepted_jobs()
        try:
            self._cluster.wait_until(
                lambda: self._have_finished(accepted), SETTLE_SECONDS
            )
        except TimeoutError:
            self._record("lost jobs", self._unfinished_jobs(accepted))
        self._check_histories()
        self._record("waits beside idle workers", self._idle_waits())

    def _have_finished(self, accepted: set[str]) -> bool:
        """Return whether all jobs have finished; take a sample of them if not."""
        if not self._unfinished_jobs(accepted):
            return True
        self._samples.append(self._sample())
        time.sleep(SAMPLE_INTERVAL_SECONDS)
        return False

    def _idle_waits(self) -> set[str]:
        needs = {}
        for caller in self._callers:
            for job in caller.accepted:
                needs[job.job_id] = job.tasks * JOB_SPEC["accelerators"]
        return histories.idle_waits(
            self._samples, needs, ACCELERATORS, MAX_IDLE_WAIT_SECONDS
        )

    def _sample(self) -> JobSample:
        """Return which accepted jobs wait at every entry, and what the workers run."""
        accepted = self._accepted_jobs()
        at = time.monotonic()
        views = [self._described_jobs(entry) for entry in range(ENTRIES)]
        waiting, running = {}, {}
        for job_id in accepted:
            jobs = [view[job_id] for view in views if job_id in view]
            if any(job["state"] == "running" for job in jobs):
                running[job_id] = max(job["attempt"] for job in jobs)
            elif jobs and all(job["state"] == "queued" for job in jobs):
                waiting[job_id] = max(job["attempt"] for job in jobs)
        used = []
        for history in self._worker_histories():
            used.append(histories.used_accelerators(history.starts, running))
        return JobSample(at, waiting, used)

    def _accepted_jobs(self) -> set[str]:
        jobs = [job for caller in self._callers for job in list(caller.accepted)]
        return {job.job_id for job in jobs}

    def _unfinished_jobs(self, accepted: set[str]) -> set[str]:
        unfinished = set()
        for entry in range(ENTRIES):
            unfinished |= histories.lost_jobs(accepted, self._job_states(entry))
        return unfinished

    def _job_states(self, entry: int) -> dict[str, str]:
        jobs = self._described_jobs(entry).values()
        return {job["job_id"]: job["state"] for job in jobs}

    def _described_jobs(self, entry: int) -> dict[str, dict[str, Any]]:
        """Return the account's jobs as an entry shows them; none if it can't."""
        try:
            status, _, answer = self._cluster.call(
                "GET", "/v1/jobs", caller_key(ACCOUNT), entry=entry, timeout=3.0
            )
        except urllib3.exceptions.HTTPError:
            return {}
        if status != 200:
            return {}
        jobs = msgspec.json.decode(answer)["jobs"]
        return {job["job_id"]: job for job in jobs}

    def _check_histories(self) -> None:
        """Check everything recorded so far against the guarantees."""
        # Read the calls before the runs: a call whose run is recorded in between
        # would otherwise count as an answer without a run.
        for entry in range(ENTRIES):
            self._read_entry(entry)
        calls = self._calls()
        requests, starts, runs, crashes = [], [], [], []
        for history in self._worker_histories():
            requests += history.requests
            starts += history.starts
            runs += history.runs
            crashes += history.crashes
        for kind, found in histories.find_violations(
            calls, requests, _identity
        ).items():
            self._record(kind, found)
        self._record("overdue calls", histories.overdue_calls(calls, MAX_CALL_SECONDS))
        self._record("duplicate starts", histories.duplicate_starts(starts))
        self._record("starts after the end", self._late_starts(starts))
        self._record("concurrent runs", histories.concurrent_runs(runs))
        self._record(
            "overcommitted accelerators",
            histories.overcommitted_accelerators(runs, ACCELERATORS),
        )
        excess = histories.starts_over_crash_budget(
            starts, crashes, CRASH_LIMIT, STARTS_AFTER_CRASH_LIMIT
        )
        self._record("starts over the crash budget", excess)
        self._record(
            "conflicting final states",
            histories.conflicting_final_states(self._final_states),
        )
        for offsets in self._offsets.values():
            self._record(
                "backward configuration steps", histories.backward_steps(offsets)
            )

    def _late_starts(self, starts: list[TaskStart]) -> list[TaskStart]:
        return histories.starts_after_end(starts, self._end_seen_at)

    def _read_entry(self, entry: int) -> None:
        for job_id, state in self._job_states(entry).items():
            if state in FINAL_STATES:
                self._final_states.setdefault(job_id, set()).add(state)
                self._end_seen_at.setdefault(job_id, time.time())
        status, _, answer = self._call_as_operator(entry, "GET", "/v1/catalogue")
        if status == 200:
            offset = msgspec.json.decode(answer)["offset"]
            self._offsets.setdefault(entry, []).append(offset)

    def _calls(self) -> list[Call]:
        return [call for caller in self._callers for call in list(caller.calls)]

    def _worker_histories(self) -> list[WorkerHistory]:
        worker_histories = []
        for index in range(len(self._cluster.workers)):
            worker_histories.append(read_events(index, self._cluster.events(index)))
        return worker_histories

    def _keep_evidence(self) -> None:
        if self._keep is None or not self._violations:
            return
        folder = self._keep / f"seed-{self._seed}"
        self._cluster.copy_events(folder)
        evidence = {"plan": self._plan, "violations": self._violations}
        (folder / "violations.json").write_bytes(msgspec.json.encode(evidence))

    def _record(self, kind: str, found) -> None:
        if found:
            self._violations[kind] = sorted({str(item) for item in found})


def _identity(body: bytes) -> bytes:
    return body
