"""The platform's advice service and machines, as the product's types."""

import msgspec
from result import Err, Ok, Result

from sequoiachute.platform.http import (
    HttpAnswer,
    HttpCaller,
    HttpFailure,
    decode_object,
    json_headers,
)
from sequoiachute.platform.store import MetadataStore
from sequoiachute.transport.machines import Advice, PlatformMachine

ADVICE_SECONDS = 2.0  # some ms for each worker named; calls are served in turn
CALL_SECONDS = 1.0
STATUS_TOPIC = "status"


class AdviceService:
    """Calls the service that knows where steps may run."""

    def __init__(self, address: str) -> None:
        self._http = HttpCaller(address, 1)

    def advise(self, step: str, workers: tuple[str, ...]) -> Result[Advice, str]:
        """Return advice on ``workers``."""
        data = msgspec.json.encode({"step": step, "workers": workers})
        answer = self._http.call(
            "POST", "/v1/advise", ADVICE_SECONDS, data, json_headers()
        )
        body = _body_of(answer)
        if body.is_err():
            return body
        fields = body.unwrap()
        try:
            tickets = {str(row[0]): str(row[1]) for row in fields["good"]}
            return Ok(Advice(tickets, float(fields["valid_ms"]) / 1000))
        except (KeyError, TypeError, ValueError, IndexError) as error:
            return Err(f"unreadable advice: {type(error).__name__}")


class CloudMachines:
    """Calls the service that lists machines and services them."""

    def __init__(self, address: str, store: MetadataStore) -> None:
        self._http = HttpCaller(address, 2)
        self._store = store

    def machines(self) -> Result[tuple[PlatformMachine, ...], str]:
        """Return every machine, page by page."""
        found: list[PlatformMachine] = []
        token = ""
        while True:
            path = "/v1/machines" + (f"?page_token={token}" if token else "")
            body = _body_of(self._http.call("GET", path, CALL_SECONDS))
            if body.is_err():
                return body
            fields = body.unwrap()
            try:
                found.extend(_decode_machine(item) for item in fields["machines"])
            except (KeyError, TypeError) as error:
                return Err(f"unreadable list: {type(error).__name__}")
            token = fields.get("next_token")
            if not token:
                return Ok(tuple(found))

    def begin_upkeep(
        self, machine: str, wave: int, holder: str, term: int
    ) -> Result[None, str]:
        """Take a machine down for its upkeep."""
        headers = json_headers()
        headers["X-Duty-Holder"] = holder
        headers["X-Fence-Token"] = str(term)
        data = msgspec.json.encode({"machine": machine, "wave": wave})
        answer = self._http.call(
            "POST", "/v1/machine-upkeep", CALL_SECONDS, data, headers
        )
        body = _body_of(answer)
        return body if body.is_err() else Ok(None)

    def publish_wave_state(self, wave: int, complete: bool) -> bool:
        """Write how a wave stands where operators read it."""
        state = "complete" if complete else "active"
        value = msgspec.json.encode({"state": state})
        return self._store.append(STATUS_TOPIC, [(f"wave/{wave}", value)]).is_ok()


def _decode_machine(item: dict) -> PlatformMachine:
    return PlatformMachine(
        name=str(item["machine"]),
        worker_id=str(item.get("id") or ""),
        zone=str(item.get("zone") or ""),
        is_up=item.get("state") == "up",
        in_upkeep=item.get("state") == "upkeep",
    )


def _body_of(answer: HttpAnswer | HttpFailure) -> Result[dict, str]:
    if isinstance(answer, HttpFailure):
        return Err(answer.reason)
    if answer.status == 200:
        return Ok(decode_object(answer.body))
    reason = decode_object(answer.body).get("reason", "")
    return Err(f"answered {answer.status} {reason}".strip())
