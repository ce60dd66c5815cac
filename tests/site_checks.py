"""Invariants that must hold on a ``Site`` at any time."""

from eventlet import hubs

from sequoiachute import clock


class SiteChecker:
    """Asserts a site's invariants on its workers' tasks and its processes' state.

    Parameters
    ----------
    site : Site
    max_partial_gang_seconds : float
        Longest time for which only some members of a gang may run.
    switch_effect_seconds : float
        Longest time for which tasks may still start in a data centre that has
        been taken out of service.
    """

    def __init__(self, site, max_partial_gang_seconds, switch_effect_seconds):
        self.site = site
        self.out_of_service_since = {}
        self.gang_sizes = {}  # members of each job's gang
        self._max_partial_gang_seconds = max_partial_gang_seconds
        self._switch_effect_seconds = switch_effect_seconds
        self._partial_since = {}
        self._checked_starts = {}
        self._offsets = {}

    def note_switch(self, data_centre, in_service):
        if in_service:
            self.out_of_service_since.pop(data_centre, None)
        else:
            self.out_of_service_since.setdefault(data_centre, clock.now())

    def has_ended(self, job_id):
        job = self.site.entries[0].jobs.get(job_id)
        return job is None or job.has_ended

    def check(self):
        assert not hubs.get_hub().errors
        self._check_accelerators()
        self._check_attempts()
        self._check_gangs()
        self._check_starts()
        self._check_offsets()

    def _running(self):
        """Yield the worker index, job, attempt and member of every running task."""
        for index, backend in enumerate(self.site.backends):
            for task_id in backend.running():
                job_id, attempt, member = task_id.rsplit(".", 2)
                yield index, job_id, int(attempt), int(member)

    def _check_accelerators(self):
        for backend in self.site.backends:
            held = []
            for task_id in backend.running():
                held += backend.accelerators_of(task_id)
            assert len(held) == len(set(held)), backend.running()
        for agent in self.site.agents:
            held = []
            for grant in agent.grants.grants():
                held += grant.accelerators
            assert len(held) == len(set(held))

    def _check_attempts(self):
        attempts = {}
        for _, job_id, attempt, _ in self._running():
            attempts.setdefault(job_id, set()).add(attempt)
        for job_id, running in attempts.items():
            assert len(running) == 1, (job_id, running)

    def _check_gangs(self):
        running = {}
        for _, job_id, attempt, member in self._running():
            running.setdefault((job_id, attempt), set()).add(member)
        now = clock.now()
        for attempt in list(self._partial_since):
            if attempt not in running:
                del self._partial_since[attempt]
        for attempt, members in running.items():
            if len(members | self._finished(attempt)) == self.gang_sizes[attempt[0]]:
                self._partial_since.pop(attempt, None)
                continue
            since = self._partial_since.setdefault(attempt, now)
            assert now - since <= self._max_partial_gang_seconds, (attempt, members)

    def _finished(self, attempt):
        finished = set()
        for backend in self.site.backends:
            for task_id, _, _ in backend.starts:
                job_id, number, member = task_id.rsplit(".", 2)
                if (job_id, int(number)) != attempt:
                    continue
                if backend.task_state(task_id) == "finished":
                    finished.add(int(member))
        return finished

    def _check_starts(self):
        for index, backend in enumerate(self.site.backends):
            checked = self._checked_starts.get(index, 0)
            self._checked_starts[index] = len(backend.starts)
            data_centre = self.site.data_centre_of(index)
            out_of_service_since = self.out_of_service_since.get(data_centre)
            if out_of_service_since is None:
                continue
            for task_id, _, started_at in backend.starts[checked:]:
                delay = started_at - out_of_service_since
                assert delay <= self._switch_effect_seconds, (task_id, delay)

    def _check_offsets(self):
        for process in [*self.site.entries, *self.site.agents]:
            offset = process.configuration.offset
            assert offset >= self._offsets.get(process, offset)
            self._offsets[process] = offset
