"""Successive decisions on a site where nothing changes but what they ordered."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiachute.coordination.scheduling import ActiveRun, SchedulingView, decide
from tests.test_scheduling_policy import NOW, host, unit

MAX_ROUNDS = 60
STOP_ROUNDS = 2  # a round lasts some 0.1 s, a stop up to 0.4 s


class Site:
    """Hosts and waiting units; stops take some rounds, else time stands still."""

    def __init__(self, speeds, units):
        self.speeds = speeds
        self.waiting = {unit.tasks[0].job_id: unit for unit in units}
        self.units = dict(self.waiting)
        self.runs = {}
        self.stopping = {}
        self.stops = []
        self.placed_in = {}
        self.preemptions = {}

    def view(self):
        hosts = []
        for number, speed in enumerate(self.speeds):
            runs = [
                run._replace(stopping=run.task in self.stopping)
                for at, run in self.runs.values()
                if at == f"h-{number}"
            ]
            hosts.append(host(f"h-{number}", speed, f"r-{number // 3}", runs))
        units = tuple(unit for unit in self.waiting.values() if unit.tasks)
        return SchedulingView(NOW, tuple(hosts), units)

    def apply(self, number):
        """Carry out one decision; return whether anything is going on."""
        self._finish_stops(number)
        decision = decide(self.view())
        for stop in decision.stops:
            if stop.task in self.stopping:
                continue
            run = self.runs[stop.task][1]
            for task in self._members(run):
                self.stopping[task] = number + STOP_ROUNDS
                self.preemptions[task] = self.preemptions.get(task, 0) + 1
                self.stops.append((number, task))
        for placement in decision.placements:
            self._run(placement)
            self.placed_in[placement.task] = number
        return bool(decision.stops or decision.placements or self.stopping)

    def _finish_stops(self, number):
        for task in [task for task, at in self.stopping.items() if at <= number]:
            del self.stopping[task]
            del self.runs[task]
            self._wait(task)

    def _members(self, run):
        if not run.gang:
            return [run.task]
        return [task for task in self.runs if task[:3] == run.task[:3]]

    def _wait(self, task):
        waiting = self.waiting[task.job_id]
        self.waiting[task.job_id] = waiting._replace(tasks=(*waiting.tasks, task))

    def _run(self, placement):
        task = placement.task
        waiting = self.waiting[task.job_id]
        tasks = tuple(other for other in waiting.tasks if other != task)
        self.waiting[task.job_id] = waiting._replace(tasks=tasks)
        seconds = placement.expected_seconds
        self.runs[task] = (
            placement.host,
            ActiveRun(
                task=task,
                run=1,
                need=waiting.step.reserved,
                priority=waiting.priority,
                account=waiting.account,
                gang=waiting.step.gang,
                remaining_seconds=seconds,
                unsaved_seconds=0.0,
                stopping=False,
                guaranteed=waiting.guaranteed,
                preemptions=self.preemptions.get(task, 0),
                step=waiting.step,
                service=waiting.service,
                deadline=waiting.deadline,
                accepted_at=waiting.accepted_at,
                stretch=1.5,
            ),
        )


@st.composite
def waiting_units(draw):
    units = []
    for number in range(draw(st.integers(1, 9))):
        priority = draw(st.integers(0, 2))
        count = draw(st.integers(1, 12))
        seconds = draw(st.sampled_from([2.0, 5.0, 20.0]))
        gang = draw(st.booleans())
        step = {
            "estimate_seconds": seconds,
            "gang": gang,
            "same_rack": gang and draw(st.booleans()),
            "checkpoints": draw(st.booleans()),
        }
        units.append(
            unit(
                count,
                draw(st.sampled_from([1, 2, 4, 8])),
                f"j-{number}",
                priority,
                deadline_in=draw(st.sampled_from([1.0, 1.5, 3.0])) * seconds,
                chain_seconds=seconds,
                step=step,
                guaranteed=priority == 0 and draw(st.booleans()),
            )
        )
    return units


@settings(max_examples=300, deadline=None)
@given(
    speeds=st.lists(st.sampled_from([0.6, 1.0, 1.6]), min_size=1, max_size=7),
    units=waiting_units(),
    earlier=waiting_units(),
)
def test_placements_survive_until_something_changes(speeds, units, earlier):
    lesser = []
    for other in earlier:
        tasks = tuple(task._replace(job_id=f"e-{task.job_id}") for task in other.tasks)
        lesser.append(other._replace(priority=2, guaranteed=False, tasks=tasks))
    site = Site(speeds, lesser)
    site.apply(0)
    site.waiting |= {unit.tasks[0].job_id: unit for unit in units}
    for number in range(1, MAX_ROUNDS):
        if not site.apply(number):
            break
    else:
        raise AssertionError(f"still deciding after {MAX_ROUNDS} rounds: {site.stops}")
    for number, task in site.stops:
        assert site.placed_in[task] == 0 or number <= site.placed_in[task], task
    assert max(site.preemptions.values(), default=0) <= 1
