"""Measures memory and time of the jobs table against the number of jobs."""

import gc
import time
import tracemalloc

from sequoiachute.protocol.records import decode_record, encode_record
from sequoiachute.state.jobs import QUEUED, JobTable

JOB_COUNTS = (1_000, 5_000, 20_000)
SCANS = 50
KILOBYTE = 1024


def create_accepted_record(number: int) -> dict:
    """Return the record of an accepted job."""
    return {
        "kind": "job-accepted",
        "record_id": f"record-{number:028d}",
        "job_id": f"job-{number:028d}",
        "account": f"account-{number % 250}",
        "job_class": "batch",
        "idempotency_key": f"key-{number:028d}",
        "body_digest": f"{number:064d}",
        "submitted_at": float(number),
        "spec": {
            "tasks": 4,
            "accelerators": 1,
            "within": "rack",
            "run_seconds": 3600.0,
            "payload": "x" * 64,
        },
    }


def create_ended_record(number: int) -> dict:
    """Return the record of the end of a job."""
    return {
        "kind": "job-ended",
        "record_id": f"end-{number:028d}",
        "job_id": f"job-{number:028d}",
        "outcome": "finished",
        "reason": "",
        "result": "",
        "ended_at": float(number),
    }


def main() -> None:
    """Print memory per job, and the time to apply a record and to scan by state.

    Nine of ten jobs have ended, as in a table that keeps ended jobs for a day.
    """
    print(f"{'jobs':>8} {'KB a job':>9} {'apply us':>9} {'with_state ms':>14}")
    for size in JOB_COUNTS:
        encoded = [
            encode_record(create_accepted_record(number)) for number in range(size)
        ]
        for number in range(size * 9 // 10):
            encoded.append(encode_record(create_ended_record(number)))
        gc.collect()
        tracemalloc.start()
        table = JobTable()
        for data in encoded:
            table.apply(decode_record(data), 0.0)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        timed_table = JobTable()
        began = time.perf_counter()
        for data in encoded:
            timed_table.apply(decode_record(data), 0.0)
        apply_seconds = (time.perf_counter() - began) / len(encoded)
        began = time.perf_counter()
        for _ in range(SCANS):
            table.with_state(QUEUED)
        scan_seconds = (time.perf_counter() - began) / SCANS
        print(
            f"{size:>8} {used / size / KILOBYTE:>9.2f} "
            f"{apply_seconds * 1e6:>9.1f} {scan_seconds * 1e3:>14.2f}"
        )


if __name__ == "__main__":
    main()
