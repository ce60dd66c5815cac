"""WSGI server and the errors of the HTTP interface."""

from collections.abc import Callable
from typing import Any

import eventlet
import falcon
import msgspec
from eventlet import wsgi

MAX_CONNECTIONS = 4096
KEEPALIVE_SECONDS = 65.0


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
        body = obj_type(
            title=self.title,
            status=falcon.http_status_to_code(self.status),
            remedy=self.description,
            ran=self.ran,
        )
        if self.retry_after:
            body["retry_after"] = self.retry_after
        return body


def write_problem(
    request: falcon.Request, response: falcon.Response, error: Any
) -> None:
    """Serialise a refusal."""
    response.content_type = "application/problem+json"
    response.data = msgspec.json.encode(error.to_dict())


def write_json(response: falcon.Response, body: Any) -> None:
    """Answer with ``body`` as JSON."""
    response.content_type = falcon.MEDIA_JSON
    response.data = msgspec.json.encode(body)


def create_app(routes: dict[str, Any]) -> falcon.App:
    """Return a WSGI application that serves ``routes``."""
    app = falcon.App()
    app.set_error_serializer(write_problem)
    for template, resource in routes.items():
        app.add_route(template, resource)
    return app


class WebServer:
    """Serves a WSGI application on one address."""

    def __init__(self, app: Callable[..., Any], host: str, port: int) -> None:
        self._app = app
        self._listener = eventlet.listen((host, port), backlog=1024)
        self._task: Any = None

    def start(self) -> None:
        """Serve in a task of its own."""
        self._task = eventlet.spawn(
            wsgi.server,
            self._listener,
            self._app,
            log_output=False,
            max_size=MAX_CONNECTIONS,
            keepalive=KEEPALIVE_SECONDS,
            socket_timeout=KEEPALIVE_SECONDS,
        )

    def stop(self) -> None:
        """Accept no more connections."""
        if self._task is not None:
            self._task.kill()
        self._listener.close()
