"""Starts workers again that were killed or have crashed."""

import threading
import time

from standins.cluster import Cluster

POLL_INTERVAL_SECONDS = 0.05
CRASH_RESTART_SECONDS = 2.0  # from the crash of a worker to its start


class WorkerKeeper:
    """Kills workers and restarts every worker that has ended, at its address.

    Parameters
    ----------
    cluster : Cluster
        The cluster whose workers it keeps.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._restart_at: dict[int, float] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start watching the workers."""
        self._thread.start()

    def kill(self, index: int, down_seconds: float) -> None:
        """Kill a worker, which starts again later; do nothing if it is down."""
        with self._lock:
            if self._has_ended(index):
                return
            self._cluster.kill_worker(index)
            self._restart_at[index] = time.monotonic() + down_seconds

    def wait_up(self) -> None:
        """Wait until every worker accepts connections.

        A worker that ends meanwhile is waited for once more.

        Raises
        ------
        RuntimeError
            If a worker ends meanwhile for the second time.
        TimeoutError
            If a worker does not start again or accepts no connection.
        """
        self._wait_restarted()
        for index in range(len(self._cluster.workers)):
            try:
                self._cluster.wait_listening(self._cluster.workers[index])
            except RuntimeError:
                # A worker that crashes closes its socket before it has ended.
                self._wait_restarted()
                self._cluster.wait_listening(self._cluster.workers[index])

    def _wait_restarted(self) -> None:
        self._cluster.wait_until(
            lambda: not self._ended_workers(), 2 * CRASH_RESTART_SECONDS
        )

    def stop(self) -> None:
        """Stop watching; workers that end from now on stay down."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_SECONDS):
            with self._lock:
                self._restart_due()

    def _restart_due(self) -> None:
        now = time.monotonic()
        for index in self._ended_workers():
            due = self._restart_at.setdefault(index, now + CRASH_RESTART_SECONDS)
            if now < due:
                continue
            del self._restart_at[index]
            self._cluster.restart_worker(index)

    def _ended_workers(self) -> list[int]:
        count = len(self._cluster.workers)
        return [index for index in range(count) if self._has_ended(index)]

    def _has_ended(self, index: int) -> bool:
        return self._cluster.workers[index].popen.poll() is not None
