"""The jobs stream as one entry follows, writes and snapshots it."""

import eventlet

from sequoiachute import clock
from sequoiachute.coordination.log import new_record_id
from sequoiachute.coordination.streams import StateStreams
from sequoiachute.protocol.records import JOBS_STREAM
from sequoiachute.state.jobs import JobTable

ENDED_JOB_HOLD_SECONDS = 60.0


class LogNode:
    """The jobs table of one process; ``stop`` and ``run`` pause and resume it."""

    def __init__(self, log, retention_seconds):
        self.jobs = JobTable(ENDED_JOB_HOLD_SECONDS)
        self.streams = StateStreams(log, retention_seconds)
        self.streams.add(JOBS_STREAM, self._apply, self.jobs.snapshot, self._restore)
        self.follower = self.streams.follower(JOBS_STREAM)
        self.writer = self.streams.writer(JOBS_STREAM)
        self.snapshot_writer = self.streams._snapshot_writers[0]
        self.restore_count = 0
        self.tasks = []
        self.run()

    def run(self):
        for part in (self.follower, self.writer, self.snapshot_writer):
            self.tasks.append(eventlet.spawn(part.run))

    def stop(self):
        for task in self.tasks:
            task.kill()
        self.tasks = []

    def accept(self, job_id, key=None):
        return self.writer.append(accepted_record(job_id, key or job_id))

    def end(self, job_id):
        return self.writer.append(ended_record(job_id))

    def _apply(self, position, record):
        self.jobs.apply(record, position.appended_at)

    def _restore(self, items):
        self.restore_count += 1
        self.jobs.restore(items)


def accepted_record(job_id, key):
    return {
        "kind": "job-accepted",
        "record_id": new_record_id(),
        "job_id": job_id,
        "account": "brocach",
        "job_class": "batch",
        "idempotency_key": key,
        "body_digest": "",
        "submitted_at": clock.wall_time(),
        "spec": {
            "tasks": 1,
            "accelerators": 1,
            "within": "rack",
            "run_seconds": 1.0,
            "payload": "",
        },
    }


def ended_record(job_id):
    return {
        "kind": "job-ended",
        "record_id": new_record_id(),
        "job_id": job_id,
        "outcome": "finished",
        "reason": "",
        "result": "done",
        "ended_at": clock.wall_time(),
    }
