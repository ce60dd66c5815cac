"""Stand-in for a worker with its backend server.

``POST /requests`` returns the request's body; if that is a JSON object with
``seconds``, after that time divided by the worker's speed. ``/tasks`` runs tasks
that take ``run_seconds`` divided by the speed; one whose payload starts with
``fail`` fails, one with ``crash`` ends the process. ``GET /history`` lists every
execution. ``POST /faults`` sets ``fail_tasks``, ``fail_requests`` (share of
requests), ``truncate`` and ``slow_seconds``.

``--events`` names a file that outlives the process. Each line is a JSON object: an
execution as in the history, or a ``renew``, ``stop`` or ``down`` of a task.
"""

import argparse
import os
import random
import time
import warnings

os.environ["EVENTLET_HUB"] = "asyncio"
warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import msgspec  # noqa: E402
from eventlet import wsgi  # noqa: E402
from urllib3.util import parse_url  # noqa: E402

from standins.web import read_json, reply  # noqa: E402

MAX_HISTORY_BODY_BYTES = 100
CRASH_DELAY_SECONDS = 0.3  # from the start of a task that crashes its worker
CRASH_STATUS = 70


class Worker:
    """Executes requests and tasks by waiting for their duration.

    Parameters
    ----------
    speed : float
        Divides the duration of requests and tasks.
    seed : int
        Determines which requests fail.
    events_path : str
        File to which events are appended, none if empty.
    """

    def __init__(self, speed: float, seed: int, events_path: str = "") -> None:
        self.speed = speed
        self.faults: dict = {}
        self.history: list[dict] = []
        self.open_requests = 0
        self.peak_open_requests = 0
        self._random = random.Random(seed)
        self._tasks: dict[str, dict] = {}
        self._events_path = events_path

    def serve(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/requests":
            return self._serve_request(environ, start_response)
        if path == "/tasks":
            return self._start_task(read_json(environ), start_response)
        if path.startswith("/tasks/"):
            return self._serve_task(environ, start_response, path.split("/"))
        if path == "/faults":
            self.faults = read_json(environ)
            return reply(start_response, 200, {})
        if path == "/history":
            return reply(start_response, 200, self.history)
        return reply(start_response, 404, {})

    def _serve_request(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        attempt = environ.get("HTTP_X_ATTEMPT_ID", "")
        if self._random.random() < self.faults.get("fail_requests", 0):
            return reply(start_response, 500, {"error": "failing"})
        self.open_requests += 1
        self.peak_open_requests = max(self.peak_open_requests, self.open_requests)
        self._record_execution(
            {
                "what": "request",
                "request_id": environ.get("HTTP_X_REQUEST_ID", ""),
                "attempt_id": attempt,
                "body": body[:MAX_HISTORY_BODY_BYTES].decode(errors="replace"),
                "at": time.time(),
                "open": self.open_requests,
            }
        )
        eventlet.sleep(
            _requested_seconds(body) / self.speed + self.faults.get("slow_seconds", 0)
        )
        self.open_requests -= 1
        headers = [
            ("Content-Type", environ.get("CONTENT_TYPE") or "text/plain"),
            ("Content-Length", str(len(body))),
            ("X-Attempt-Id", attempt),
        ]
        start_response("200 OK", headers)
        if self.faults.get("truncate"):
            return [body[: len(body) // 2]]
        return [body]

    def _start_task(self, message, start_response):
        if message["task_id"] not in self._tasks:
            task = self._create_task(message)
            self._tasks[message["task_id"]] = task
            self._record_execution(
                {
                    "what": "task",
                    "task_id": message["task_id"],
                    "token": message["token"],
                    "accelerators": message["accelerators"],
                    "at": task["started_at"],
                    "finishes_at": self._finishes_at(task),
                    "lease_until": task["lease_until"],
                }
            )
            if message["payload"].startswith("crash"):
                eventlet.spawn_after(
                    CRASH_DELAY_SECONDS, self._crash, message["task_id"]
                )
        return reply(start_response, 200, {})

    def _create_task(self, message):
        now = time.time()
        return {
            "started_at": now,
            "remaining_seconds": max(
                0, message["run_seconds"] - message["done_seconds"]
            ),
            "done_seconds": message["done_seconds"],
            "ended": None,
            "token": message["token"],
            "lease_until": now + message["lease_seconds"],
            "fails": bool(self.faults.get("fail_tasks"))
            or message["payload"].startswith("fail"),
        }

    def _crash(self, task_id):
        if self._state(self._tasks[task_id])[0] != "running":
            return
        self._record_event({"what": "down", "task_id": task_id, "at": time.time()})
        os._exit(CRASH_STATUS)

    def _record_execution(self, row):
        self.history.append(row)
        self._record_event(row)

    def _record_event(self, row):
        if not self._events_path:
            return
        # Closed each time, so that a killed process loses no event.
        with open(self._events_path, "ab") as events:
            events.write(msgspec.json.encode(row) + b"\n")

    def _serve_task(self, environ, start_response, parts):
        task = self._tasks.get(parts[2])
        if task is None:
            return reply(start_response, 404, {})
        # Read before the state is looked at: the rest of a message may come late.
        message = read_json(environ) if len(parts) == 4 else {}
        if len(parts) == 4 and parts[3] == "renew":
            self._renew(parts[2], task, message)
        elif len(parts) == 4 and self._state(task)[0] == "running":
            checkpoint = message["checkpoint"]
            saved = self._state(task)[3] if checkpoint else task["done_seconds"]
            task["ended"] = ("stopped", "stopped", "", saved)
            self._record_event({"what": "stop", "task_id": parts[2], "at": time.time()})
        return reply(start_response, 200, self._state(task))

    def _renew(self, task_id, task, message):
        if self._state(task)[0] != "running" or message["token"] != task["token"]:
            return
        task["lease_until"] = time.time() + message["lease_seconds"]
        self._record_event(
            {"what": "renew", "task_id": task_id, "lease_until": task["lease_until"]}
        )

    def _finishes_at(self, task):
        if task["fails"]:
            return task["started_at"]
        return task["started_at"] + task["remaining_seconds"] / self.speed

    def _state(self, task):
        if task["ended"] is not None:
            return task["ended"]
        if min(time.time(), self._finishes_at(task)) > task["lease_until"]:
            task["ended"] = ("stopped", "the lease has ended", "", task["done_seconds"])
            return task["ended"]
        if task["fails"]:
            return ("failed", "the worker fails this task", "", task["done_seconds"])
        worked_seconds = (time.time() - task["started_at"]) * self.speed
        if worked_seconds >= task["remaining_seconds"]:
            done_seconds = task["done_seconds"] + task["remaining_seconds"]
            return ("finished", "", "done", done_seconds)
        return ("running", "", "", task["done_seconds"] + worked_seconds)


def _requested_seconds(body: bytes) -> float:
    try:
        fields = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return 0.0
    if not isinstance(fields, dict):
        return 0.0
    return float(fields.get("seconds", 0.0))


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--events", default="")
    options = parser.parse_args()
    url = parse_url(f"http://{options.listen}")
    worker = Worker(options.speed, options.seed, options.events)
    listener = eventlet.listen((url.host, url.port))
    wsgi.server(listener, worker.serve, log_output=False, max_size=4096)


if __name__ == "__main__":
    main()
