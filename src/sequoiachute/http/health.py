"""Liveness and readiness for the balancer."""

import falcon

from sequoiachute.coordination.entry import Entry
from sequoiachute.transport.web import write_json


class LivenessResource:
    """Answers while the process runs."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Say that the process is alive."""
        write_json(response, {"alive": True})


class ReadinessResource:
    """Answers 200 while requests may be sent here."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Say whether the balancer may send requests."""
        ready = self._entry.is_ready
        response.status = 200 if ready else 503
        write_json(response, {"ready": ready})
