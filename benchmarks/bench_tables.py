"""Memory and time of the jobs table against the number of jobs that it holds."""

import gc
import time
import tracemalloc

from sequoiachute.protocol.records import decode_record, encode_record
from sequoiachute.state.jobs import QUEUED, JobTable

SIZES = (1_000, 5_000, 20_000)
LOOKUPS = 50
KILOBYTE = 1024


def accepted(number: int) -> dict:
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


def ended(number: int) -> dict:
    """Return the record of the job's end."""
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
    """Print kilobytes a job, and the time of applying and of one scan.

    Nine of ten jobs have ended, as in a table that holds ends for a day.
    """
    print(f"{'jobs':>8} {'KB a job':>9} {'apply us':>9} {'with_state ms':>14}")
    for size in SIZES:
        encoded = [encode_record(accepted(number)) for number in range(size)]
        for number in range(size * 9 // 10):
            encoded.append(encode_record(ended(number)))
        gc.collect()
        tracemalloc.start()
        table = JobTable()
        for data in encoded:
            table.apply(decode_record(data), 0.0)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        again = JobTable()
        began = time.perf_counter()
        for data in encoded:
            again.apply(decode_record(data), 0.0)
        apply_seconds = (time.perf_counter() - began) / len(encoded)
        began = time.perf_counter()
        for _ in range(LOOKUPS):
            table.with_state(QUEUED)
        scan_seconds = (time.perf_counter() - began) / LOOKUPS
        print(
            f"{size:>8} {used / size / KILOBYTE:>9.2f} "
            f"{apply_seconds * 1e6:>9.1f} {scan_seconds * 1e3:>14.2f}"
        )


if __name__ == "__main__":
    main()
