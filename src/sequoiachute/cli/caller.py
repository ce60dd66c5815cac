"""Callers' commands: requests and jobs."""

from base64 import b64encode
from pathlib import Path
from typing import Annotated

import typer

from sequoiachute import clock
from sequoiachute.cli.client import (
    CallRefusedError,
    EntryClient,
    EntryUnreachableError,
    Reply,
    Request,
)
from sequoiachute.cli.keys import create_timed_key
from sequoiachute.cli.options import (
    DEFAULT_ENTRY,
    EntryOption,
    JsonOption,
    KeyOption,
    connect,
    environment_of,
)
from sequoiachute.cli.output import (
    Progress,
    write_job,
    write_json,
    write_line,
    write_note,
)
from sequoiachute.environment import Environment
from sequoiachute.protocol.api import JobView
from sequoiachute.protocol.catalogue import Within
from sequoiachute.protocol.records import JobSpec
from sequoiachute.status import ExitStatus

POLL_SECONDS = 0.5
OUTAGE_SECONDS = 60.0  # how long --wait asks on while no entry answers
FINISHED = "finished"
ENDED = (FINISHED, "failed", "cancelled")

IdempotencyKeyOption = Annotated[
    str,
    typer.Option(help="Same key, same work; a new one is made and printed if absent."),
]
JobArgument = Annotated[str, typer.Argument(help="Identity of the job.")]


def submit(
    context: typer.Context,
    key: KeyOption,
    payload: Annotated[str, typer.Argument(help="What the tasks run, or @FILE.")],
    tasks: Annotated[int, typer.Option(min=1, help="Tasks of the gang.")] = 1,
    accelerators: Annotated[int, typer.Option(min=0, help="For each task.")] = 1,
    within: Annotated[Within, typer.Option(help="What the gang lies in.")] = "rack",
    run_seconds: Annotated[float, typer.Option(help="Estimated run time.")] = 60.0,
    speed_class: Annotated[str, typer.Option(help="Only on this class.")] = "",
    checkpointable: Annotated[
        bool, typer.Option(help="Can be checkpointed and go on elsewhere.")
    ] = False,
    idempotency_key: IdempotencyKeyOption = "",
    wait: Annotated[bool, typer.Option(help="Wait for the end.")] = False,
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Submit a job; once this returns, the job is kept."""
    environment = environment_of(context)
    client = connect(entry, key)
    spec: JobSpec = {
        "tasks": tasks,
        "accelerators": accelerators,
        "within": within,
        "run_seconds": run_seconds,
        "payload": _read_argument(environment, payload).decode(),
        "checkpointable": checkpointable,
    }
    if speed_class:
        spec["speed_class"] = speed_class
    job = client.submit(spec, _settle_key(environment, idempotency_key))
    if wait:
        job = wait_for_end(environment, client, job)
    write_job(environment, job, as_json)
    return _status_of(job) if wait else ExitStatus.OK


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
        write_job(environment, client.job(job_id), as_json)
        return ExitStatus.OK
    jobs = client.jobs()
    if as_json:
        write_json(environment, jobs)
        return ExitStatus.OK
    for job in jobs:
        write_job(environment, job, as_json)
    return ExitStatus.OK


def cancel(
    context: typer.Context,
    key: KeyOption,
    job_id: JobArgument,
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Cancel a job."""
    job = connect(entry, key).cancel(job_id)
    write_job(environment_of(context), job, as_json)
    return ExitStatus.OK


def result(
    context: typer.Context,
    key: KeyOption,
    job_id: JobArgument,
    wait: Annotated[bool, typer.Option(help="Wait for the end.")] = False,
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Print the result of a finished job."""
    environment = environment_of(context)
    client = connect(entry, key)
    job = client.job(job_id)
    if wait:
        job = wait_for_end(environment, client, job)
    if job["state"] not in ENDED:
        write_note(environment, f"{job_id} is {job['state']}; ask again with --wait")
        return ExitStatus.REFUSED
    if as_json:
        write_json(environment, job)
    elif job["state"] == FINISHED:
        write_line(environment, job["result"])
    else:
        write_note(environment, f"{job_id} is {job['state']}: {job['reason']}")
    return _status_of(job)


def request(
    context: typer.Context,
    key: KeyOption,
    body: Annotated[str, typer.Argument(help="The body, @FILE, or - for input.")],
    idempotent: Annotated[bool, typer.Option(help="May run more than once.")] = False,
    idempotency_key: IdempotencyKeyOption = "",
    content_type: Annotated[
        str, typer.Option(help="Media type of the body.")
    ] = "application/octet-stream",
    deadline_seconds: Annotated[
        float, typer.Option(min=0.001, max=600, help="Time to answer in.")
    ] = 30.0,
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Send a request and print its answer."""
    environment = environment_of(context)
    data = _read_argument(environment, body)
    if not idempotent:
        idempotency_key = _settle_key(environment, idempotency_key)
    reply = connect(entry, key).request(
        Request(data, content_type, idempotent, idempotency_key, deadline_seconds)
    )
    if as_json:
        write_json(environment, _describe(reply))
    else:
        _write_body(environment, reply.body)
    return ExitStatus.OK if reply.status < 400 else ExitStatus.ERROR


def wait_for_end(
    environment: Environment, client: EntryClient, job: JobView
) -> JobView:
    """Return the job once it has ended; an entry may be away for a while."""
    progress = Progress(environment)
    heard_at = clock.now()
    try:
        while job["state"] not in ENDED:
            progress.show(f"{job['job_id']}  {job['state']}  attempt {job['attempt']}")
            clock.sleep(POLL_SECONDS)
            try:
                job = client.job(job["job_id"])
            except (EntryUnreachableError, CallRefusedError) as error:
                _go_on_or_raise(error, heard_at)
                continue
            heard_at = clock.now()
    finally:
        progress.end()
    return job


def _go_on_or_raise(error: Exception, heard_at: float) -> None:
    refused = isinstance(error, CallRefusedError)
    if refused and error.exit_status != ExitStatus.UNAVAILABLE:
        raise error
    if clock.now() - heard_at > OUTAGE_SECONDS:
        raise error


def _status_of(job: JobView) -> ExitStatus:
    return ExitStatus.OK if job["state"] == FINISHED else ExitStatus.JOB_FAILED


def _settle_key(environment: Environment, key: str) -> str:
    """Return ``key``, or a new one after telling it to the caller."""
    if key:
        return key
    made = create_timed_key()
    write_note(environment, f"idempotency key: {made}")
    return made


def _read_argument(environment: Environment, text: str) -> bytes:
    if text == "-":
        stream = getattr(environment.stdin, "buffer", None)
        return stream.read() if stream else environment.stdin.read().encode()
    if text.startswith("@"):
        return Path(text[1:]).read_bytes()
    return text.encode()


def _describe(reply: Reply) -> dict[str, str | int]:
    described: dict[str, str | int] = {
        "status": reply.status,
        "request_id": reply.headers.get("X-Request-Id", ""),
        "attempt_id": reply.headers.get("X-Attempt-Id", ""),
        "content_type": reply.headers.get("Content-Type", ""),
    }
    try:
        described["body"] = reply.body.decode()
    except UnicodeDecodeError:
        described["body_base64"] = b64encode(reply.body).decode()
    return described


def _write_body(environment: Environment, body: bytes) -> None:
    """Write an answer byte for byte, with a line end on a terminal."""
    stream = getattr(environment.stdout, "buffer", None)
    if stream is None:
        environment.stdout.write(body.decode(errors="replace"))
        return
    environment.stdout.flush()
    stream.write(body)
    stream.flush()
    if environment.stdout.isatty() and not body.endswith(b"\n"):
        environment.stdout.write("\n")
