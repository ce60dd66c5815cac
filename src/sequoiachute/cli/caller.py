"""Callers' commands: requests and jobs."""

import time
from pathlib import Path
from typing import Annotated, Any
from uuid import uuid4

import msgspec
import typer

from sequoiachute.cli.options import (
    DEFAULT_ENTRY,
    EntryOption,
    JsonOption,
    KeyOption,
    connect,
    environment_of,
)
from sequoiachute.environment import Environment
from sequoiachute.status import ExitStatus

POLL_SECONDS = 0.5
ENDED = ("finished", "failed", "cancelled")


def submit(
    context: typer.Context,
    key: KeyOption,
    payload: Annotated[str, typer.Argument(help="What the tasks are to run.")],
    tasks: Annotated[int, typer.Option(min=1, help="Tasks of the gang.")] = 1,
    accelerators: Annotated[int, typer.Option(min=0, help="For each task.")] = 1,
    within: Annotated[str, typer.Option(help="worker, rack or data_centre.")] = "rack",
    run_seconds: Annotated[float, typer.Option(help="Estimated run time.")] = 60.0,
    idempotency_key: Annotated[str, typer.Option(help="Same key, same job.")] = "",
    wait: Annotated[bool, typer.Option(help="Wait for the end.")] = False,
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Submit a job; once this returns, the job is kept."""
    environment = environment_of(context)
    client = connect(entry, key)
    spec = {
        "tasks": tasks,
        "accelerators": accelerators,
        "within": within,
        "run_seconds": run_seconds,
        "payload": payload,
    }
    headers = {
        "Content-Type": "application/json",
        "Idempotency-Key": idempotency_key or uuid4().hex,
    }
    job = client.call("POST", "/v1/jobs", msgspec.json.encode(spec), headers).json()
    while wait and job["state"] not in ENDED:
        if environment.is_terminal:
            environment.stderr.write(f"\r{job['job_id']} {job['state']}   ")
        time.sleep(POLL_SECONDS)
        job = client.call("GET", f"/v1/jobs/{job['job_id']}").json()
    if wait and environment.is_terminal:
        environment.stderr.write("\n")
    _print_job(environment, job, as_json)
    return ExitStatus.ERROR if job["state"] == "failed" else ExitStatus.OK


def status(
    context: typer.Context,
    key: KeyOption,
    job_id: Annotated[str, typer.Argument(help="All jobs if left out.")] = "",
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Tell how a job stands, or all jobs of the account."""
    environment = environment_of(context)
    client = connect(entry, key)
    if job_id:
        _print_job(
            environment, client.call("GET", f"/v1/jobs/{job_id}").json(), as_json
        )
        return ExitStatus.OK
    for job in client.call("GET", "/v1/jobs").json()["jobs"]:
        _print_job(environment, job, as_json)
    return ExitStatus.OK


def cancel(
    context: typer.Context,
    key: KeyOption,
    job_id: str,
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Cancel a job."""
    job = connect(entry, key).call("DELETE", f"/v1/jobs/{job_id}").json()
    _print_job(environment_of(context), job, as_json)
    return ExitStatus.OK


def result(
    context: typer.Context,
    key: KeyOption,
    job_id: str,
    entry: EntryOption = DEFAULT_ENTRY,
) -> ExitStatus:
    """Print the result of a finished job."""
    environment = environment_of(context)
    job = connect(entry, key).call("GET", f"/v1/jobs/{job_id}").json()
    if job["state"] != "finished":
        environment.stderr.write(f"{job_id} is {job['state']}: {job['reason']}\n")
        return ExitStatus.REFUSED
    environment.stdout.write(f"{job['result']}\n")
    return ExitStatus.OK


def request(
    context: typer.Context,
    key: KeyOption,
    body: Annotated[str, typer.Argument(help="The body, or @FILE.")],
    idempotent: Annotated[bool, typer.Option(help="May run more than once.")] = False,
    idempotency_key: Annotated[str, typer.Option(help="Same key, same answer.")] = "",
    deadline_seconds: Annotated[float, typer.Option(help="Time to answer in.")] = 30.0,
    entry: EntryOption = DEFAULT_ENTRY,
) -> ExitStatus:
    """Send a request and print its answer."""
    data = Path(body[1:]).read_bytes() if body.startswith("@") else body.encode()
    headers = {
        "Content-Type": "application/octet-stream",
        "X-Idempotent": "true" if idempotent else "false",
        "X-Deadline-Seconds": str(deadline_seconds),
        "Idempotency-Key": idempotency_key or uuid4().hex,
    }
    reply = connect(entry, key).call(
        "POST", "/v1/requests", data, headers, deadline_seconds + 5
    )
    environment_of(context).stdout.write(reply.body.decode(errors="replace") + "\n")
    return ExitStatus.OK if reply.status < 400 else ExitStatus.ERROR


def _print_job(environment: Environment, job: dict[str, Any], as_json: bool) -> None:
    if as_json:
        environment.stdout.write(msgspec.json.encode(job).decode() + "\n")
        return
    line = f"{job['job_id']}  {job['state']:<9}  {','.join(job['workers'])}"
    environment.stdout.write(f"{line}  {job['reason']}".rstrip() + "\n")
