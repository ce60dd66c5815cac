"""Answers and refusals of the HTTP interface."""

from typing import Any

import eventlet
import falcon
import msgspec
from eventlet.wsgi import ChunkReadError
from loguru import logger

from sequoiachute.errors import describe_failure
from sequoiachute.settings import HttpSettings

READ_BYTES = 64 * 1024
PROBLEM_JSON = "application/problem+json"

# Remedies for the refusals that falcon itself raises.
_REMEDIES = {
    400: "mend the request; see /openapi.json",
    404: "see /openapi.json for the paths",
    405: "use a method that the Allow header lists",
}


def problem(
    status: int, title: str, remedy: str, ran: bool | None = False
) -> falcon.HTTPError:
    """Return an HTTP error that names its remedy.

    ``ran`` is false where certainly nothing ran and ``None`` where that is
    not known.
    """
    return ProblemError(status, title, remedy, ran)


class ProblemError(falcon.HTTPError):
    """A refusal as ``application/problem+json``."""

    def __init__(
        self,
        status: int,
        title: str,
        remedy: str,
        ran: bool | None,
        retry_after: float = 0.0,
    ) -> None:
        headers = {}
        if retry_after:
            headers["Retry-After"] = str(max(1, round(retry_after)))
        super().__init__(status, title=title, description=remedy, headers=headers)
        self.ran = ran
        self.retry_after = retry_after

    def to_dict(self, obj_type: Any = dict) -> Any:
        """Return the body of the refusal."""
        status = falcon.http_status_to_code(self.status)
        return problem_body(
            status, self.title, self.description, self.ran, self.retry_after
        )


def problem_body(
    status: int,
    title: str,
    remedy: str,
    ran: bool | None = False,
    retry_after: float = 0.0,
) -> dict[str, Any]:
    """Return the body of a refusal."""
    body: dict[str, Any] = {
        "title": title,
        "status": status,
        "remedy": remedy,
        "ran": ran,
    }
    if retry_after:
        body["retry_after"] = retry_after
    return body


def write_problem(
    request: falcon.Request, response: falcon.Response, error: falcon.HTTPError
) -> None:
    """Serialise a refusal, also one that falcon itself has raised."""
    response.content_type = PROBLEM_JSON
    if isinstance(error, ProblemError):
        response.data = msgspec.json.encode(error.to_dict())
        return
    status = falcon.http_status_to_code(error.status)
    remedy = error.description or _REMEDIES.get(status, _REMEDIES[400])
    body = problem_body(status, error.title or "refused", remedy)
    response.data = msgspec.json.encode(body)


def write_json(response: falcon.Response, body: Any) -> None:
    """Answer with ``body`` as JSON, its named tuples as objects."""
    response.content_type = falcon.MEDIA_JSON
    response.data = msgspec.json.encode(_named(body))


def _named(value: Any) -> Any:
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {key: _named(item) for key, item in value._asdict().items()}
    if isinstance(value, list | tuple):
        return [_named(item) for item in value]
    return value


def read_body(request: falcon.Request, limit: int) -> bytes:
    """Return the whole body, sent with a length or in chunks.

    Raises
    ------
    ProblemError
        413 if it is larger than ``limit`` bytes, 408 if it does not arrive in
        time and 400 if it breaks off.
    """
    if (request.content_length or 0) > limit:
        raise _too_large(limit)
    parts: list[bytes] = []
    web = request.env.get("sequoiachute.web")
    seconds = (web.limits if web else HttpSettings()).body_seconds
    try:
        with eventlet.Timeout(seconds):
            size = _read_parts(request, limit, parts)
    except eventlet.Timeout as error:
        remedy = f"send the body within {seconds:g} s"
        raise problem(408, "the body did not arrive in time", remedy) from error
    except (OSError, ChunkReadError) as error:
        raise problem(400, "the body broke off", "send it whole") from error
    if size < (request.content_length or 0):
        raise problem(400, "the body is shorter than Content-Length", "send it whole")
    return b"".join(parts)


def _read_parts(request: falcon.Request, limit: int, parts: list[bytes]) -> int:
    size = 0
    while True:
        part = request.stream.read(READ_BYTES)
        if not part:
            return size
        size += len(part)
        if size > limit:
            raise _too_large(limit)
        parts.append(part)


def _too_large(limit: int) -> falcon.HTTPError:
    return problem(413, "the body is too large", f"send at most {limit} bytes")


def create_app(routes: dict[str, Any], middleware: Any = None) -> falcon.App:
    """Return a WSGI application that serves ``routes``."""
    app = falcon.App(middleware=middleware)
    app.set_error_serializer(write_problem)
    app.add_error_handler(Exception, _answer_internal_error)
    for template, resource in routes.items():
        app.add_route(template, resource)
    return app


def _answer_internal_error(
    request: falcon.Request, response: falcon.Response, error: Exception, params: Any
) -> None:
    if isinstance(error, falcon.HTTPError | falcon.HTTPStatus):
        raise error
    logger.error("{} failed: {}", request.uri_template, describe_failure(error))
    remedy = "ask again with the same Idempotency-Key to learn what happened"
    raise ProblemError(500, "internal error", remedy, None) from error
