"""Placement: the same seeded arrivals through every policy."""

import time
from collections.abc import Callable, Iterable

from loguru import logger

from benchmarks.replay import Replay, Switch
from benchmarks.rounds import print_rounds
from benchmarks.samples import Samples, percentile
from benchmarks.workloads import (
    BROCACH,
    HOUR,
    MILCHSCHAUM,
    Site,
    arrivals_of,
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
KINDS = ("small", "middle", "gang", "whole", "urgent")
DRAIN = (3 * HOUR, 4 * HOUR)
MILLISECONDS = 1e3

Create = Callable[[], PlacementPolicy]


def main() -> None:
    """Print the tables."""
    logger.remove()
    for site in (MILCHSCHAUM, BROCACH):
        for load in (0.5, 0.85, 1.0):
            _compare(site, load, _policies(site))
        _compare(site, 0.85, _variants(site))
        _compare(site, 0.85, _policies(site)[::2], _drain("dc2"))
    site = large_site()
    _compare(site, 0.0, _policies(site), jobs=850)
    print_rounds()


def _policies(site: Site) -> list[tuple[str, Create]]:
    return [
        ("first-fit", FirstFitPolicy),
        ("best-fit", BestFitPolicy),
        ("sharing", lambda: SharingPolicy(site.weight)),
    ]


def _variants(site: Site) -> list[tuple[str, Create]]:
    return [
        ("fixed homes", lambda: SharingPolicy(site.weight, late_binding=False)),
        ("weight 0", lambda: SharingPolicy(0.0)),
        ("weight 1", lambda: SharingPolicy(1.0)),
    ]


def _drain(data_centre: str) -> tuple[Switch, ...]:
    return (
        Switch(DRAIN[0], data_centre, in_service=False),
        Switch(DRAIN[1], data_centre, in_service=True),
    )


def _compare(
    site: Site,
    load: float,
    policies: Iterable[tuple[str, Create]],
    switches: Iterable[Switch] = (),
    jobs: int | None = None,
) -> None:
    arrivals = arrivals_of(site, load, SEED, jobs)
    title = f"{site.name}, {len(arrivals)} jobs in {site.hours:g} h"
    title += f", load {load:.0%}" if jobs is None else ""
    title += ", dc2 out from 3 h to 4 h" if switches else ""
    print(f"\n{title}, seed {SEED}")
    for name, create in policies:
        fleet = FakeFleet(list(site.racks))
        replay = Replay(
            create(), fleet, site.catalogue, arrivals, switches, site.wake_seconds
        )
        replay.samples.window = DRAIN
        began = time.perf_counter()
        samples = replay.run()
        _show(name, samples, time.perf_counter() - began)


def _show(name: str, samples: Samples, took: float) -> None:
    print(f"  {name} ({took:.1f} s)")
    for kind in KINDS:
        done = samples.completions.get(kind)
        if not done:
            continue
        waits = samples.waits[kind]
        print(
            f"    {kind:7} completion p50 {percentile(done, 0.5):7.0f} "
            f"p99 {percentile(done, 0.99):7.0f} s, wait p50 "
            f"{percentile(waits, 0.5):7.1f} p99 {percentile(waits, 0.99):8.1f} "
            f"max {max(waits):8.1f} s"
        )
    unusable = samples.fragmentation / max(1.0, samples.gang_waiting)
    lapses = sum(waited > 5.5 for waited in samples.covered)
    decisions = [seconds * MILLISECONDS for seconds in samples.decisions]
    print(
        f"    makespan {samples.makespan / HOUR:.1f} h, unusable {unusable:.0%} of "
        f"free accelerators, gang waits by fragmentation alone "
        f"{samples.fragmented_waiting / HOUR:.2f} h\n"
        f"    evictions {samples.evictions}, work lost "
        f"{samples.lost_work / HOUR:.1f} accelerator-hours, reclaim start max "
        f"{max(samples.reclaims, default=0):.1f} s, lapses {lapses} of "
        f"{len(samples.covered)} covered jobs, unfinished {samples.unfinished}\n"
        f"    work from 3 h to 4 h {samples.window_work / HOUR:.1f} "
        f"accelerator-hours, drained {samples.drained}; decision p50 "
        f"{percentile(decisions, 0.5):.2f} p99 {percentile(decisions, 0.99):.2f} "
        f"max {max(decisions):.1f} ms of {len(decisions)}",
        flush=True,
    )
