"""Taking the machines of a wave through their upkeep, a few at a time."""

from typing import NamedTuple

import msgspec
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.sessions import AgentSessions, Session
from sequoiachute.protocol.workload import JobProgress
from sequoiachute.state.ledger import Ledger
from sequoiachute.state.operations import Operations, Wave
from sequoiachute.transport.machines import MachineService, PlatformMachine

LOOK_SECONDS = 1.0  # between two looks at the machines while a wave is active
HANDOVER_SECONDS = 3.5  # orders of an earlier placer may still arrive
UPKEEP_SECONDS = 2.0  # one machine's upkeep; the site's upkeep_s
MARGIN_SECONDS = 3.0


class WaveProgress(NamedTuple):
    """What is recorded of a wave: when it was first seen and what has begun."""

    seen_at: float = 0.0
    begun: tuple[str, ...] = ()
    complete: bool = False


def encode_wave(progress: WaveProgress) -> bytes:
    """Return the record of a wave."""
    return msgspec.msgpack.encode(progress)


class Upkeep:
    """Chooses the next machine of each wave and orders its upkeep.

    An idle machine goes first. A busy one is closed to new work and waits for
    its runs, until what is left of the time is needed for the others.
    """

    def __init__(
        self,
        machines: MachineService | None,
        holder: str,
        ledger: Ledger,
        desk: AgentSessions,
        operations: Operations,
    ) -> None:
        self._machines = machines
        self._holder = holder
        self._ledger = ledger
        self._desk = desk
        self._operations = operations
        self._looked_at = float("-inf")

    def look(self) -> dict[int, WaveProgress]:
        """Order what is due and return the new records of waves."""
        waves = []
        for wave in self._operations.waves.values():
            if not self._progress(wave).complete:
                waves.append(wave)
        if self._machines is None or not waves or not self._is_due():
            return {}
        self._looked_at = clock.now()
        listed = self._machines.machines()
        if listed.is_err():
            logger.bind(reason=listed.unwrap_err()).info("machines not listed")
            return {}
        known = {machine.name: machine for machine in listed.unwrap()}
        records = {}
        for wave in waves:
            progress = self._progress(wave)
            new = self._advance(self._machines, wave, progress, known)
            if new != progress:
                records[wave.number] = new
        return records

    def _progress(self, wave: Wave) -> WaveProgress:
        data = self._ledger.wave(wave.number)
        if not data:
            return WaveProgress()
        return msgspec.msgpack.decode(data, type=WaveProgress)

    def _is_due(self) -> bool:
        if clock.now() - self._looked_at < LOOK_SECONDS:
            return False
        return clock.elapsed() - self._desk.began_at >= HANDOVER_SECONDS

    def _advance(
        self,
        machines: MachineService,
        wave: Wave,
        progress: WaveProgress,
        known: dict[str, PlatformMachine],
    ) -> WaveProgress:
        if not progress.seen_at:
            progress = progress._replace(seen_at=clock.wall_time())
            machines.publish_wave_state(wave.number, False)
        here = [known[name] for name in wave.machines if name in known]
        waiting = [machine for machine in here if machine.name not in progress.begun]
        if not waiting:
            shown = machines.publish_wave_state(wave.number, True)
            return progress._replace(complete=shown)
        down = sum(machine.in_upkeep for machine in here)
        for machine in self._ordered(wave, progress, waiting):
            if down >= wave.max_concurrent:
                break
            down += 1
            outcome = machines.begin_upkeep(
                machine.name, wave.number, self._holder, self._desk.term
            )
            log = logger.bind(machine=machine.name, wave=wave.number)
            if outcome.is_err():
                # It may have begun all the same: it counts as down meanwhile.
                log.bind(reason=outcome.unwrap_err()).info("upkeep not begun")
                continue
            log.info("upkeep begun")
            progress = progress._replace(begun=(*progress.begun, machine.name))
        return progress

    def _ordered(
        self, wave: Wave, progress: WaveProgress, waiting: list[PlatformMachine]
    ) -> list[PlatformMachine]:
        """Return the machines that may go down now, the idle first."""
        passed = clock.wall_time() - progress.seen_at
        rounds = -(-len(waiting) // max(1, wave.max_concurrent))
        needed = rounds * (UPKEEP_SECONDS + LOOK_SECONDS) + MARGIN_SECONDS
        pressing = wave.finish_by_seconds - passed <= needed
        sessions = {s.life.worker_id: s for s in self._desk.sessions.values()}
        rows = []
        for machine in waiting:
            session = sessions.get(machine.worker_id)
            runs = 0
            if session is not None:
                session.reserved_life = session.life
                runs = len(self._ledger.placed_at(session.host))
            if not machine.is_up or (runs and not pressing):
                continue
            if session is not None and not self._may_end(session):
                continue
            rows.append((runs, machine.name, machine))
        return [machine for _, _, machine in sorted(rows)]

    def _may_end(self, session: Session) -> bool:
        """Return whether no lasting step loses more tasks than it allows."""
        for task in self._ledger.placed_at(session.host):
            job = self._ledger.job(task.job_id)
            step = job.steps[task.step] if job is not None else None
            if step is None or not step.max_unavailable:
                continue
            progress = self._ledger.progress(task.job_id)
            prefix = f"{task.occurrence}.{task.step}."
            if _away(progress, prefix, step.count) >= step.max_unavailable:
                return False
        return True


def _away(progress: JobProgress, prefix: str, count: int) -> int:
    """Return how many tasks of a step are nowhere."""
    there = 0
    for key, state in progress.tasks.items():
        there += key.startswith(prefix) and state.placed
    return count - there
