"""Validation of a catalogue before it is published."""

import math
import re
from typing import Any

import msgspec

from sequoiachute.errors import CatalogueError
from sequoiachute.protocol.catalogue import Account, Catalogue, JobClass, Shape
from sequoiachute.protocol.strict import convert_strictly

MAX_ACCOUNTS = 10_000
MAX_CLASSES = 100
MAX_DATA_CENTRES = 1000
MAX_GUARANTEES = 64
MAX_ACCELERATORS = 4096
MAX_LIMIT = 1_000_000
MAX_OBJECTIVE_SECONDS = 30 * 24 * 3600.0
MAX_WEIGHT = 1000.0
MAX_PRIORITY = 1000
MAX_OWNER_LENGTH = 200

_NAME = re.compile(r"[\w.-]{1,64}", re.ASCII)


def check_catalogue(value: Any) -> Catalogue:
    """Return ``value`` as a catalogue.

    Raises
    ------
    CatalogueError
        If a key is refused. The message names its path, the value and the remedy.
    """
    try:
        catalogue: Catalogue = convert_strictly(value, Catalogue)
    except msgspec.ValidationError as error:
        raise CatalogueError(f"catalogue refused: {error}; correct it") from error
    problems = _problems(catalogue)
    if problems:
        raise CatalogueError("catalogue refused: " + "; ".join(problems))
    return catalogue


def _problems(catalogue: Catalogue) -> list[str]:
    problems = []
    bounds = {
        "classes": MAX_CLASSES,
        "accounts": MAX_ACCOUNTS,
        "data_centres": MAX_DATA_CENTRES,
    }
    for section, limit in bounds.items():
        names = catalogue[section]
        if len(names) > limit:
            problems.append(f"{section}: {len(names)} entries, at most {limit}")
        for name in names:
            if not _NAME.fullmatch(name):
                remedy = "use 1 to 64 letters, digits, dots, dashes or underscores"
                problems.append(f"{section}: invalid name {name!r}, {remedy}")
    for name, job_class in catalogue["classes"].items():
        problems += _class_problems(f"classes.{name}", job_class)
    for name, account in catalogue["accounts"].items():
        problems += _account_problems(f"accounts.{name}", account, catalogue)
    for name, data_centre in catalogue["data_centres"].items():
        if not _NAME.fullmatch(data_centre["region"]):
            region = data_centre["region"]
            problems.append(f"data_centres.{name}.region: invalid name {region!r}")
    return problems


def _class_problems(path: str, job_class: JobClass) -> list[str]:
    problems = _range_problems(
        f"{path}.priority", job_class["priority"], 0, MAX_PRIORITY
    )
    problems += _positive_problems(
        f"{path}.objective_seconds",
        job_class["objective_seconds"],
        MAX_OBJECTIVE_SECONDS,
    )
    if "request_seconds" in job_class:
        seconds = job_class["request_seconds"]
        seconds_path = f"{path}.request_seconds"
        problems += _positive_problems(seconds_path, seconds, MAX_OBJECTIVE_SECONDS)
    for key in ("objective_share", "guarantee_share", "answer_share"):
        problems += _positive_problems(f"{path}.{key}", job_class.get(key, 1.0), 1.0)
    return problems


def _account_problems(path: str, account: Account, catalogue: Catalogue) -> list[str]:
    problems = []
    if not account["owner"].strip() or len(account["owner"]) > MAX_OWNER_LENGTH:
        remedy = f"write 1 to {MAX_OWNER_LENGTH} characters"
        problems.append(f"{path}.owner: {account['owner'][:20]!r} refused, {remedy}")
    if account["job_class"] not in catalogue["classes"]:
        known_classes = ", ".join(sorted(catalogue["classes"])) or "none is listed"
        job_class = account["job_class"]
        problems.append(
            f"{path}.job_class: unknown class {job_class!r}, use: {known_classes}"
        )
    problems += _positive_problems(
        f"{path}.weight", account.get("weight", 1.0), MAX_WEIGHT
    )
    for key, limit in account.get("limits", {}).items():
        problems += _range_problems(f"{path}.limits.{key}", limit, 0, MAX_LIMIT)
    guarantees = account.get("guarantees", [])
    if len(guarantees) > MAX_GUARANTEES:
        count = len(guarantees)
        problems.append(f"{path}.guarantees: {count} shapes, at most {MAX_GUARANTEES}")
    for index, shape in enumerate(guarantees):
        problems += _shape_problems(f"{path}.guarantees[{index}]", shape)
    return problems


def _shape_problems(path: str, shape: Shape) -> list[str]:
    accelerators = shape["accelerators"]
    problems = _range_problems(
        f"{path}.accelerators", accelerators, 1, MAX_ACCELERATORS
    )
    per_worker = shape.get("per_worker", 1)
    problems += _range_problems(f"{path}.per_worker", per_worker, 1, MAX_ACCELERATORS)
    if not _NAME.fullmatch(shape.get("speed_class", "standard")):
        problems.append(f"{path}.speed_class: invalid name {shape['speed_class']!r}")
    return problems


def _range_problems(
    path: str, value: float, minimum: float, maximum: float
) -> list[str]:
    if minimum <= value <= maximum:
        return []
    return [f"{path}: {value} refused, use {minimum:g} to {maximum:g}"]


def _positive_problems(path: str, value: float, maximum: float) -> list[str]:
    if math.isfinite(value) and 0 < value <= maximum:
        return []
    return [f"{path}: {value} refused, use a number above 0 and up to {maximum:g}"]
