"""Callers' commands: submit and follow jobs, send requests."""

from base64 import b64encode
from pathlib import Path
from typing import Annotated

import typer

from sequoiachute import clock
from sequoiachute.cli.client import (
    BackendRequest,
    CallRefusedError,
    EntryClient,
    EntryReply,
    EntryUnreachableError,
)
from sequoiachute.cli.keys import create_timestamped_key
from sequoiachute.cli.options import (
    DEFAULT_ENTRY,
    EntryOption,
    JsonOption,
    KeyOption,
    connect,
    environment_of,
)
from sequoiachute.cli.output import (
    ProgressLine,
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
MAX_OUTAGE_SECONDS = 60.0  # how long --wait polls while no entry answers
FINISHED = "finished"
ENDED_STATES = (FINISHED, "failed", "cancelled")

IdempotencyKeyOption = Annotated[
    str,
    typer.Option(help="Retries with the same key run once; generated if absent."),
]
JobArgument = Annotated[str, typer.Argument(help="Job id.")]


def submit(
    context: typer.Context,
    key: KeyOption,
    payload: Annotated[str, typer.Argument(help="Payload of the tasks, or @FILE.")],
    tasks: Annotated[int, typer.Option(min=1, help="Number of tasks in the gang.")] = 1,
    accelerators: Annotated[
        int, typer.Option(min=0, help="Accelerators per task.")
    ] = 1,
    within: Annotated[
        Within, typer.Option(help="Domain that must contain the gang.")
    ] = "rack",
    run_seconds: Annotated[
        float, typer.Option(help="Estimated run time in seconds.")
    ] = 60.0,
    speed_class: Annotated[
        str, typer.Option(help="Required accelerator speed class.")
    ] = "",
    checkpointable: Annotated[
        bool, typer.Option(help="Can resume from a checkpoint elsewhere.")
    ] = False,
    idempotency_key: IdempotencyKeyOption = "",
    wait: Annotated[bool, typer.Option(help="Wait until the job ends.")] = False,
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Submit a job; once this returns, the job is in the log."""
    environment = environment_of(context)
    client = connect(entry, key)
    spec: JobSpec = {
        "tasks": tasks,
        "accelerators": accelerators,
        "within": within,
        "run_seconds": run_seconds,
        "payload": _read_input(environment, payload).decode(),
        "checkpointable": checkpointable,
    }
    if speed_class:
        spec["speed_class"] = speed_class
    job = client.submit(spec, _ensure_idempotency_key(environment, idempotency_key))
    if wait:
        job = wait_for_end(environment, client, job)
    write_job(environment, job, as_json)
    return _exit_status_of(job) if wait else ExitStatus.OK


def status(
    context: typer.Context,
    key: KeyOption,
    job_id: Annotated[str, typer.Argument(help="Job id; all jobs if omitted.")] = "",
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Show the state of a job, or of all jobs of the account."""
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
    wait: Annotated[bool, typer.Option(help="Wait until the job ends.")] = False,
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Print the result of a finished job."""
    environment = environment_of(context)
    client = connect(entry, key)
    job = client.job(job_id)
    if wait:
        job = wait_for_end(environment, client, job)
    if job["state"] not in ENDED_STATES:
        write_note(environment, f"{job_id} is {job['state']}; retry with --wait")
        return ExitStatus.REFUSED
    if as_json:
        write_json(environment, job)
    elif job["state"] == FINISHED:
        write_line(environment, job["result"])
    else:
        write_note(environment, f"{job_id} is {job['state']}: {job['reason']}")
    return _exit_status_of(job)


def request(
    context: typer.Context,
    key: KeyOption,
    body: Annotated[
        str, typer.Argument(help="The body, @FILE, or - for standard input.")
    ],
    idempotent: Annotated[
        bool, typer.Option(help="The request may run more than once.")
    ] = False,
    idempotency_key: IdempotencyKeyOption = "",
    content_type: Annotated[
        str, typer.Option(help="Media type of the body.")
    ] = "application/octet-stream",
    deadline_seconds: Annotated[
        float, typer.Option(min=0.001, max=600, help="Seconds allowed for the answer.")
    ] = 30.0,
    entry: EntryOption = DEFAULT_ENTRY,
    as_json: JsonOption = False,
) -> ExitStatus:
    """Send a request and print the answer."""
    environment = environment_of(context)
    data = _read_input(environment, body)
    if not idempotent:
        idempotency_key = _ensure_idempotency_key(environment, idempotency_key)
    reply = connect(entry, key).request(
        BackendRequest(
            data, content_type, idempotent, idempotency_key, deadline_seconds
        )
    )
    if as_json:
        write_json(environment, _describe_reply(reply))
    else:
        _write_body(environment, reply.body)
    return ExitStatus.OK if reply.status < 400 else ExitStatus.ERROR


def wait_for_end(
    environment: Environment, client: EntryClient, job: JobView
) -> JobView:
    """Poll until the job has ended and return it.

    Tolerates outages of the entry of up to ``MAX_OUTAGE_SECONDS``.
    """
    progress = ProgressLine(environment)
    last_reply_at = clock.now()
    try:
        while job["state"] not in ENDED_STATES:
            progress.show(f"{job['job_id']}  {job['state']}  attempt {job['attempt']}")
            clock.sleep(POLL_SECONDS)
            try:
                job = client.job(job["job_id"])
            except (EntryUnreachableError, CallRefusedError) as error:
                _raise_unless_transient(error, last_reply_at)
                continue
            last_reply_at = clock.now()
    finally:
        progress.end()
    return job


def _raise_unless_transient(error: Exception, last_reply_at: float) -> None:
    is_refusal = isinstance(error, CallRefusedError)
    if is_refusal and error.exit_status != ExitStatus.UNAVAILABLE:
        raise error
    if clock.now() - last_reply_at > MAX_OUTAGE_SECONDS:
        raise error


def _exit_status_of(job: JobView) -> ExitStatus:
    return ExitStatus.OK if job["state"] == FINISHED else ExitStatus.JOB_FAILED


def _ensure_idempotency_key(environment: Environment, key: str) -> str:
    """Return ``key``, or a new key that is printed to standard error first."""
    if key:
        return key
    new_key = create_timestamped_key()
    write_note(environment, f"idempotency key: {new_key}")
    return new_key


def _read_input(environment: Environment, text: str) -> bytes:
    if text == "-":
        stream = getattr(environment.stdin, "buffer", None)
        return stream.read() if stream else environment.stdin.read().encode()
    if text.startswith("@"):
        return Path(text[1:]).read_bytes()
    return text.encode()


def _describe_reply(reply: EntryReply) -> dict[str, str | int]:
    fields: dict[str, str | int] = {
        "status": reply.status,
        "request_id": reply.headers.get("X-Request-Id", ""),
        "attempt_id": reply.headers.get("X-Attempt-Id", ""),
        "content_type": reply.headers.get("Content-Type", ""),
    }
    try:
        fields["body"] = reply.body.decode()
    except UnicodeDecodeError:
        fields["body_base64"] = b64encode(reply.body).decode()
    return fields


def _write_body(environment: Environment, body: bytes) -> None:
    """Write the body unchanged, with a final newline on a terminal."""
    stream = getattr(environment.stdout, "buffer", None)
    if stream is None:
        environment.stdout.write(body.decode(errors="replace"))
        return
    environment.stdout.flush()
    stream.write(body)
    stream.flush()
    if environment.stdout.isatty() and not body.endswith(b"\n"):
        environment.stdout.write("\n")
