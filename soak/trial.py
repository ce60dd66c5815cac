"""One run of the soak: processes, links, faults, callers and the verdict."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import urllib3

from soak import histories
from soak.callers import DEADLINE_SECONDS, Caller
from soak.histories import Call, RequestRun, Start
from soak.plan import Fault, draw_plan
from soak.proxy import CLEAR, Link
from standins.cluster import OPERATOR_KEY, Cluster, Process, caller_key
from standins.demo import CATALOGUE

ACCOUNT = "brocach"
DATA_CENTRE = "muc-3"  # the one that is drained: its jobs go elsewhere
ENTRIES = 2
CALLERS = 6
LOOK_SECONDS = 1.5  # between two looks at what was promised
SETTLE_SECONDS = 60.0  # every lease, breaker and retry is over by then
FINAL_STATES = ("finished", "failed", "cancelled")
# The deadline, asking the agent what became of it, and one fault's time.
HELD_SECONDS = DEADLINE_SECONDS + 10.0


class Verdict(NamedTuple):
    """What a run showed; ``broken`` is empty if every promise was kept."""

    seed: int
    faults: int
    calls: int
    answered: int
    jobs: int
    broken: dict[str, list[str]]


class Links:
    """Every link of the cluster by its class, as the cluster asks for them."""

    def __init__(self) -> None:
        self._links: dict[tuple[str, str], Link] = {}

    def route(self, kind: str, name: str, address: str) -> str:
        """Return the address through which ``name`` reaches ``address``."""
        link = self._links.get((kind, name))
        if link is None:
            link = self._links[(kind, name)] = Link(address)
        link.target = address
        return link.address

    def of(self, kind: str) -> list[Link]:
        """Return the links of a class, in the order in which they were made."""
        return [link for (known, _), link in self._links.items() if known == kind]

    def clear(self) -> None:
        """Heal every link."""
        for link in self._links.values():
            link.state = CLEAR

    def close(self) -> None:
        """Close every link."""
        for link in self._links.values():
            link.close()


class Trial:
    """Plays a seed's faults while callers call.

    Parameters
    ----------
    seconds : float
        How long faults go on.
    """

    def __init__(self, seed: int, seconds: float, workers: int) -> None:
        self._seed = seed
        self._plan = draw_plan(seed, seconds)
        self._links = Links()
        self._cluster = Cluster(
            (ACCOUNT, "milchschaum"),
            workers=workers,
            entries=ENTRIES,
            route=self._links.route,
        )
        self._callers: list[Caller] = []
        self._held: dict[str, int] = {}
        self._ended: dict[str, float] = {}
        self._states: dict[str, set[str]] = {}
        self._offsets: dict[int, list[int]] = {}
        self._broken: dict[str, list[str]] = {}
        self._leaving: set[tuple[str, int]] = set()
        self._stops: list[threading.Thread] = []

    def run(self) -> Verdict:
        """Run the seed and say what was broken."""
        over = threading.Event()
        threads: list[threading.Thread] = []
        try:
            self._start()
            for caller in self._callers:
                threads.append(threading.Thread(target=caller.run, args=(over,)))
            for thread in threads:
                thread.start()
            self._play()
            self._heal()
            over.set()
            for thread in threads:
                thread.join()
            self._settle()
        finally:
            over.set()
            for stop in self._stops:
                stop.join()
            self._cluster.thaw()
            self._cluster.close()
            self._links.close()
        calls = self._calls()
        answered = sum(call.outcome == "answered" for call in calls)
        jobs = sum(len(caller.accepted) for caller in self._callers)
        return Verdict(
            self._seed, len(self._plan), len(calls), answered, jobs, self._broken
        )

    def _start(self) -> None:
        self._cluster.start()
        status, _, _ = self._cluster.call(
            "PUT", "/v1/catalogue", OPERATOR_KEY, CATALOGUE
        )
        if status != 200:
            raise RuntimeError(f"the catalogue was refused with {status}")
        for index, entry in enumerate(self._cluster.entries):
            self._links.route("caller", f"{index}", entry.address)
        for number in range(CALLERS):
            links = self._links.of("caller")
            self._callers.append(Caller(number, links, caller_key(ACCOUNT)))

    def _play(self) -> None:
        """Do and undo every fault at its time, and look in between."""
        steps: list[tuple[float, int, Callable[[], None]]] = []
        for number, fault in enumerate(self._plan):
            steps.append((fault.at, number, lambda f=fault: self._begin(f)))
            steps.append((fault.until, number, lambda f=fault: self._end(f)))
        steps.sort(key=lambda step: step[:2])
        began = looked = time.monotonic()
        for at, _, step in steps:
            while (left := began + at - time.monotonic()) > 0:
                time.sleep(min(left, 0.2))
                if time.monotonic() - looked > LOOK_SECONDS:
                    looked = time.monotonic()
                    self._look()
            step()

    def _begin(self, fault: Fault) -> None:
        if fault.kind == "signal":
            self._signal(fault)
        elif fault.kind == "log":
            options = {fault.how: True}
            if fault.how == "slow":
                options = {"slow_seconds": fault.strength}
            self._cluster.set_faults(self._cluster.log, **options)
        elif fault.kind == "link":
            links = self._links.of(fault.where)
            link = links[fault.index % len(links)]
            if fault.how == "reset":
                link.reset()
            else:
                link.delay_seconds = fault.strength
                link.state = fault.how
        else:
            self._change(fault)

    def _end(self, fault: Fault) -> None:
        if fault.kind == "log":
            self._cluster.set_faults(self._cluster.log)
        elif fault.kind == "link":
            links = self._links.of(fault.where)
            links[fault.index % len(links)].state = CLEAR
        elif fault.kind == "signal" and fault.how == "pause":
            self._processes(fault)[self._index(fault)].thaw()

    def _processes(self, fault: Fault) -> list[Process]:
        agents = self._cluster.agents
        return self._cluster.entries if fault.where == "entry" else agents

    def _index(self, fault: Fault) -> int:
        return fault.index % len(self._processes(fault))

    def _signal(self, fault: Fault) -> None:
        processes, index = self._processes(fault), self._index(fault)
        process = processes[index]
        if (fault.where, index) in self._leaving:
            return
        if fault.how == "pause":
            process.freeze()
            return
        process.thaw()
        if fault.how == "kill":
            process.kill()
            self._replace(fault)
            return
        # A graceful stop takes as long as what is under way.
        self._leaving.add((fault.where, index))
        stop = threading.Thread(target=self._stop, args=(fault,))
        self._stops.append(stop)
        stop.start()

    def _stop(self, fault: Fault) -> None:
        self._processes(fault)[self._index(fault)].terminate()
        self._replace(fault)
        self._leaving.discard((fault.where, self._index(fault)))

    def _replace(self, fault: Fault) -> None:
        processes, index = self._processes(fault), self._index(fault)
        if fault.where == "agent":
            processes[index] = self._cluster.start_agent(index)
            return
        self._offsets[index] = []
        processes[index] = self._cluster.start_entry(index)
        self._links.route("caller", f"{index}", processes[index].address)

    def _change(self, fault: Fault) -> None:
        entry = fault.index % ENTRIES
        if fault.how == "publish":
            self._ask(entry, "PUT", "/v1/catalogue", CATALOGUE)
            return
        self._ask(entry, "POST", f"/v1/data-centres/{DATA_CENTRE}/{fault.how}")

    def _ask(self, entry: int, method: str, path: str, body=None):
        """Call as an operator; nobody promises that it works meanwhile."""
        try:
            return self._cluster.call(
                method, path, OPERATOR_KEY, body, entry=entry, timeout=3.0
            )
        except urllib3.exceptions.HTTPError:
            return 0, {}, b""

    def _heal(self) -> None:
        self._links.clear()
        self._cluster.set_faults(self._cluster.log)
        self._cluster.thaw()
        for stop in self._stops:
            stop.join()

    def _settle(self) -> None:
        """Wait until every accepted job has ended, then look for the last time."""
        self._cluster.wait_ready()
        path = f"/v1/data-centres/{DATA_CENTRE}/restore"
        self._cluster.wait_until(
            lambda: self._ask(0, "POST", path)[0] == 200, SETTLE_SECONDS
        )
        accepted = self._accepted()
        try:
            self._cluster.wait_until(
                lambda: not self._unfinished(accepted), SETTLE_SECONDS
            )
        except TimeoutError:
            self._note("lost jobs", self._unfinished(accepted))
        self._look()

    def _accepted(self) -> set[str]:
        jobs = [job for caller in self._callers for job in list(caller.accepted)]
        return {job.job_id for job in jobs}

    def _unfinished(self, accepted: set[str]) -> set[str]:
        missing = set()
        for entry in range(ENTRIES):
            missing |= histories.lost_jobs(accepted, self._job_states(entry))
        return missing

    def _job_states(self, entry: int) -> dict[str, str]:
        try:
            status, _, answer = self._cluster.call(
                "GET", "/v1/jobs", caller_key(ACCOUNT), entry=entry, timeout=3.0
            )
        except urllib3.exceptions.HTTPError:
            return {}
        if status != 200:
            return {}
        jobs = msgspec.json.decode(answer)["jobs"]
        return {job["job_id"]: job["state"] for job in jobs}

    def _look(self) -> None:
        """Check what has been seen so far against what was promised."""
        # Calls first: a run that comes after them can't excuse an answer.
        for entry in range(ENTRIES):
            self._look_at_entry(entry)
        calls = self._calls()
        runs, starts = self._worker_histories()
        for name, found in histories.find_violations(calls, runs, _identity).items():
            self._note(name, found)
        self._note("held", histories.overdue_calls(calls, HELD_SECONDS))
        self._note("started twice", histories.doubled_starts(starts))
        self._note("started after its end", self._late_starts(starts))
        self._note("two ends", histories.changed_ends(self._states))
        for offsets in self._offsets.values():
            self._note("configuration went back", histories.backward_steps(offsets))

    def _late_starts(self, starts: list[Start]) -> list[Start]:
        return histories.starts_after_end(starts, self._ended)

    def _look_at_entry(self, entry: int) -> None:
        for job_id, state in self._job_states(entry).items():
            if state in FINAL_STATES:
                self._states.setdefault(job_id, set()).add(state)
                self._ended.setdefault(job_id, time.time())
        status, _, answer = self._ask(entry, "GET", "/v1/catalogue")
        if status == 200:
            offset = msgspec.json.decode(answer)["offset"]
            self._offsets.setdefault(entry, []).append(offset)

    def _calls(self) -> list[Call]:
        return [call for caller in self._callers for call in list(caller.calls)]

    def _worker_histories(self) -> tuple[list[RequestRun], list[Start]]:
        runs, starts = [], []
        for worker in self._cluster.workers:
            for row in self._cluster.history(worker):
                if row["what"] == "request":
                    body = row["body"].encode()
                    runs.append(RequestRun(row["request_id"], row["attempt_id"], body))
                else:
                    job_id, attempt, member = row["task_id"].rsplit(".", 2)
                    start = Start(job_id, int(attempt), int(member), row["at"])
                    starts.append(start)
        return runs, starts

    def _note(self, name: str, found) -> None:
        if found:
            self._broken[name] = sorted({str(item) for item in found})


def _identity(body: bytes) -> bytes:
    return body
