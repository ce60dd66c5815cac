"""Orders the upkeep of a wave's machines, a limited number at a time."""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.dispatch.machine_list import ListReading, MachineList
from sequoiachute.coordination.dispatch.sessions import AgentSessions, Session
from sequoiachute.coordination.scheduling.capacity import GangKey
from sequoiachute.protocol.decoder import decode_msgpack
from sequoiachute.protocol.workload import Lifetime, StepSpec, TaskId, task_key
from sequoiachute.state.ledger import Ledger
from sequoiachute.state.operations import Operations, Wave
from sequoiachute.transport.machines import PlatformMachine

POLL_INTERVAL_SECONDS = 1.0  # between two looks at the list while a wave is active
HANDOVER_SECONDS = 3.5  # orders of the previous placer may arrive this late
LATE_ORDER_SECONDS = 3.5  # an order without an answer may be carried out this late
# A list of machines that is older than this reserves no worker.
MAX_LIST_AGE_SECONDS = 4.0
UPKEEP_SECONDS = 2.0  # upkeep of one machine; the site's upkeep_s
FINISH_MARGIN_SECONDS = 3.0
FIRST_REFUSAL_PAUSE_SECONDS = 1.0
MAX_REFUSAL_PAUSE_SECONDS = 4.0
AT_WORK_PERCENT = 100  # that a worker reports of a service after its startup


class WaveProgress(NamedTuple):
    """Stored state of a wave.

    ``first_seen_at`` is wall time in seconds; ``started`` names the machines whose
    upkeep has begun.
    """

    first_seen_at: float = 0.0
    started: tuple[str, ...] = ()
    complete: bool = False


class _UpkeepOrder(NamedTuple):
    """Last order for the upkeep of a worker's machine.

    ``ordered_at`` is a time of ``clock.elapsed``, after the call.
    """

    ordered_at: float
    is_acknowledged: bool


class _Refusal(NamedTuple):
    """Until when, on the elapsed clock, no upkeep of a machine is ordered again."""

    until: float
    pause: float


NO_REFUSAL = _Refusal(float("-inf"), FIRST_REFUSAL_PAUSE_SECONDS / 2)


def encode_wave(progress: WaveProgress) -> bytes:
    """Return the stored form of a wave's progress."""
    return msgspec.msgpack.encode(progress)


class Upkeep:
    """Chooses the next machine of each wave and orders its upkeep.

    Idle machines go first. A busy one gets no new tasks, unless these would wait too
    long, and waits for its runs to end, until the time left is just enough for the
    machines still waiting.

    Which workers are reserved or closed is derived anew in every round from the
    waves in force, their progress, the list of machines and the last orders.

    Parameters
    ----------
    machine_list : MachineList or None
    holder : str
    ledger : Ledger
    agents : AgentSessions
    operations : Operations
    confirm : callable
        Takes a wave and its progress. Returns once the store has just confirmed that
        no later placer has taken over; raises ``DeposedError`` if one has.
    """

    def __init__(
        self,
        machine_list: MachineList | None,
        holder: str,
        ledger: Ledger,
        agents: AgentSessions,
        operations: Operations,
        confirm: Callable[[Wave, WaveProgress], None],
    ) -> None:
        self._confirm = confirm
        self._list = machine_list
        self._holder = holder
        self._ledger = ledger
        self._agents = agents
        self._operations = operations
        self._polled_at = float("-inf")
        self._used_reading: ListReading | None = None
        self._orders: dict[Lifetime, _UpkeepOrder] = {}
        self._refusals: dict[str, _Refusal] = {}

    def advance(self) -> dict[int, WaveProgress]:
        """Order the upkeep that is due; return the changed progress by wave."""
        if self._list is None:
            return {}
        waves = self._incomplete_waves()
        records = {}
        if waves and self._is_poll_due() and self._refresh_list(self._list):
            for wave in waves:
                progress = self._progress(wave)
                new = self._advance_wave(self._list, wave, progress)
                if new != progress:
                    records[wave.number] = new
        self._mark_sessions(self._list.newest, records)
        return records

    def _incomplete_waves(self) -> list[Wave]:
        waves = []
        for wave in self._operations.waves.values():
            if not self._progress(wave).complete:
                waves.append(wave)
        return waves

    def _refresh_list(self, machine_list: MachineList) -> bool:
        """Return whether the list has been read lately, since the last orders."""
        if machine_list.is_reading:
            return False
        self._polled_at = clock.now()
        if machine_list.is_due or machine_list.newest is self._used_reading:
            listed = machine_list.read()
            if listed.is_err():
                logger.bind(reason=listed.unwrap_err()).info(
                    "list of machines not available"
                )
                return False
        self._used_reading = machine_list.newest
        self._forget_completed_orders(machine_list.newest)
        return True

    def _forget_completed_orders(self, reading: ListReading) -> None:
        """Open the workers whose machines are up after an acknowledged order."""
        up = {m.worker_id for m in reading.machines.values() if m.is_up}
        now = clock.elapsed()
        for lifetime, order in list(self._orders.items()):
            is_over = order.is_acknowledged and lifetime.worker_id in up
            if is_over or now - order.ordered_at > LATE_ORDER_SECONDS:
                del self._orders[lifetime]

    def _mark_sessions(
        self, reading: ListReading, records: dict[int, WaveProgress]
    ) -> None:
        """Mark the workers that wait for their upkeep and those it is ordered for."""
        waiting = self._waiting_workers(reading, records)
        now = clock.elapsed()
        for session in self._agents.sessions.values():
            lifetime = session.lifetime
            is_waiting = lifetime.worker_id in waiting
            session.reserved_lifetime = lifetime if is_waiting else None
            order = self._orders.get(lifetime)
            is_closed = (
                order is not None and now - order.ordered_at <= LATE_ORDER_SECONDS
            )
            session.upkeep_lifetime = lifetime if is_closed else None

    def _waiting_workers(
        self, reading: ListReading, records: dict[int, WaveProgress]
    ) -> set[str]:
        """Return the worker IDs of the machines that wait for their upkeep."""
        if clock.elapsed() - reading.began_at > MAX_LIST_AGE_SECONDS:
            return set()
        workers = set()
        for wave in self._operations.waves.values():
            progress = records.get(wave.number) or self._progress(wave)
            if progress.complete:
                continue
            for name in wave.machines:
                machine = reading.machines.get(name)
                if machine is None or name in progress.started:
                    continue
                if machine.worker_id:
                    workers.add(machine.worker_id)
        return workers

    def _progress(self, wave: Wave) -> WaveProgress:
        data = self._ledger.wave(wave.number)
        if not data:
            return WaveProgress()
        try:
            return decode_msgpack(data, WaveProgress)
        except msgspec.DecodeError:
            logger.bind(wave=wave.number).error("undecodable progress of a wave")
            return WaveProgress()

    def _is_poll_due(self) -> bool:
        if clock.now() - self._polled_at < POLL_INTERVAL_SECONDS:
            return False
        return clock.elapsed() - self._agents.began_at >= HANDOVER_SECONDS

    def _advance_wave(
        self,
        machine_list: MachineList,
        wave: Wave,
        progress: WaveProgress,
    ) -> WaveProgress:
        machines, listed = machine_list.service, machine_list.newest.machines
        if not progress.first_seen_at:
            progress = progress._replace(first_seen_at=clock.wall_time())
            machines.publish_wave_state(wave.number, False)
        present = [listed[name] for name in wave.machines if name in listed]
        waiting = [
            machine for machine in present if machine.name not in progress.started
        ]
        if not waiting:
            shown = machines.publish_wave_state(wave.number, True)
            return progress._replace(complete=shown)
        ordered = {lifetime.worker_id for lifetime in self._orders}
        down = {m.name for m in present if m.in_upkeep or m.worker_id in ordered}
        for machine in self._startable(wave, progress, waiting):
            if machine.name not in down and len(down) >= wave.max_concurrent:
                continue
            if clock.elapsed() < self._refusals.get(machine.name, NO_REFUSAL).until:
                continue
            self._confirm(wave, progress)
            outcome = machines.begin_upkeep(
                machine.name, wave.number, self._holder, self._agents.term
            )
            log = logger.bind(machine=machine.name, wave=wave.number)
            if outcome.is_err() and outcome.unwrap_err().refused:
                pause = self._record_refusal(machine.name)
                log = log.bind(reason=outcome.unwrap_err().reason, pause=pause)
                log.info("upkeep order refused")
                continue
            down.add(machine.name)
            self._refusals.pop(machine.name, None)
            self._record_order(machine, outcome.is_ok())
            if outcome.is_err():
                # The upkeep may have begun anyway, so the machine counts as down.
                reason = outcome.unwrap_err().reason
                log.bind(reason=reason).info("upkeep order failed")
                continue
            log.info("upkeep ordered")
            progress = progress._replace(started=(*progress.started, machine.name))
        return progress

    def _record_refusal(self, machine: str) -> float:
        """Pause the orders for a machine; return for how many seconds."""
        previous = self._refusals.get(machine, NO_REFUSAL).pause
        pause = min(2 * previous, MAX_REFUSAL_PAUSE_SECONDS)
        self._refusals[machine] = _Refusal(clock.elapsed() + pause, pause)
        return pause

    def _record_order(self, machine: PlatformMachine, is_acknowledged: bool) -> None:
        """Let the present worker of a machine whose upkeep is ordered get no task."""
        for session in self._agents.sessions.values():
            if session.lifetime.worker_id == machine.worker_id:
                order = _UpkeepOrder(clock.elapsed(), is_acknowledged)
                self._orders[session.lifetime] = order

    def _startable(
        self, wave: Wave, progress: WaveProgress, waiting: list[PlatformMachine]
    ) -> list[PlatformMachine]:
        """Return the waiting machines that may go down, idle ones first."""
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
                runs = len(self._ledger.tasks_on_host(session.host))
            if not machine.is_up or (runs and not is_urgent):
                continue
            if session is not None and not self._may_interrupt(session):
                continue
            candidates.append((runs, machine.name, machine))
        return [machine for _, _, machine in sorted(candidates)]

    def _may_interrupt(self, session: Session) -> bool:
        """Return whether every step keeps within its ``max_unavailable`` tasks."""
        here: Counter[GangKey] = Counter()
        for task in self._ledger.tasks_on_host(session.host):
            job = self._ledger.job(task.job_id)
            step = job.steps[task.step] if job is not None else None
            if step is None or not step.max_unavailable:
                continue
            here[task[:3]] += 1
            away = self._count_away(task, step, session.host)
            if away + here[task[:3]] > step.max_unavailable:
                return False
        return True

    def _count_away(self, task: TaskId, step: StepSpec, host: str) -> int:
        """Return how many tasks of the step of ``task`` are not at work elsewhere.

        Those that are placed on ``host`` are not counted.
        """
        here = self._ledger.tasks_on_host(host)
        tasks = [task._replace(index=index) for index in range(step.count)]
        return sum(
            other not in here and not self._is_at_work(other, step) for other in tasks
        )

    def _is_at_work(self, task: TaskId, step: StepSpec) -> bool:
        """Return whether a worker shows a task at work; its record shows no start."""
        state = self._ledger.progress(task.job_id).tasks.get(task_key(task))
        session = self._agents.sessions.get(state.host) if state is not None else None
        if session is None:
            return False
        run = session.runs.get((str(task), state.run))
        if run is None:
            return False
        # Of a step with a target the worker reports the latency instead.
        return bool(step.latency_target_ms) or run.percent >= AT_WORK_PERCENT
