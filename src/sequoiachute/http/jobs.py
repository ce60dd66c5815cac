"""``/v1/jobs``: submission, status and cancellation of jobs."""

import re
from hashlib import sha256
from uuid import uuid4

import falcon

from sequoiachute import clock
from sequoiachute.coordination.entry import Entry
from sequoiachute.coordination.log import new_record_id
from sequoiachute.http.inputs import read_json, require_idempotency_key
from sequoiachute.http.keys import Keyring
from sequoiachute.protocol.api import JobView
from sequoiachute.protocol.records import JOBS_STREAM, JobSpec
from sequoiachute.state.jobs import Job
from sequoiachute.transport.web import ProblemError, problem, write_json

MAX_BODY_BYTES = 256 * 1024
MAX_PAYLOAD_BYTES = 128 * 1024

# Inclusive minimum and maximum of each numeric field of a job.
SPEC_BOUNDS = {
    "tasks": (1, 256),
    "accelerators": (0, 64),
    "run_seconds": (0.01, 30 * 24 * 3600.0),
}

_SPEED_CLASS_PATTERN = re.compile(r"[\w.-]{1,64}", re.ASCII)


class JobsResource:
    """Accepts jobs and lists those of the calling account."""

    def __init__(self, entry: Entry, keyring: Keyring) -> None:
        self._entry = entry
        self._keyring = keyring

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """List the jobs of the calling account."""
        identity = self._keyring.require_caller(request)
        jobs = []
        for job in self._entry.jobs.of_account(identity.account):
            jobs.append(describe_job(job))
        write_json(response, {"jobs": jobs})

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Accept a job; the response is sent once the job is in the log."""
        identity = self._keyring.require_caller(request)
        key = require_idempotency_key(request)
        spec, body = read_json(request, MAX_BODY_BYTES, JobSpec)
        check_spec(spec)
        digest = sha256(body).hexdigest()
        job = self._entry.jobs.by_key(identity.account, key)
        if job is None:
            job = self._accept(identity.account, key, digest, spec)
        if job.body_digest != digest:
            raise problem(409, "the key was used with another body", "use a new key")
        response.status = 202
        write_json(response, describe_job(job))

    def _accept(self, account: str, key: str, digest: str, spec: JobSpec) -> Job:
        catalogue = self._entry.configuration.catalogue
        if account not in catalogue["accounts"]:
            remedy = "ask the operators to publish the account"
            raise problem(403, f"account {account!r} is not in the catalogue", remedy)
        record = {
            "kind": "job-accepted",
            "record_id": new_record_id(),
            "job_id": uuid4().hex,
            "account": account,
            "job_class": catalogue["accounts"][account]["job_class"],
            "idempotency_key": key,
            "body_digest": digest,
            "submitted_at": clock.wall_time(),
            "spec": spec,
        }
        outcome = self._entry.writer(JOBS_STREAM).append(record)
        if outcome.is_err():
            error = outcome.unwrap_err()
            ran = None if error.maybe_applied else False
            remedy = "retry with the same Idempotency-Key"
            raise ProblemError(503, error.reason, remedy, ran, 1.0)
        job = self._entry.jobs.by_key(account, key)
        if job is None:
            raise ProblemError(503, "the job was not accepted", "retry", False, 1.0)
        return job


class JobResource:
    """Shows or cancels one job of the calling account."""

    def __init__(self, entry: Entry, keyring: Keyring) -> None:
        self._entry = entry
        self._keyring = keyring

    def on_get(
        self, request: falcon.Request, response: falcon.Response, job_id: str
    ) -> None:
        """Return the state of the job."""
        write_json(response, describe_job(self._find_own_job(request, job_id)))

    def on_delete(
        self, request: falcon.Request, response: falcon.Response, job_id: str
    ) -> None:
        """Cancel the job."""
        job = self._find_own_job(request, job_id)
        record = {
            "kind": "job-cancelled",
            "record_id": new_record_id(),
            "job_id": job.job_id,
        }
        outcome = self._entry.writer(JOBS_STREAM).append(record)
        if outcome.is_err():
            reason = outcome.unwrap_err().reason
            raise ProblemError(503, reason, "retry the cancellation", None, 1.0)
        response.status = 202
        write_json(response, describe_job(self._find_own_job(request, job_id)))

    def _find_own_job(self, request: falcon.Request, job_id: str) -> Job:
        identity = self._keyring.require_caller(request)
        job = self._entry.jobs.get(job_id)
        if job is None or job.account != identity.account:
            raise problem(
                404,
                f"no job {job_id!r} of this account",
                "check the job id and the key",
            )
        return job


def describe_job(job: Job) -> JobView:
    """Return the representation of ``job`` that its caller sees."""
    return {
        "job_id": job.job_id,
        "account": job.account,
        "class": job.job_class,
        "state": job.state,
        "attempt": job.attempt,
        "submitted_at": job.submitted_at,
        "started_at": job.started_at or None,
        "ended_at": job.ended_at or None,
        "workers": list(job.workers),
        "reason": job.reason,
        "result": job.result,
    }


def check_spec(spec: JobSpec) -> None:
    """Raise a 400 if a field of the job is out of bounds."""
    for key, (minimum, maximum) in SPEC_BOUNDS.items():
        value = spec[key]
        if not minimum <= value <= maximum:
            remedy = f"send {minimum:g} to {maximum:g}"
            raise problem(400, f"the job's {key} {value} is out of bounds", remedy)
    if len(spec["payload"].encode()) > MAX_PAYLOAD_BYTES:
        remedy = f"send at most {MAX_PAYLOAD_BYTES} bytes"
        raise problem(400, "the job's payload is too large", remedy)
    if not _SPEED_CLASS_PATTERN.fullmatch(spec.get("speed_class", "standard")):
        remedy = "send 1 to 64 letters, digits, dots, dashes or underscores"
        raise problem(400, "the job's speed_class is not valid", remedy)
