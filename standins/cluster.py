"""Starts the system's processes and the stand-ins on loopback.

Used by the demo, the tests on real processes and the benchmarks. Processes are
only signalled through their own pid.
"""

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import urllib3
import yaml

from standins.ports import free_address

OPERATOR_KEY = "operator-key-for-tests"
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 40.0
REGION = "bavaria"
DATA_CENTRES = ("muc-1", "muc-2", "muc-3")
WORKERS_PER_RACK = 3
ACCELERATORS = 8  # of each worker


class Process(NamedTuple):
    """A started process; ``address`` is empty if it serves none."""

    name: str
    popen: subprocess.Popen
    address: str

    def kill(self) -> None:
        """Kill it and wait for its end."""
        self.popen.kill()
        self.popen.wait()

    def freeze(self) -> None:
        """Suspend it with SIGSTOP, which simulates a long stall."""
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> int:
        """Stop it gracefully and return its exit status."""
        self.popen.send_signal(signal.SIGTERM)
        return self.popen.wait(STOP_TIMEOUT_SECONDS)


def caller_key(account: str) -> str:
    """Return the API key of a client account."""
    return f"caller-key-of-{account}"


def _route_directly(kind: str, name: str, address: str) -> str:
    return address


class Cluster:
    """Processes of one run: log service, workers, agents and entries.

    Parameters
    ----------
    accounts : sequence of str
        Client accounts, each of which gets an API key.
    workers, entries : int
        Number of workers, each with an agent, and of entries; both are spread
        over ``DATA_CENTRES``.
    entry_settings, agent_settings : dict, optional
        Settings that override those of every entry and agent.
    retention : float
        Seconds for which the log service keeps records.
    route : callable, optional
        Maps the class of a link, the name of its user and its target address to
        the address to use instead, such as that of a proxy.
    """

    def __init__(
        self,
        accounts: tuple[str, ...],
        workers: int = 11,
        entries: int = 2,
        entry_settings: dict[str, Any] | None = None,
        agent_settings: dict[str, Any] | None = None,
        retention: float = 3600.0,
        route: Callable[[str, str, str], str] | None = None,
    ) -> None:
        self.accounts = accounts
        self.log: Process | None = None
        self.workers: list[Process] = []
        self.agents: list[Process] = []
        self.entries: list[Process] = []
        self.fake_agents: list[Process] = []
        self._worker_count = workers
        self._entry_count = entries
        self._entry_settings = entry_settings or {}
        self._agent_settings = agent_settings or {}
        self._retention = retention
        self._route = route or _route_directly
        self._folder = tempfile.TemporaryDirectory(prefix="sequoiachute-")
        self._rpc_addresses: list[str] = []
        self._http = urllib3.PoolManager(retries=False)

    def __enter__(self) -> "Cluster":
        self.start()
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    def start(self) -> None:
        """Start every process and wait until every entry is ready.

        On an error the processes that were started are stopped.

        Raises
        ------
        RuntimeError
            If a process ended during the start.
        TimeoutError
            If a process is not ready within ``START_TIMEOUT_SECONDS``.
        """
        try:
            self._start_all()
        except BaseException:
            self.close()
            raise

    def _start_all(self) -> None:
        self.log = self._start_standin(
            "log", "logservice", ["--retention", str(self._retention)]
        )
        self._rpc_addresses = [free_address() for _ in range(self._entry_count)]
        for index in range(self._entry_count):
            self.entries.append(self.start_entry(index))
        for index in range(self._worker_count):
            self.workers.append(self.start_worker(index))
            self.agents.append(self.start_agent(index))
        for worker in self.workers:
            self.wait_listening(worker)
        self.wait_ready()

    def start_entry(self, index: int) -> Process:
        """Start an entry instance and return it."""
        settings = {
            "entry_id": f"entry-{index}",
            "region": REGION,
            "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
            "http_address": free_address(),
            "rpc_address": self._rpc_addresses[index],
            "log_service": f"http://{self._log_address(index)}",
            "keys": self._api_keys(),
            "entries": self._rpc_addresses,
            "log_retention_seconds": self._retention,
            **self._entry_settings,
        }
        return self._start_program("entry", settings, settings["http_address"])

    def start_worker(self, index: int, address: str = "") -> Process:
        """Start a worker stand-in and return it; speeds cycle from 1.0 to 2.0.

        It listens on a free address if none is given.
        """
        speed = 1.0 + 0.5 * (index % 3)
        options = ["--speed", str(speed), "--seed", str(index)]
        self._events_path(index).touch()
        options += ["--events", str(self._events_path(index))]
        return self._start_standin(f"worker-{index}", "worker", options, address)

    def kill_worker(self, index: int) -> None:
        """Kill a worker stand-in and add the time to its events."""
        killed_at = time.time()
        self.workers[index].kill()
        row = msgspec.json.encode({"what": "down", "task_id": "", "at": killed_at})
        with self._events_path(index).open("ab") as events:
            events.write(row + b"\n")

    def restart_worker(self, index: int) -> None:
        """Start a worker stand-in that has ended again, at the address it had."""
        self.workers[index] = self.start_worker(index, self.workers[index].address)

    def events(self, index: int) -> list[dict[str, Any]]:
        """Return the events of a worker, those of its ended processes included."""
        data = self._events_path(index).read_bytes()
        # A line that is still being written has no end yet.
        complete = data[: data.rfind(b"\n") + 1]
        return [msgspec.json.decode(line) for line in complete.splitlines()]

    def copy_events(self, folder: Path) -> None:
        """Copy the events of every worker into ``folder``, which is created."""
        folder.mkdir(parents=True, exist_ok=True)
        for index in range(len(self.workers)):
            shutil.copy(self._events_path(index), folder)

    def _events_path(self, worker: int) -> Path:
        return Path(self._folder.name) / f"worker-{worker}.events"

    def start_agent(self, index: int) -> Process:
        """Start the agent of worker ``index`` and return it."""
        data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
        index_in_data_centre = index // len(DATA_CENTRES)
        settings = {
            "worker_id": f"worker-{index}",
            "region": REGION,
            "data_centre": data_centre,
            "rack": f"{data_centre}-rack-{index_in_data_centre // WORKERS_PER_RACK}",
            "position": index_in_data_centre % WORKERS_PER_RACK,
            "rpc_address": free_address(),
            "backend_server": f"http://{self._backend_address(index)}",
            "entries": self._entry_addresses(index),
            "accelerators": ACCELERATORS,
            "slots": 8,
            "connections": 64,
            "speed": 1.0 + 0.5 * (index % 3),
            **self._agent_settings,
        }
        return self._start_program("agent", settings, settings["rpc_address"])

    def _log_address(self, entry: int) -> str:
        return self._route("entry-log", f"entry-{entry}", self.log.address)

    def _backend_address(self, worker: int) -> str:
        address = self.workers[worker].address
        return self._route("agent-worker", f"worker-{worker}", address)

    def _entry_addresses(self, worker: int) -> list[str]:
        addresses = []
        for number, address in enumerate(self._rpc_addresses):
            name = f"worker-{worker} to entry-{number}"
            addresses.append(self._route("agent-entry", name, address))
        return addresses

    def start_fake_agents(self, first: int, count: int) -> Process:
        """Start ``count`` agents in one process, with backend servers in memory."""
        arguments = [sys.executable, "-m", "standins.agents"]
        arguments += ["--first", str(first), "--count", str(count)]
        arguments += ["--entries", *self._rpc_addresses]
        process = self._spawn(f"agents from {first}", arguments, "")
        self.fake_agents.append(process)
        return process

    def rpc_port(self, entry: int) -> int:
        """Return the port on which the entry serves RPCs."""
        return int(self._rpc_addresses[entry].rpartition(":")[2])

    def wait_ready(self) -> None:
        """Wait until every entry answers ``/readyz`` with 200."""
        for entry in self.entries:
            self.wait_until(lambda e=entry: self._is_ready(e), START_TIMEOUT_SECONDS)

    def wait_until(self, condition: Any, seconds: float) -> None:
        """Poll ``condition`` until it is true.

        Raises
        ------
        TimeoutError
            If it is still false after ``seconds``.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.05)
        raise TimeoutError(f"the condition is still false after {seconds} s")

    def call(
        self,
        method: str,
        path: str,
        key: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        entry: int = 0,
        timeout: float = 40.0,
    ) -> tuple[int, Any, bytes]:
        """Call an entry; return status, headers and body."""
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        response = self._http.request(
            method,
            f"http://{self.entries[entry].address}{path}",
            body=data if body is not None else None,
            headers={"Authorization": f"Bearer {key}", **(headers or {})},
            timeout=timeout,
        )
        return response.status, response.headers, response.data

    def set_faults(self, process: Process, **faults: Any) -> None:
        """Replace the faults of a stand-in; without any it works normally."""
        self._http.request(
            "POST", f"http://{process.address}/faults", body=msgspec.json.encode(faults)
        )

    def history(self, worker: Process) -> list[dict[str, Any]]:
        """Return the requests and tasks that a worker stand-in ran."""
        response = self._http.request("GET", f"http://{worker.address}/history")
        return msgspec.json.decode(response.data)

    def thaw(self) -> None:
        """Resume every entry and agent that was suspended."""
        for process in [*self.entries, *self.agents]:
            if process.popen.poll() is None:
                process.thaw()

    def close(self) -> dict[str, int]:
        """Stop entries and agents gracefully and kill the stand-ins.

        Returns
        -------
        dict
            Exit status of each entry and agent by its name.
        """
        statuses = {}
        self.thaw()
        for process in [*self.entries, *self.agents]:
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGTERM)
        for process in [*self.entries, *self.agents]:
            statuses[process.name] = process.popen.wait(STOP_TIMEOUT_SECONDS)
        for process in [*self.fake_agents, *self.workers, self.log]:
            if process is not None:
                process.kill()
        self._folder.cleanup()
        return statuses

    def _api_keys(self) -> list[dict[str, str]]:
        keys = [{"key": OPERATOR_KEY, "role": "operator", "account": "operator"}]
        for account in self.accounts:
            keys.append(
                {"key": caller_key(account), "role": "caller", "account": account}
            )
        return keys

    def wait_listening(self, process: Process) -> None:
        """Wait until a process accepts connections."""
        self.wait_until(lambda: self._is_listening(process), START_TIMEOUT_SECONDS)

    def _is_listening(self, process: Process) -> bool:
        self._check_running(process)
        host, _, port = process.address.rpartition(":")
        with socket.socket() as probe:
            return probe.connect_ex((host, int(port))) == 0

    def _check_running(self, process: Process) -> None:
        status = process.popen.poll()
        if status is None:
            return
        hint = "set SEQUOIACHUTE_SHOW_LOGS=1 to see its log"
        raise RuntimeError(f"{process.name} has ended with status {status}; {hint}")

    def _is_ready(self, entry: Process) -> bool:
        self._check_running(entry)
        try:
            response = self._http.request(
                "GET", f"http://{entry.address}/readyz", timeout=1.0
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200

    def _start_program(
        self, command: str, settings: dict[str, Any], address: str
    ) -> Process:
        name = settings.get("entry_id") or settings["worker_id"]
        path = Path(self._folder.name) / f"{command}-{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        arguments = [sys.executable, "-m", "sequoiachute", command]
        arguments += ["--settings", str(path)]
        return self._spawn(f"{command} {name}", arguments, address)

    def _start_standin(
        self, name: str, module: str, options: list[str], address: str = ""
    ) -> Process:
        address = address or free_address()
        arguments = [sys.executable, "-m", f"standins.{module}", "--listen", address]
        return self._spawn(name, [*arguments, *options], address)

    def _spawn(self, name: str, arguments: list[str], address: str) -> Process:
        output = None
        if not os.environ.get("SEQUOIACHUTE_SHOW_LOGS"):
            output = subprocess.DEVNULL
        root = Path(__file__).resolve().parent.parent
        popen = subprocess.Popen(arguments, cwd=root, stdout=output, stderr=output)
        return Process(name, popen, address)
