"""Request bodies, JSON responses and problem documents of the HTTP interface."""

from typing import Any

import eventlet
import falcon
import msgspec
from eventlet.wsgi import ChunkReadError
from loguru import logger

from sequoiachute.errors import describe_failure
from sequoiachute.settings import HttpSettings
from sequoiachute.transport.problems import PROBLEM_JSON, problem_body

READ_CHUNK_BYTES = 64 * 1024

# Remedies for the errors that falcon itself raises.
_REMEDIES = {
    400: "correct the request; see /openapi.json",
    404: "see /openapi.json for the paths",
    405: "use a method listed in the Allow header",
}


def problem(
    status: int, title: str, remedy: str, ran: bool | None = False
) -> falcon.HTTPError:
    """Return an HTTP error with a remedy for the caller.

    ``ran`` is false if the request certainly did not run, ``None`` if that is
    unknown.
    """
    return ProblemError(status, title, remedy, ran)


class ProblemError(falcon.HTTPError):
    """HTTP error with an ``application/problem+json`` body.

    Parameters
    ----------
    remedy : str
        What the caller can do about it.
    ran : bool, optional
        Whether the request ran; ``None`` if that is unknown.
    retry_after : float
        Seconds after which to retry; 0 sends no ``Retry-After``.
    """

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
        """Return the problem document."""
        status = falcon.http_status_to_code(self.status)
        return problem_body(
            status, self.title, self.description, self.ran, self.retry_after
        )


def write_problem(
    request: falcon.Request, response: falcon.Response, error: falcon.HTTPError
) -> None:
    """Serialise an error as a problem document, including falcon's own."""
    response.content_type = PROBLEM_JSON
    if isinstance(error, ProblemError):
        response.data = msgspec.json.encode(error.to_dict())
        return
    status = falcon.http_status_to_code(error.status)
    remedy = error.description or _REMEDIES.get(status, _REMEDIES[400])
    body = problem_body(status, error.title or "refused", remedy)
    response.data = msgspec.json.encode(body)


def write_json(response: falcon.Response, body: Any) -> None:
    """Respond with ``body`` as JSON, encoding named tuples as objects."""
    response.content_type = falcon.MEDIA_JSON
    response.data = msgspec.json.encode(_to_builtins(body))


def _to_builtins(value: Any) -> Any:
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {key: _to_builtins(item) for key, item in value._asdict().items()}
    if isinstance(value, list | tuple):
        return [_to_builtins(item) for item in value]
    return value


def read_body(request: falcon.Request, limit: int) -> bytes:
    """Return the complete body, sent with a length or in chunks.

    Raises
    ------
    ProblemError
        413 if it exceeds ``limit`` bytes, 408 if it does not arrive in time
        and 400 if it is incomplete.
    """
    if (request.content_length or 0) > limit:
        raise _too_large(limit)
    chunks: list[bytes] = []
    web = request.env.get("sequoiachute.web")
    seconds = (web.limits if web else HttpSettings()).body_seconds
    try:
        with eventlet.Timeout(seconds):
            size = _read_chunks(request, limit, chunks)
    except eventlet.Timeout as error:
        remedy = f"send the body within {seconds:g} s"
        raise problem(408, "the body did not arrive in time", remedy) from error
    except (OSError, ChunkReadError) as error:
        raise problem(400, "the body is incomplete", "send all of it") from error
    if size < (request.content_length or 0):
        raise problem(400, "the body is shorter than Content-Length", "send all of it")
    return b"".join(chunks)


def _read_chunks(request: falcon.Request, limit: int, chunks: list[bytes]) -> int:
    size = 0
    while True:
        chunk = request.stream.read(READ_CHUNK_BYTES)
        if not chunk:
            return size
        size += len(chunk)
        if size > limit:
            raise _too_large(limit)
        chunks.append(chunk)


def _too_large(limit: int) -> falcon.HTTPError:
    return problem(413, "the body is too large", f"send at most {limit} bytes")


def create_app(routes: dict[str, Any], middleware: Any = None) -> falcon.App:
    """Return a WSGI application that serves ``routes``, by URI template."""
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
    remedy = "retry with the same Idempotency-Key to get the outcome"
    raise ProblemError(500, "internal error", remedy, None) from error
