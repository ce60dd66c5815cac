"""Orders the upkeep of a wave's machines, a limited number at a time."""

from typing import NamedTuple

import msgspec
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.sessions import AgentSessions, Session
from sequoiachute.protocol.workload import JobProgress
from sequoiachute.state.ledger import Ledger
from sequoiachute.state.operations import Operations, Wave
from sequoiachute.transport.machines import MachineService, PlatformMachine

POLL_INTERVAL_SECONDS = 1.0  # for the list of machines while a wave is active
HANDOVER_SECONDS = 3.5  # orders of the previous placer may arrive this late
UPKEEP_SECONDS = 2.0  # upkeep of one machine; the site's upkeep_s
FINISH_MARGIN_SECONDS = 3.0


class WaveProgress(NamedTuple):
    """Stored state of a wave.

    ``first_seen_at`` is wall time in seconds; ``started`` names the machines whose
    upkeep has begun.
    """

    first_seen_at: float = 0.0
    started: tuple[str, ...] = ()
    complete: bool = False


def encode_wave(progress: WaveProgress) -> bytes:
    """Return the stored form of a wave's progress."""
    return msgspec.msgpack.encode(progress)


class Upkeep:
    """Chooses the next machine of each wave and orders its upkeep.

    Idle machines go first. A busy one gets no new tasks, unless these would wait too
    long, and waits for its runs to end, until the time left is just enough for the
    machines still waiting.
    """

    def __init__(
        self,
        machines: MachineService | None,
        holder: str,
        ledger: Ledger,
        agents: AgentSessions,
        operations: Operations,
    ) -> None:
        self._machines = machines
        self._holder = holder
        self._ledger = ledger
        self._agents = agents
        self._operations = operations
        self._polled_at = float("-inf")

    def advance(self) -> dict[int, WaveProgress]:
        """Order the upkeep that is due; return the changed progress by wave."""
        waves = []
        for wave in self._operations.waves.values():
            if not self._progress(wave).complete:
                waves.append(wave)
        if self._machines is None or not waves or not self._is_poll_due():
            return {}
        self._polled_at = clock.now()
        listed = self._machines.machines()
        if listed.is_err():
            logger.bind(reason=listed.unwrap_err()).info(
                "list of machines not available"
            )
            return {}
        machines_by_name = {machine.name: machine for machine in listed.unwrap()}
        records = {}
        for wave in waves:
            progress = self._progress(wave)
            new = self._advance_wave(self._machines, wave, progress, machines_by_name)
            if new != progress:
                records[wave.number] = new
        return records

    def _progress(self, wave: Wave) -> WaveProgress:
        data = self._ledger.wave(wave.number)
        if not data:
            return WaveProgress()
        return msgspec.msgpack.decode(data, type=WaveProgress)

    def _is_poll_due(self) -> bool:
        if clock.now() - self._polled_at < POLL_INTERVAL_SECONDS:
            return False
        return clock.elapsed() - self._agents.began_at >= HANDOVER_SECONDS

    def _advance_wave(
        self,
        machines: MachineService,
        wave: Wave,
        progress: WaveProgress,
        machines_by_name: dict[str, PlatformMachine],
    ) -> WaveProgress:
        if not progress.first_seen_at:
            progress = progress._replace(first_seen_at=clock.wall_time())
            machines.publish_wave_state(wave.number, False)
        present = [
            machines_by_name[name] for name in wave.machines if name in machines_by_name
        ]
        waiting = [
            machine for machine in present if machine.name not in progress.started
        ]
        if not waiting:
            shown = machines.publish_wave_state(wave.number, True)
            return progress._replace(complete=shown)
        down = sum(machine.in_upkeep for machine in present)
        for machine in self._startable(wave, progress, waiting):
            if down >= wave.max_concurrent:
                break
            down += 1
            self._close(machine)
            outcome = machines.begin_upkeep(
                machine.name, wave.number, self._holder, self._agents.term
            )
            log = logger.bind(machine=machine.name, wave=wave.number)
            if outcome.is_err():
                # The upkeep may have begun anyway, so the machine counts as down.
                log.bind(reason=outcome.unwrap_err()).info("upkeep order failed")
                continue
            log.info("upkeep ordered")
            progress = progress._replace(started=(*progress.started, machine.name))
        return progress

    def _close(self, machine: PlatformMachine) -> None:
        """Let the present worker of a machine whose upkeep is ordered get no task."""
        for session in self._agents.sessions.values():
            if session.lifetime.worker_id == machine.worker_id:
                session.upkeep_lifetime = session.lifetime

    def _startable(
        self, wave: Wave, progress: WaveProgress, waiting: list[PlatformMachine]
    ) -> list[PlatformMachine]:
        """Reserve waiting machines; return those that may go down, idle ones first."""
        elapsed = clock.wall_time() - progress.first_seen_at
        rounds = -(-len(waiting) // max(1, wave.max_concurrent))
        needed = (
            rounds * (UPKEEP_SECONDS + POLL_INTERVAL_SECONDS) + FINISH_MARGIN_SECONDS
        )
        is_urgent = wave.finish_by_seconds - elapsed <= needed
        sessions = {s.lifetime.worker_id: s for s in self._agents.sessions.values()}
        candidates = []
        for machine in waiting:
            session = sessions.get(machine.worker_id)
            runs = 0
            if session is not None:
                session.reserved_lifetime = session.lifetime
                session.upkeep_lifetime = None
                runs = len(self._ledger.tasks_on_host(session.host))
            if not machine.is_up or (runs and not is_urgent):
                continue
            if session is not None and not self._may_interrupt(session):
                continue
            candidates.append((runs, machine.name, machine))
        return [machine for _, _, machine in sorted(candidates)]

    def _may_interrupt(self, session: Session) -> bool:
        """Return whether every step keeps within its ``max_unavailable`` tasks."""
        for task in self._ledger.tasks_on_host(session.host):
            job = self._ledger.job(task.job_id)
            step = job.steps[task.step] if job is not None else None
            if step is None or not step.max_unavailable:
                continue
            progress = self._ledger.progress(task.job_id)
            prefix = f"{task.occurrence}.{task.step}."
            if _count_unplaced(progress, prefix, step.count) >= step.max_unavailable:
                return False
        return True


def _count_unplaced(progress: JobProgress, prefix: str, count: int) -> int:
    """Return how many tasks of a step are not placed."""
    placed = 0
    for key, state in progress.tasks.items():
        placed += key.startswith(prefix) and state.placed
    return count - placed
