"""Compares a replay's site with the users' file of the site that it stands for.

``python -m benchmarks.site_figures USERS.toml SITE.yaml`` prints the figures that
differ and exits with 1 if any do.
"""

import sys
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from sequoiachute.replay.site import ReplaySite, load_site

GANG_SHARE = 0.6  # of the jobs that may be gangs, seen in logs of played days


def users_figures(site: dict[str, Any]) -> dict[str, Any]:
    """Return the figures of a users' site file under the names of ``ReplaySite``.

    Their rates and times are those of a site that is played in full. Their speeds
    are factors of a task's time, not of its rate.
    """
    share = site.get("thin", 1.0)
    service = site["services"][0]
    node = service["node"]
    timing = site["timing"]
    hosts = [row for row in site["machines"] if row.get("app") == service["name"]]
    figures: dict[str, Any] = {
        "price": site["prices"]["waste"],
        "notice_seconds": timing["notice_ms"] / 1000,
        "stop_seconds": timing["stop_ms"] / 1000,
        "restore_seconds": timing["restore_ms"] / 1000,
        "save_seconds": timing["save_s"],
        "far_factor": timing["far_x"],
        "weights": tuple(
            site["goal"][part] for part in ("mean", "window", "class", "zone", "tenant")
        ),
        "workers.count": sum(row["count"] for row in hosts),
        "workers.zones": len(hosts),
        "workers.per_rack": node["rack"],
        "workers.cores": node["cpu"] // 1000,
        "workers.memory_mb": node["mem_mb"],
        "workers.gpus": node["gpu"],
        "workers.speeds": tuple(round(1 / x, 2) for x in service["speeds"]),
        "accounts.count": site["tenants"]["count"],
        "accounts.skew": site["tenants"]["skew"],
        "accounts.guaranteed": site["tenants"]["sure"],
    }
    for number, kind in enumerate(site["classes"]):
        for name, figure in _kind_figures(kind, site, share).items():
            figures[f"kinds.{number}.{name}"] = figure
    return figures


def _kind_figures(
    kind: dict[str, Any], site: dict[str, Any], share: float
) -> dict[str, Any]:
    jobs = kind["jobs"]
    rate = 0.0
    for row in site["traffic"]:
        mix = row["mix"]
        rate += row["per_s"] * mix.get(kind["name"], 0.0) / sum(mix.values())
    work, width, steps = kind["work_ms"], jobs["width"], jobs["steps"]
    return {
        "per_second": float(f"{share * rate:.3g}"),
        "worth": kind["worth"],
        "late_worth": kind["late_worth"],
        "priority": kind["priority"],
        "attempts": kind["attempts"],
        "stretch": jobs["stretch"],
        "slo_seconds": kind["aim_ms"] / 1000,
        "seconds.mean": work["mean"] / share / 1000,
        "seconds.spread": work["spread"],
        "seconds.most": work["max"] / share / 1000,
        "tasks.mean": width["mean"],
        "tasks.spread": width["spread"],
        "tasks.most": width["max"],
        "steps.mean": steps["mean"],
        "steps.spread": steps.get("spread", 0.0),
        "cores": jobs["cpu"]["mean"] / 1000,
        "memory_mb": int(jobs["mem_mb"]["mean"]),
        "gpus": tuple(jobs["gpu"]),
        "gang": GANG_SHARE * jobs.get("gang", 0.0),
        "same_rack": jobs.get("tight", 0.0),
        "checkpoints": jobs.get("saves", 0.0),
        "uneven": jobs["uneven"],
        "estimate_off": jobs["est_off"],
        "error_share": kind["error_share"],
        "hopeless": kind.get("poison", 0.0),
        "cancel": jobs.get("cancel", 0.0),
    }


def differences(users: dict[str, Any], site: ReplaySite) -> list[str]:
    """Return a line for each figure that differs."""
    lines = []
    for path, expected in users_figures(users).items():
        value: Any = msgspec.to_builtins(site)
        for name in path.split("."):
            value = value[int(name)] if name.isdigit() else value[name]
        found = tuple(value) if isinstance(value, list) else value
        if found != expected:
            lines.append(f"{path}: {found}, the users' {expected}")
    return lines


def main() -> int:
    """Print the differences; return the exit status."""
    users = tomllib.loads(Path(sys.argv[1]).read_text())
    lines = differences(users, load_site(sys.argv[2]))
    print("\n".join(lines))
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main())
