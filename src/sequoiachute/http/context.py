"""Gives each HTTP request an identity, log lines that carry it and a metric."""

from typing import Any
from uuid import uuid4

import falcon
from loguru import logger

from sequoiachute import clock
from sequoiachute.http.metrics import REQUEST_SECONDS, REQUESTS
from sequoiachute.state.metrics import Metrics

REQUEST_ID = "sequoiachute.request_id"
_BEGAN_AT = "sequoiachute.began_at"
UNKNOWN_ROUTE = "unknown"


def request_id_of(request: falcon.Request) -> str:
    """Return the identity of ``request``."""
    return request.env.get(REQUEST_ID) or uuid4().hex


class RequestContext:
    """Middleware of the application."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def process_request(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Name the request in its answer."""
        request.env[_BEGAN_AT] = clock.now()
        response.set_header("X-Request-Id", request.env[REQUEST_ID])

    def process_response(
        self,
        request: falcon.Request,
        response: falcon.Response,
        resource: Any,
        succeeded: bool,
    ) -> None:
        """Count the request and log how it was answered."""
        now = clock.now()
        seconds = now - request.env[_BEGAN_AT]
        route = request.uri_template or UNKNOWN_ROUTE
        method = request.method if request.method in falcon.HTTP_METHODS else "other"
        status = falcon.http_status_to_code(response.status)
        labels = {"route": route, "method": method}
        self._metrics.count(REQUESTS, status=str(status), **labels)
        self._metrics.observe(REQUEST_SECONDS, seconds, now, route=route)
        bound = logger.bind(status=status, milliseconds=round(1000 * seconds, 1))
        bound.log("WARNING" if status >= 500 else "DEBUG", "{} {}", method, route)


def with_request_id(app: Any) -> Any:
    """Return ``app`` with an identity for each request, bound to its log lines."""

    def serve(environ: dict[str, Any], start_response: Any) -> Any:
        environ[REQUEST_ID] = uuid4().hex
        with logger.contextualize(request=environ[REQUEST_ID]):
            return app(environ, start_response)

    return serve
