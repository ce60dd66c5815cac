"""Request identities, access log lines and request metrics."""

from typing import Any
from uuid import uuid4

import falcon
from loguru import logger

from sequoiachute import clock
from sequoiachute.http.metrics import REQUEST_SECONDS, REQUESTS_TOTAL
from sequoiachute.state.metrics import Metrics

REQUEST_ID = "sequoiachute.request_id"
_STARTED_AT = "sequoiachute.began_at"
UNKNOWN_ROUTE = "unknown"


def request_id_of(request: falcon.Request) -> str:
    """Return the identity of ``request``, or a new one if none was assigned."""
    return request.env.get(REQUEST_ID) or uuid4().hex


class RequestMiddleware:
    """Falcon middleware that times, counts and logs every request."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def process_request(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Record the start time and return the request identity in a header."""
        request.env[_STARTED_AT] = clock.now()
        response.set_header("X-Request-Id", request.env[REQUEST_ID])

    def process_response(
        self,
        request: falcon.Request,
        response: falcon.Response,
        resource: Any,
        succeeded: bool,
    ) -> None:
        """Update the request metrics and log the response status."""
        now = clock.now()
        seconds = now - request.env[_STARTED_AT]
        route = request.uri_template or UNKNOWN_ROUTE
        method = request.method if request.method in falcon.HTTP_METHODS else "other"
        status = falcon.http_status_to_code(response.status)
        labels = {"route": route, "method": method}
        self._metrics.count(REQUESTS_TOTAL, status=str(status), **labels)
        self._metrics.observe(REQUEST_SECONDS, seconds, now, route=route)
        access_log = logger.bind(status=status, milliseconds=round(1000 * seconds, 1))
        access_log.log("WARNING" if status >= 500 else "DEBUG", "{} {}", method, route)


def with_request_id(app: Any) -> Any:
    """Wrap ``app`` so that each request has an identity, shown in its log lines."""

    def serve(environ: dict[str, Any], start_response: Any) -> Any:
        environ[REQUEST_ID] = uuid4().hex
        with logger.contextualize(request=environ[REQUEST_ID]):
            return app(environ, start_response)

    return serve
