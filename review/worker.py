"""A worker after PROTOCOL.md: ``worker.py SETTINGS`` (JSON); events on its output.

After SIGUSR1 it is unhealthy and refuses starts with 503, until SIGUSR2.

It starts whatever it is told to start, as one with ``rejects_overload`` false. A task's
``spec`` is JSON: ``work_ms`` is its work, or it lasts if that is missing.
"""

import json
import signal
import sys
import threading
import time
from uuid import uuid4

from wire import Reply, Request, call, serve

START_SECONDS = 0.3  # of a task that lasts, until it is at work
STOP_SECONDS = 0.05
TICK_SECONDS = 0.02


class Run:
    """One start of a task."""

    def __init__(self, spec: dict) -> None:
        work = spec.get("work_ms")
        self.seconds = None if work is None else work / 1000
        self.began = time.monotonic()
        self.stop_at: float | None = None

    def percent(self) -> int:
        """Return how much of the work is done."""
        elapsed = time.monotonic() - self.began
        whole = START_SECONDS if self.seconds is None else max(self.seconds, 0.001)
        return min(100, int(100 * elapsed / whole))

    def is_done(self) -> bool:
        """Return whether the work is done."""
        if self.seconds is None:
            return False
        return time.monotonic() - self.began >= self.seconds


class Worker:
    """One lifetime of a worker."""

    def __init__(self, settings: dict) -> None:
        self._settings = settings
        self._id = f"i-{uuid4().hex[:8]}"
        self._born = int(time.time() * 1000)
        self._start = time.monotonic()
        self._lock = threading.Condition()
        self._fence = 0
        self._due_ms = 0
        self._running: dict[tuple[str, int], Run] = {}
        self._ended: list[list] = []
        self._number = 0
        self._over: dict[str, int] = {}
        self._lapsed: set[int] = set()
        self._sequence = 0
        self._is_healthy = True

    def run(self) -> None:
        """Serve until the process is ended."""
        signal.signal(signal.SIGUSR1, lambda *_: self._set_healthy(False))
        signal.signal(signal.SIGUSR2, lambda *_: self._set_healthy(True))
        serve(self._settings["address"], self._handle)
        self._say("worker up")
        threading.Thread(target=self._beat_forever, daemon=True).start()
        while True:
            time.sleep(TICK_SECONDS)
            self._tick()

    def _set_healthy(self, healthy: bool) -> None:
        self._is_healthy = healthy
        self._say("takes work" if healthy else "takes no work")

    def _say(self, what: str, **more: object) -> None:
        name = self._settings["name"]
        line = {"at": time.time(), "who": name, "what": what, "life": self._id, **more}
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._start) * 1000) + 1

    def _beat_forever(self) -> None:
        settings = self._settings
        while True:
            self._sequence += 1
            body = {
                "service": settings["service"],
                "address": settings["address"],
                "zone": settings["zone"],
                "version": "v1",
                "slot_count": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": settings["capacity"],
                "labels": settings["labels"],
                "clock_ms": self._clock_ms(),
                "seq": self._sequence,
                "born": self._born,
            }
            path = f"/v1/workers/{self._id}"
            status, _ = call(settings["control"], "PUT", path, body, timeout=1.0)
            time.sleep(settings["beat_ms"] / 1000 if status == 200 else 0.1)

    def _tick(self) -> None:
        with self._lock:
            now = time.monotonic()
            for key, run in list(self._running.items()):
                if run.stop_at is not None and now >= run.stop_at:
                    self._end(key, "stopped")
                elif run.stop_at is None and run.is_done():
                    self._end(key, "done")
            if self._clock_ms() > self._due_ms:
                self._lapsed.update(end[0] for end in self._ended)
                for key in list(self._running):
                    self._end(key, "lapsed")

    def _end(self, key: tuple[str, int], how: str) -> None:
        del self._running[key]
        self._number += 1
        self._ended.append([self._number, key[0], key[1], how, ""])
        self._over[key[0]] = max(key[1], self._over.get(key[0], 0))
        self._say("run ends", task=key[0], run=key[1], how=how)
        self._lock.notify_all()

    def _handle(self, request: Request) -> Reply:
        expected = request.headers.get("X-Expect-Worker")
        if expected and expected != self._id:
            return Reply(421, {"clock_ms": self._clock_ms()})
        body = request.json()
        with self._lock:
            if int(body.get("fence") or 0) < self._fence:
                return self._refusal("fence")
            self._fence = int(body.get("fence") or 0)
            if request.path == "/v1/run-start":
                return self._start_run(body)
            if request.path == "/v1/run-stop":
                return self._stop_run(body)
            if request.path == "/v1/hold":
                return self._hold(body)
            if request.path == "/v1/pace":
                return Reply(200, {"clock_ms": self._clock_ms()})
        return Reply(404)

    def _refusal(self, reason: str) -> Reply:
        return Reply(409, {"clock_ms": self._clock_ms(), "reason": reason})

    def _extend(self, due_ms: object) -> None:
        latest = self._clock_ms() + self._settings["hold_max_ms"]
        self._due_ms = max(self._due_ms, min(int(due_ms or 0), latest))

    def _start_run(self, body: dict) -> Reply:
        key = (body["task"], int(body["run"]))
        if not self._is_healthy:
            self._say("start refused with 503", task=key[0], run=key[1])
            return Reply(503, {"clock_ms": self._clock_ms()})
        if key in self._running:
            return Reply(200, {"clock_ms": self._clock_ms()})
        if int(body.get("due_ms") or 0) <= self._clock_ms():
            return self._refusal("late")
        self._extend(body.get("due_ms"))
        if key[1] <= self._over.get(key[0], 0):
            return self._refusal("old")
        try:
            spec = json.loads(body.get("spec") or "{}")
        except ValueError:
            spec = {}
        self._running[key] = Run(spec)
        self._say("run starts", task=key[0], run=key[1])
        return Reply(200, {"clock_ms": self._clock_ms()})

    def _stop_run(self, body: dict) -> Reply:
        key = (body["task"], int(body["run"]))
        self._over[key[0]] = max(key[1], self._over.get(key[0], 0))
        run = self._running.get(key)
        if run is not None and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_SECONDS
        return Reply(200, {"clock_ms": self._clock_ms()})

    def _hold(self, body: dict) -> Reply:
        self._extend(body.get("due_ms"))
        ack = int(body.get("ack_cursor") or 0)
        for number, task, run, how, _ in self._ended:
            if number <= ack:
                lapsed = number in self._lapsed
                self._say("end noted", task=task, run=run, how=how, lapsed=lapsed)
        self._ended = [end for end in self._ended if end[0] > ack]
        deadline = time.monotonic() + min(2000, int(body.get("wait_ms") or 0)) / 1000
        while not self._ended:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            self._lock.wait(left)
        running = [
            [task, run, "", state.percent(), 0]
            for (task, run), state in self._running.items()
        ]
        answer = {"clock_ms": self._clock_ms(), "born": self._born}
        return Reply(200, {**answer, "running": running, "ended": self._ended[:500]})


if __name__ == "__main__":
    Worker(json.loads(sys.argv[1])).run()
