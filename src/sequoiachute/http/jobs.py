"""``/v1/jobs``: long work on adjacent accelerators."""

from hashlib import sha256
from typing import Any
from uuid import uuid4

import falcon
import msgspec

from sequoiachute import clock
from sequoiachute.coordination.entry import Entry
from sequoiachute.coordination.log import new_record_id
from sequoiachute.http.keys import Keyring
from sequoiachute.protocol.records import JOBS_STREAM, JobSpec
from sequoiachute.state.jobs import Job
from sequoiachute.transport.web import ProblemError, problem, write_json

MAX_BODY_BYTES = 256 * 1024


class JobsResource:
    """Accepts jobs and lists an account's own."""

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
        """Accept a job: once this answers, the job is in the log."""
        identity = self._keyring.require_caller(request)
        key = request.get_header("Idempotency-Key")
        if not key:
            raise problem(400, "no idempotency key", "send Idempotency-Key")
        body = request.bounded_stream.read(MAX_BODY_BYTES + 1)
        if len(body) > MAX_BODY_BYTES:
            raise problem(413, "the body is too large", f"at most {MAX_BODY_BYTES}")
        spec = _read_spec(body)
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
            remedy = "come back with the same Idempotency-Key"
            raise ProblemError(503, error.reason, remedy, ran, 1.0)
        job = self._entry.jobs.by_key(account, key)
        if job is None:
            raise ProblemError(503, "the job was not accepted", "retry", False, 1.0)
        return job


class JobResource:
    """One job of the calling account."""

    def __init__(self, entry: Entry, keyring: Keyring) -> None:
        self._entry = entry
        self._keyring = keyring

    def on_get(
        self, request: falcon.Request, response: falcon.Response, job_id: str
    ) -> None:
        """Tell how the job stands."""
        write_json(response, describe_job(self._find(request, job_id)))

    def on_delete(
        self, request: falcon.Request, response: falcon.Response, job_id: str
    ) -> None:
        """Cancel the job."""
        job = self._find(request, job_id)
        record = {
            "kind": "job-cancelled",
            "record_id": new_record_id(),
            "job_id": job.job_id,
        }
        outcome = self._entry.writer(JOBS_STREAM).append(record)
        if outcome.is_err():
            reason = outcome.unwrap_err().reason
            raise ProblemError(503, reason, "cancel again later", None, 1.0)
        response.status = 202
        write_json(response, describe_job(self._find(request, job_id)))

    def _find(self, request: falcon.Request, job_id: str) -> Job:
        identity = self._keyring.require_caller(request)
        job = self._entry.jobs.get(job_id)
        if job is None or job.account != identity.account:
            raise problem(404, "no such job", "check the job id and the key")
        return job


def describe_job(job: Job) -> dict[str, Any]:
    """Return what a caller is told of a job."""
    return {
        "job_id": job.job_id,
        "account": job.account,
        "class": job.job_class,
        "state": job.state,
        "attempt": job.attempt,
        "submitted_at": job.submitted_at,
        "started_at": job.started_at or None,
        "ended_at": job.ended_at or None,
        "workers": job.workers,
        "reason": job.reason,
        "result": job.result,
    }


def _read_spec(body: bytes) -> JobSpec:
    try:
        return msgspec.json.decode(body, type=JobSpec)
    except msgspec.DecodeError as error:
        remedy = "see the HTTP reference for the fields of a job"
        raise problem(400, f"the job is refused: {error}", remedy) from error
