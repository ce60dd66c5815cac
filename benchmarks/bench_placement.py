"""Compares the placement policies on the same seeded arrivals."""

import time
from collections.abc import Callable, Iterable

from loguru import logger

from benchmarks.replay import DataCentreSwitch, PlacementReplay
from benchmarks.rounds import print_decision_times
from benchmarks.samples import ReplaySamples, percentile
from benchmarks.workloads import (
    BROCACH,
    HOUR,
    MILCHSCHAUM,
    BenchmarkSite,
    draw_arrivals,
    large_site,
)
from sequoiachute.coordination.placement import (
    FirstFitPolicy,
    PlacementPolicy,
    SharingPolicy,
)
from sequoiachute.coordination.placement.baselines import BestFitPolicy
from standins.fleet import FakeFleet

SEED = 1
JOB_KINDS = ("small", "middle", "gang", "whole", "urgent")
DRAIN_WINDOW = (3 * HOUR, 4 * HOUR)
MILLISECONDS_PER_SECOND = 1e3

PolicyFactory = Callable[[], PlacementPolicy]


def main() -> None:
    """Print the tables."""
    logger.remove()
    for site in (MILCHSCHAUM, BROCACH):
        for load in (0.5, 0.85, 1.0):
            _compare(site, load, _policies(site))
        _compare(site, 0.85, _variants(site))
        _compare(site, 0.85, _policies(site)[::2], _drain_switches("dc2"))
    site = large_site()
    _compare(site, 0.0, _policies(site), jobs=850)
    print_decision_times()


def _policies(site: BenchmarkSite) -> list[tuple[str, PolicyFactory]]:
    return [
        ("first-fit", FirstFitPolicy),
        ("best-fit", BestFitPolicy),
        ("sharing", lambda: SharingPolicy(site.weight)),
    ]


def _variants(site: BenchmarkSite) -> list[tuple[str, PolicyFactory]]:
    return [
        ("fixed homes", lambda: SharingPolicy(site.weight, late_binding=False)),
        ("weight 0", lambda: SharingPolicy(0.0)),
        ("weight 1", lambda: SharingPolicy(1.0)),
    ]


def _drain_switches(data_centre: str) -> tuple[DataCentreSwitch, ...]:
    return (
        DataCentreSwitch(DRAIN_WINDOW[0], data_centre, in_service=False),
        DataCentreSwitch(DRAIN_WINDOW[1], data_centre, in_service=True),
    )


def _compare(
    site: BenchmarkSite,
    load: float,
    policies: Iterable[tuple[str, PolicyFactory]],
    switches: Iterable[DataCentreSwitch] = (),
    jobs: int | None = None,
) -> None:
    arrivals = draw_arrivals(site, load, SEED, jobs)
    title = f"{site.name}, {len(arrivals)} jobs in {site.hours:g} h"
    title += f", load {load:.0%}" if jobs is None else ""
    title += ", dc2 out from 3 h to 4 h" if switches else ""
    print(f"\n{title}, seed {SEED}")
    for name, create in policies:
        fleet = FakeFleet(list(site.racks))
        replay = PlacementReplay(
            create(), fleet, site.catalogue, arrivals, switches, site.wake_seconds
        )
        replay.samples.window = DRAIN_WINDOW
        began = time.perf_counter()
        samples = replay.run()
        _print_samples(name, samples, time.perf_counter() - began)


def _print_samples(name: str, samples: ReplaySamples, wall_seconds: float) -> None:
    print(f"  {name} ({wall_seconds:.1f} s)")
    for kind in JOB_KINDS:
        completion_times = samples.completions.get(kind)
        if not completion_times:
            continue
        waits = samples.waits[kind]
        print(
            f"    {kind:7} completion p50 {percentile(completion_times, 0.5):7.0f} "
            f"p99 {percentile(completion_times, 0.99):7.0f} s, wait p50 "
            f"{percentile(waits, 0.5):7.1f} p99 {percentile(waits, 0.99):8.1f} "
            f"max {max(waits):8.1f} s"
        )
    unusable_share = samples.unusable_share_seconds / max(
        1.0, samples.gang_wait_seconds
    )
    missed_guarantees = sum(waited > 5.5 for waited in samples.guaranteed_waits)
    decisions = [
        seconds * MILLISECONDS_PER_SECOND for seconds in samples.decision_seconds
    ]
    print(
        f"    makespan {samples.makespan / HOUR:.1f} h, unusable {unusable_share:.0%} "
        f"of free accelerators, gang waits by fragmentation alone "
        f"{samples.fragmented_wait_seconds / HOUR:.2f} h\n"
        f"    evictions {samples.evictions}, work lost "
        f"{samples.lost_work / HOUR:.1f} accelerator-hours, reclaim start max "
        f"{max(samples.reclaim_seconds, default=0):.1f} s, lapses {missed_guarantees} "
        f"of {len(samples.guaranteed_waits)} covered jobs, "
        f"unfinished {samples.unfinished}\n"
        f"    work from 3 h to 4 h {samples.window_work / HOUR:.1f} "
        f"accelerator-hours, drained {samples.drained}; decision p50 "
        f"{percentile(decisions, 0.5):.2f} p99 {percentile(decisions, 0.99):.2f} "
        f"max {max(decisions):.1f} ms of {len(decisions)}",
        flush=True,
    )
