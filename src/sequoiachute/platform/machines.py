"""HTTP clients of the platform's advice and machine services."""

from typing import Any
from urllib.parse import urlencode

import msgspec
from loguru import logger
from result import Err, Ok, Result

from sequoiachute.platform.fields import (
    FieldError,
    fields,
    items,
    number,
    required,
    text,
    texts,
)
from sequoiachute.platform.http import (
    HttpClient,
    HttpFailure,
    HttpResponse,
    decode_object,
    json_headers,
    read_reason,
)
from sequoiachute.platform.store import MetadataStore
from sequoiachute.transport.machines import (
    Advice,
    MachineListing,
    PlatformMachine,
    UpkeepError,
)

# The service takes a few ms per worker asked about and serves one call at a time.
ADVICE_TIMEOUT_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 1.0
STATUS_TOPIC = "status"


class AdviceService:
    """Calls the service that decides where steps may run."""

    def __init__(self, address: str) -> None:
        self._http = HttpClient(address, 1)

    def advise(self, step: str, workers: tuple[str, ...]) -> Result[Advice, str]:
        """Return tickets for those of ``workers`` that may run ``step``."""
        data = msgspec.json.encode({"step": step, "workers": workers})
        response = self._http.call(
            "POST", "/v1/advise", ADVICE_TIMEOUT_SECONDS, data, json_headers()
        )
        body = _decode_response(response)
        if body.is_err():
            return body
        answer = body.unwrap()
        try:
            valid_seconds = number(required(answer, "valid_ms")) / 1000
            rows = items(required(answer, "good"))
        except FieldError as error:
            return Err(f"invalid advice: {error}")
        return Ok(Advice(_decode_tickets(rows), valid_seconds))


REFUSALS = (400, 409, 429)  # statuses of an upkeep that has not begun


class CloudMachines:
    """Calls the service that lists machines and carries out their upkeep."""

    def __init__(self, address: str, store: MetadataStore) -> None:
        self._http = HttpClient(address, 2)
        self._store = store

    def machines(self) -> Result[MachineListing, str]:
        """Return every machine of all pages; leave out those that can't be read."""
        machines: list[PlatformMachine] = []
        row_count = 0
        token = ""
        tokens = set()
        while True:
            query = "?" + urlencode({"page_token": token}) if token else ""
            path = "/v1/machines" + query
            body = _decode_response(self._http.call("GET", path, CALL_TIMEOUT_SECONDS))
            if body.is_err():
                return body
            page = body.unwrap()
            try:
                rows = items(required(page, "machines"))
                token = text(page.get("next_token") or "")
            except FieldError as error:
                return Err(f"invalid machine list: {error}")
            machines += _decode_machines(rows)
            row_count += len(rows)
            if not token:
                is_whole = len(machines) == row_count
                return Ok(MachineListing(tuple(machines), is_whole))
            if token in tokens:
                return Err("invalid machine list: a page was repeated")
            tokens.add(token)

    def begin_upkeep(
        self, machine: str, wave: int, holder: str, term: int
    ) -> Result[None, UpkeepError]:
        """Take a machine down for upkeep."""
        headers = json_headers()
        headers["X-Duty-Holder"] = holder
        headers["X-Fence-Token"] = str(term)
        data = msgspec.json.encode({"machine": machine, "wave": wave})
        response = self._http.call(
            "POST", "/v1/machine-upkeep", CALL_TIMEOUT_SECONDS, data, headers
        )
        body = _decode_response(response)
        if body.is_ok():
            return Ok(None)
        is_answered = isinstance(response, HttpResponse)
        refused = is_answered and response.status in REFUSALS
        return Err(UpkeepError(body.unwrap_err(), refused))

    def publish_wave_state(self, wave: int, complete: bool) -> bool:
        """Write a wave's state to the status topic, which operators read."""
        state = "complete" if complete else "active"
        value = msgspec.json.encode({"state": state})
        return self._store.append(STATUS_TOPIC, [(f"wave/{wave}", value)]).is_ok()


def _decode_tickets(rows: list[Any]) -> dict[str, str]:
    """Return tickets by worker; rows of another form name no worker."""
    tickets = {}
    for row in rows:
        try:
            worker_id, ticket = texts(row)[:2]
        except ValueError:
            logger.warning("odd row of advice left out")
            continue
        tickets[worker_id] = ticket
    return tickets


def _decode_machines(rows: list[Any]) -> list[PlatformMachine]:
    machines = []
    for row in rows:
        try:
            machines.append(_decode_machine(fields(row)))
        except FieldError as error:
            logger.bind(reason=str(error)).warning("odd machine left out")
    return machines


def _decode_machine(item: dict[str, Any]) -> PlatformMachine:
    name = text(required(item, "machine"))
    if not name:
        raise FieldError("send the machine's name")
    state = text(item.get("state") or "")
    return PlatformMachine(
        name=name,
        worker_id=text(item.get("id") or ""),
        zone=text(item.get("zone") or ""),
        is_up=state == "up",
        in_upkeep=state == "upkeep",
    )


def _decode_response(response: HttpResponse | HttpFailure) -> Result[dict, str]:
    if isinstance(response, HttpFailure):
        return Err(response.reason)
    if response.status == 200:
        return Ok(decode_object(response.body))
    reason = read_reason(response.body)
    return Err(f"answered {response.status} {reason}".strip())
