"""Reads the events of workers into the records that the checkers take."""

from typing import Any, NamedTuple

from soak.histories import RequestRun, TaskCrash, TaskRun, TaskStart


class WorkerHistory(NamedTuple):
    """What all processes of a worker executed."""

    requests: list[RequestRun]
    starts: list[TaskStart]
    runs: list[TaskRun]
    crashes: list[TaskCrash]


def read_events(worker: int, events: list[dict[str, Any]]) -> WorkerHistory:
    """Return the history of a worker from its events in order.

    A run ends when it has finished, its lease ends, it is stopped or its worker
    goes down, whichever comes first.
    """
    history = WorkerHistory([], [], [], [])
    open_runs: dict[str, TaskRun] = {}
    finishes_at: dict[str, float] = {}
    for event in events:
        what = event["what"]
        if what == "request":
            body = event["body"].encode()
            history.requests.append(
                RequestRun(event["request_id"], event["attempt_id"], body)
            )
            continue
        task_id = event["task_id"]
        if what == "task":
            run = _begin_run(worker, event)
            open_runs[task_id] = run
            finishes_at[task_id] = event["finishes_at"]
            history.starts.append(TaskStart(*run[1:4], run.began))
        elif what == "renew":
            ended = min(finishes_at[task_id], event["lease_until"])
            open_runs[task_id] = open_runs[task_id]._replace(ended=ended)
        elif what == "stop":
            history.runs.append(_end_run(open_runs.pop(task_id), event["at"]))
        elif what == "down":
            if task_id:
                run = open_runs[task_id]
                crash = TaskCrash(run.job_id, run.member, event["at"])
                history.crashes.append(crash)
            for run in open_runs.values():
                history.runs.append(_end_run(run, event["at"]))
            open_runs = {}
    history.runs.extend(open_runs.values())
    return history


def _begin_run(worker: int, event: dict[str, Any]) -> TaskRun:
    job_id, attempt, member = event["task_id"].rsplit(".", 2)
    return TaskRun(
        worker,
        job_id,
        int(attempt),
        int(member),
        tuple(event["accelerators"]),
        event["at"],
        min(event["finishes_at"], event["lease_until"]),
    )


def _end_run(run: TaskRun, at: float) -> TaskRun:
    return run._replace(ended=max(run.began, min(run.ended, at)))
