"""The platform's service for machines, after PROTOCOL.md, in memory."""

from collections.abc import Callable

from wire import Reply, Request, serve


class Cloud:
    """Lists the machines of the workers, all of them on side machines.

    It refuses their upkeep with 409, ``busy``. ``list_workers`` returns machine, worker
    ID, zone and labels of each.
    """

    def __init__(
        self,
        address: str,
        list_workers: Callable[[], list[tuple[str, str, str, list[str]]]],
        record: Callable[..., None],
    ) -> None:
        self._list_workers = list_workers
        self._record = record
        serve(address, self._handle)

    def _handle(self, request: Request) -> Reply:
        if request.path == "/v1/machines":
            return self._list()
        if request.path == "/v1/machine-upkeep":
            holder = request.headers.get("X-Duty-Holder", "")
            name = request.json().get("machine")
            self._record(
                "cloud",
                f"upkeep of {name}",
                holder=holder,
                fence=int(request.headers.get("X-Fence-Token") or 0),
                got="409 busy",
            )
            return Reply(409, {"reason": "busy"})
        return Reply(404)

    def _list(self) -> Reply:
        rows = [
            {
                "machine": name,
                "pool": "engrave",
                "state": "up",
                "zone": zone,
                "labels": labels,
                "capacity": {"cpu": 64000, "mem_mb": 262144, "gpus": 8},
                "id": worker,
            }
            for name, worker, zone, labels in self._list_workers()
        ]
        return Reply(200, {"machines": rows, "next_token": None})
