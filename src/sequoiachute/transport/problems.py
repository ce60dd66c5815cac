"""Problem documents of HTTP responses; needs no web framework."""

from typing import Any

PROBLEM_JSON = "application/problem+json"


def problem_body(
    status: int,
    title: str,
    remedy: str,
    ran: bool | None = False,
    retry_after: float = 0.0,
) -> dict[str, Any]:
    """Return the fields of a problem document."""
    body: dict[str, Any] = {
        "title": title,
        "status": status,
        "remedy": remedy,
        "ran": ran,
    }
    if retry_after:
        body["retry_after"] = retry_after
    return body
