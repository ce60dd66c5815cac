"""Compares answer times and goodput of requests with baseline routers.

It runs in virtual time, but for a short run on real processes.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from eventlet.hubs import use_hub
from loguru import logger

from benchmarks.baselines import LeastOutstanding, RoundRobin, SingleAttemptRouter
from benchmarks.request_load import CAPACITY, OfferedLoad, RequestBench, RequestSample
from benchmarks.request_processes import measure_processes

SEED = 5
LOAD_SECONDS = 8.0
FAULT_AT_SECONDS = 0.5
OUTAGE_START_SECONDS = 2.0
OUTAGE_END_SECONDS = 6.0


class Scenario(NamedTuple):
    """An offered load and the events during it, by seconds from its start."""

    name: str
    load: OfferedLoad
    events: Callable[[RequestBench], dict[float, Callable[[], None]]]


def _round_robin(entry: Any, caller: Any) -> SingleAttemptRouter:
    return SingleAttemptRouter(entry.fleet, entry.configuration, caller, RoundRobin())


def _least_outstanding(entry: Any, caller: Any) -> SingleAttemptRouter:
    return SingleAttemptRouter(
        entry.fleet, entry.configuration, caller, LeastOutstanding()
    )


def _no_events(bench: RequestBench) -> dict[float, Callable[[], None]]:
    return {}


def _slow_server(bench: RequestBench) -> dict[float, Callable[[], None]]:
    return {FAULT_AT_SECONDS: lambda: setattr(bench.site.backends[4], "speed", 0.05)}


def _failing_server(bench: RequestBench) -> dict[float, Callable[[], None]]:
    return {FAULT_AT_SECONDS: lambda: setattr(bench.site.backends[4], "fails", True)}


def _log_outage(bench: RequestBench) -> dict[float, Callable[[], None]]:
    return {
        OUTAGE_START_SECONDS: lambda: setattr(bench.site.log, "down", True),
        OUTAGE_END_SECONDS: lambda: setattr(bench.site.log, "down", False),
    }


def _drain(bench: RequestBench) -> dict[float, Callable[[], None]]:
    return {
        OUTAGE_START_SECONDS: lambda: bench.site.switch("dc-2", False),
        OUTAGE_END_SECONDS: lambda: bench.site.switch("dc-2", True),
    }


ROUTERS = {
    "round-robin": _round_robin,
    "least-outst": _least_outstanding,
    "this": None,
}
SCENARIOS = (
    Scenario("load 50 %", OfferedLoad(0.5, LOAD_SECONDS), _no_events),
    Scenario("load 85 %", OfferedLoad(0.85, LOAD_SECONDS), _no_events),
    Scenario("load 100 %", OfferedLoad(1.0, LOAD_SECONDS), _no_events),
    Scenario("load 120 %", OfferedLoad(1.2, LOAD_SECONDS), _no_events),
    Scenario("one slow, 50 %", OfferedLoad(0.5, LOAD_SECONDS), _slow_server),
    Scenario("one failing, 50 %", OfferedLoad(0.5, LOAD_SECONDS), _failing_server),
    Scenario("drain, 50 %", OfferedLoad(0.5, LOAD_SECONDS), _drain),
    Scenario("log outage, 50 %", OfferedLoad(0.5, LOAD_SECONDS), _log_outage),
)
NON_IDEMPOTENT = Scenario(
    "15 % once, outage",
    OfferedLoad(0.5, LOAD_SECONDS, non_idempotent=0.15),
    _log_outage,
)

HEADER = (
    f"{'scenario':<18} {'router':<12} {'p50 ms':>7} {'p99 ms':>7} {'p99.9':>7}"
    f" {'good/s':>7} {'good %':>7} {'refused':>7} {'unknown':>7} {'wrong':>6}"
)


def main() -> None:
    logger.remove()
    print(f"virtual time, seed {SEED}, capacity {CAPACITY:.0f} requests/s, 2 entries")
    print(HEADER)
    measured = {}
    for scenario in SCENARIOS:
        for name, create in ROUTERS.items():
            bench = _measure(scenario, create)
            measured[scenario.name, name] = bench.samples
            _print_row(scenario.name, name, scenario.load.seconds, bench.samples)
    _print_targets(measured)
    _print_non_idempotent()
    use_hub()
    measure_processes()


def _measure(scenario: Scenario, create: Any) -> RequestBench:
    bench = RequestBench(SEED, create)
    bench.run(scenario.load, scenario.events(bench))
    return bench


def _print_row(
    scenario: str, router: str, seconds: float, samples: list[RequestSample]
) -> None:
    times = [sample.seconds for sample in samples if sample.good]
    good = len(times)
    refused = sum(sample.outcome == "not-run" for sample in samples)
    unknown = sum(sample.outcome == "unknown" for sample in samples)
    wrong_answers = sum(not sample.own_answer for sample in samples)
    p50, p99, p999 = (1000 * _quantile(times, q) for q in (0.5, 0.99, 0.999))
    print(
        f"{scenario:<18} {router:<12} {p50:7.0f} {p99:7.0f} {p999:7.0f}"
        f" {good / seconds:7.1f} {100 * good / len(samples):7.2f}"
        f" {refused:7d} {unknown:7d} {wrong_answers:6d}",
        flush=True,
    )


def _print_targets(measured: dict[tuple[str, str], list[RequestSample]]) -> None:
    slow = {}
    for name in ROUTERS:
        slow[name] = _quantile(_good_seconds(measured["one slow, 50 %", name]), 0.99)
    ratio = slow["this"] / slow["round-robin"]
    print(f"p99 with a slow server against round-robin's: {ratio:.2f} (target 0.50)")
    at_100 = len(_good_seconds(measured["load 100 %", "this"]))
    at_120 = len(_good_seconds(measured["load 120 %", "this"]))
    print(f"goodput at 120 % against 100 %: {at_120 / at_100:.3f} (target 0.95)")
    for name in ("load 50 %", "log outage, 50 %"):
        samples = measured[name, "this"]
        share = 100 * len(_good_seconds(samples)) / len(samples)
        p99 = 1000 * _quantile(_good_seconds(samples), 0.99)
        print(f"idempotent, {name}: {share:.2f} % good, p99 {p99:.0f} ms")


def _print_non_idempotent() -> None:
    """Print the outcomes of non-idempotent requests around a log outage."""
    bench = _measure(NON_IDEMPOTENT, None)
    non_idempotent = [sample for sample in bench.samples if sample.non_idempotent]
    inside = [
        s
        for s in non_idempotent
        if OUTAGE_START_SECONDS + 0.1 < s.began < OUTAGE_END_SECONDS - 0.1
    ]
    outside = [
        s
        for s in non_idempotent
        if s.began < OUTAGE_START_SECONDS - 0.1 or s.began > OUTAGE_END_SECONDS + 1
    ]
    refused = [s for s in inside if s.outcome == "not-run"]
    slowest = max((sample.seconds for sample in refused), default=0.0)
    print(
        f"non-idempotent: {len(outside)} before and after, "
        f"{sum(s.good for s in outside)} good; {len(inside)} in the outage, "
        f"{len(refused)} refused as not run, slowest after {1000 * slowest:.0f} ms"
    )
    appends = bench.site.log.appends
    lost = sum(s.outcome not in ("answered", "not-run") for s in bench.samples)
    print(
        f"double runs {bench.count_double_runs()}, lost answers {lost}, "
        f"log appends {appends}"
    )


def _good_seconds(samples: list[RequestSample]) -> list[float]:
    return [sample.seconds for sample in samples if sample.good]


def _quantile(times: list[float], share: float) -> float:
    if not times:
        return float("nan")
    ordered = sorted(times)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


if __name__ == "__main__":
    main()
