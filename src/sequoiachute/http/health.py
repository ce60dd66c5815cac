"""Liveness and readiness probes for the load balancer."""

import falcon

from sequoiachute.coordination.entry import Entry
from sequoiachute.transport.web import write_json


class LivenessResource:
    """Returns 200 while the process runs."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Report that the process is alive."""
        write_json(response, {"alive": True})


class ReadinessResource:
    """Returns 200 while the entry accepts requests, otherwise 503."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Report whether the load balancer may send requests."""
        ready = self._entry.is_ready
        response.status = 200 if ready else 503
        write_json(response, {"ready": ready})
