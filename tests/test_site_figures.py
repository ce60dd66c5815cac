"""The comparison of a replay's site with the users' file of that site."""

import msgspec
import pytest

from benchmarks.site_figures import differences
from sequoiachute.replay.site import LogNormal, load_site

ENGRAVE = "examples/replay/engrave.yaml"


def users_kind(kind):
    return {
        "name": kind.name,
        "worth": kind.worth,
        "late_worth": kind.late_worth,
        "priority": kind.priority,
        "attempts": kind.attempts,
        "aim_ms": kind.slo_seconds * 1000,
        "work_ms": spread(kind.seconds, 500),
        "error_share": kind.error_share,
        "poison": kind.hopeless,
        "jobs": {
            "steps": spread(kind.steps),
            "width": spread(kind.tasks),
            "cpu": {"mean": kind.cores * 1000},
            "mem_mb": {"mean": float(kind.memory_mb)},
            "gpu": list(kind.gpus),
            "gang": kind.gang / 0.6,
            "tight": kind.same_rack,
            "saves": kind.checkpoints,
            "uneven": kind.uneven,
            "est_off": kind.estimate_off,
            "stretch": kind.stretch,
            "cancel": kind.cancel,
        },
    }


def spread(distribution: LogNormal, factor=1):
    return {
        "mean": distribution.mean * factor,
        "spread": distribution.spread,
        "max": distribution.most * factor,
    }


def users_site(site, times):
    """Return a users' file that agrees with ``site``, played at half of its rate."""
    workers = site.workers
    per_zone = [4, 4, 3]
    return {
        "thin": 0.5,
        "services": [
            {
                "name": "engraving",
                "speeds": times,
                "node": {
                    "rack": workers.per_rack,
                    "cpu": workers.cores * 1000,
                    "mem_mb": workers.memory_mb,
                    "gpu": workers.gpus,
                },
            }
        ],
        "machines": [{"app": "engraving", "count": count} for count in per_zone],
        "timing": {
            "notice_ms": site.notice_seconds * 1000,
            "stop_ms": site.stop_seconds * 1000,
            "restore_ms": site.restore_seconds * 1000,
            "save_s": site.save_seconds,
            "far_x": site.far_factor,
        },
        "prices": {"waste": site.price},
        "goal": dict(
            zip(
                ("mean", "window", "class", "zone", "tenant"), site.weights, strict=True
            )
        ),
        "tenants": {
            "count": site.accounts.count,
            "skew": site.accounts.skew,
            "sure": site.accounts.guaranteed,
        },
        "classes": [users_kind(kind) for kind in site.kinds],
        "traffic": [
            {"per_s": 2 * kind.per_second, "mix": {kind.name: 1.0}}
            for kind in site.kinds
        ],
    }


def test_site_that_stands_for_the_users_site_has_no_differences():
    site = load_site(ENGRAVE)
    assert differences(users_site(site, [0.7, 0.7, 1.7]), site) == []


def test_speeds_given_as_times_are_not_taken_for_rates():
    site = load_site(ENGRAVE)
    times = msgspec.structs.replace(site.workers, speeds=(0.7, 0.7, 1.7))
    inverted = msgspec.structs.replace(site, workers=times)
    (line,) = differences(users_site(site, [0.7, 0.7, 1.7]), inverted)
    assert line.startswith("workers.speeds: (0.7, 0.7, 1.7)")


@pytest.mark.parametrize("field", ["price", "notice_seconds", "far_factor"])
def test_figure_that_differs_is_named(field):
    site = load_site(ENGRAVE)
    users = users_site(site, [0.7, 0.7, 1.7])
    (line,) = differences(users, msgspec.structs.replace(site, **{field: 9.5}))
    assert line.startswith(f"{field}: 9.5")
