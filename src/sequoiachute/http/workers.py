"""``GET /v1/workers``: the workers known to an entry instance."""

import falcon

from sequoiachute import clock
from sequoiachute.coordination.entry import Entry
from sequoiachute.http.keys import Keyring
from sequoiachute.transport.web import write_json


class WorkersResource:
    """Lists the workers that announced themselves recently."""

    def __init__(self, entry: Entry, keyring: Keyring) -> None:
        self._entry = entry
        self._keyring = keyring

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """List the workers with their location and free capacity."""
        self._keyring.require_operator(request)
        workers = []
        for worker in self._entry.fleet.live(clock.now()):
            workers.append(
                {
                    "worker_id": worker.worker_id,
                    "data_centre": worker.data_centre,
                    "rack": worker.rack,
                    "accelerators": worker.accelerators,
                    "free_accelerators": len(worker.free_accelerators),
                    "free_slots": worker.free_slots,
                    "open_connections": worker.open_connections,
                    "speed_class": worker.speed_class,
                    "leaving": worker.leaving,
                    "config_offset": worker.config_offset,
                }
            )
        write_json(response, {"workers": workers})
