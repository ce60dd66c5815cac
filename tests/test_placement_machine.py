"""Checks after every step that evicting borrowers frees all guarantees at once."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sequoiachute.coordination.placement import PlacementView, SharingPolicy
from standins.fleet import FakeFleet, Rack, new_job

RACKS = [
    Rack("north", "n1", 2, 8),
    Rack("south", "s1", 2, 8, 0.5, "slow"),
    Rack("south", "s2", 2, 4),
]
CATALOGUE = {
    "classes": {"batch": {"priority": 1}, "rush": {"priority": 5, "urgent": True}},
    "accounts": {
        "a": {
            "job_class": "batch",
            "guarantees": [
                {"accelerators": 4, "within": "worker"},
                {"accelerators": 2, "within": "worker"},
            ],
        },
        "b": {
            "job_class": "rush",
            "guarantees": [{"accelerators": 12, "within": "rack", "per_worker": 4}],
        },
        "c": {
            "job_class": "batch",
            "guarantees": [
                {"accelerators": 8, "within": "worker", "speed_class": "slow"}
            ],
        },
        "d": {"job_class": "batch"},
    },
}


def guaranteed_jobs(workers):
    """Return each guaranteed job's account and accelerators by worker ID."""
    jobs = {}
    for worker in workers:
        for occupant in worker.occupants:
            if occupant.guaranteed:
                held = jobs.setdefault(occupant.job_id, (occupant.account, {}))[1]
                held.setdefault(worker.worker_id, set()).update(occupant.accelerators)
    return jobs


def indices_in(mask):
    return {i for i in range(mask.bit_length()) if mask >> i & 1}


def check_bindings(policy, workers):
    """Check from the definition that all bound blocks can be freed together."""
    by_id = {worker.worker_id: worker for worker in workers}
    taken = {}
    for key, block in policy.bindings.blocks.items():
        shape = CATALOGUE["accounts"][key.account]["guarantees"][key.index]
        assert sum(mask.bit_count() for mask in block.values()) == shape["accelerators"]
        domains = set()
        for worker_id, mask in block.items():
            worker = by_id[worker_id]
            held = indices_in(mask)
            assert held <= set(range(worker.accelerators))
            assert max(held) - min(held) + 1 == len(held)
            assert len(held) % shape.get("per_worker", 1) == 0
            assert shape.get("speed_class", worker.speed_class) == worker.speed_class
            assert not held & taken.setdefault(worker_id, set())
            taken[worker_id] |= held
            location = (worker.data_centre, worker.rack, worker_id)
            domains.add(
                location[: ("data_centre", "rack", "worker").index(shape["within"]) + 1]
            )
        assert len(domains) == 1
    for account, accelerators_by_worker in guaranteed_jobs(workers).values():
        occupied_keys = []
        for key, block in policy.bindings.blocks.items():
            shared = [
                held & indices_in(block.get(w, 0))
                for w, held in accelerators_by_worker.items()
            ]
            if not any(shared):
                continue
            assert key.account == account, (
                "a guaranteed job runs in the block of another account"
            )
            occupied_keys.append(key)
            assert all(
                held <= indices_in(block.get(w, 0))
                for w, held in accelerators_by_worker.items()
            )
        assert len(occupied_keys) <= 1


SPECS = st.fixed_dictionaries(
    {
        "tasks": st.sampled_from([1, 1, 2, 3]),
        "accelerators": st.sampled_from([0, 1, 2, 4, 8]),
        "within": st.sampled_from(["worker", "rack", "data_centre"]),
        "run_seconds": st.sampled_from([10.0, 600.0]),
        "payload": st.just(""),
        "checkpointable": st.booleans(),
    }
)


class GuaranteeMachine(RuleBasedStateMachine):
    late_binding = True

    def __init__(self):
        super().__init__()
        self.fleet = FakeFleet(RACKS)
        self.policy = self.new_policy()
        self.now = 1000.0
        self.queue = {}
        self.starting = []
        self.job_count = 0
        self.shortfalls = ()

    def new_policy(self):
        return SharingPolicy(0.5, late_binding=self.late_binding)

    @rule(account=st.sampled_from("abcd"), spec=SPECS)
    def submit(self, account, spec):
        self.job_count += 1
        job_class = CATALOGUE["accounts"][account]["job_class"]
        job = new_job(f"j{self.job_count}", account, spec, job_class, self.now)
        self.queue[job.job_id] = job

    @rule(executed=st.booleans(), placements_lost=st.booleans())
    def decide(self, executed, placements_lost):
        self.now += 5.0
        starting_ids = {p.job_id for p in self.starting}
        queued = [j for j in self.queue.values() if j.job_id not in starting_ids]
        decision = self.policy.decide(self.view(tuple(queued)))
        self.shortfalls = decision.shortfalls
        for job in decision.unplaceable:
            del self.queue[job.job_id]
        self.starting.extend(decision.placements)
        check_bindings(self.policy, self.fleet.in_service())
        if placements_lost:
            self.starting.clear()
        if executed:
            self.execute()

    def view(self, queued):
        return PlacementView(
            workers=self.fleet.in_service(),
            queued=queued,
            running=tuple(self.fleet.running.values()),
            catalogue=CATALOGUE,
            now=self.now,
            starting=tuple(self.starting),
            unavailable=self.fleet.out_of_service(),
        )

    @rule()
    def execute(self):
        for placement in self.starting:
            for eviction in placement.evictions:
                if eviction.job_id in self.fleet.running:
                    running = self.fleet.running[eviction.job_id]
                    assert not self.is_guaranteed(eviction.job_id)
                    assert running.attempt == eviction.attempt
                    self.requeue(eviction.job_id)
            job = self.queue[placement.job_id]
            if self.fleet.start(placement, job, self.now):
                del self.queue[placement.job_id]
        self.starting.clear()

    @rule(data=st.data())
    def finish(self, data):
        if self.fleet.running:
            self.fleet.end(data.draw(st.sampled_from(sorted(self.fleet.running))))

    @rule(worker=st.sampled_from(["w000", "w002", "w004", "north", "south"]))
    def take_out(self, worker):
        self.fleet.unavailable.add(worker)
        unavailable = {w.worker_id for w in self.fleet.out_of_service()}
        for job_id, job in list(self.fleet.running.items()):
            if unavailable & set(job.workers):
                self.requeue(job_id)
        self.starting.clear()

    @rule()
    def restore(self):
        self.fleet.unavailable.clear()
        self.starting.clear()

    @rule()
    def replace_policy(self):
        self.policy = self.new_policy()
        self.starting.clear()

    def requeue(self, job_id):
        job = self.fleet.end(job_id)
        self.queue[job_id] = job._replace(state="queued", workers=())

    def is_guaranteed(self, job_id):
        return job_id in guaranteed_jobs(self.fleet.workers.values())

    @invariant()
    def every_guarantee_is_reclaimable(self):
        """Check the bindings after a round with an empty queue."""
        self.policy.decide(self.view(()))
        check_bindings(self.policy, self.fleet.in_service())
        if not self.fleet.unavailable and not guaranteed_jobs(
            self.fleet.workers.values()
        ):
            assert self.policy.bindings.shortfalls == ()


class FixedBindingMachine(GuaranteeMachine):
    late_binding = False


TestLateBinding = GuaranteeMachine.TestCase
TestLateBinding.settings = settings(max_examples=25, stateful_step_count=40)
TestFixedBinding = FixedBindingMachine.TestCase
TestFixedBinding.settings = settings(max_examples=20, stateful_step_count=40)
