"""Operators' endpoints: the catalogue and the data centres in service."""

from typing import Any

import falcon
from loguru import logger

from sequoiachute import clock
from sequoiachute.coordination.entry import Entry
from sequoiachute.coordination.log import new_record_id
from sequoiachute.coordination.placement.check import check_guarantees
from sequoiachute.errors import CatalogueError
from sequoiachute.http.inputs import read_base_offset, read_json
from sequoiachute.http.keys import Keyring
from sequoiachute.protocol.catalogue import Catalogue
from sequoiachute.protocol.catalogue_check import check_catalogue
from sequoiachute.protocol.records import CONFIGURATION_STREAM
from sequoiachute.transport.web import ProblemError, problem, write_json

MAX_BODY_BYTES = 1024 * 1024
FLEET_SETTLE_SECONDS = 10.0  # without a new worker until guarantees are enforced
APPEND_TIMEOUT_SECONDS = 10.0
MAX_SWITCH_ATTEMPTS = 3


class CatalogueResource:
    """Shows and publishes the catalogue."""

    def __init__(self, entry: Entry, keyring: Keyring) -> None:
        self._entry = entry
        self._keyring = keyring

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the catalogue in force and its offset."""
        self._keyring.require_operator(request)
        configuration = self._entry.configuration
        body = {
            "offset": configuration.catalogue_offset,
            "catalogue": configuration.catalogue,
            "out_of_service": sorted(configuration.out_of_service),
        }
        write_json(response, body)

    def on_put(self, request: falcon.Request, response: falcon.Response) -> None:
        """Publish a catalogue based on the offset in ``If-Match``."""
        identity = self._keyring.require_operator(request)
        configuration = self._entry.configuration
        base_offset = read_base_offset(request, configuration.catalogue_offset)
        catalogue = _read_catalogue(request)
        _require_feasible_guarantees(catalogue, self._entry)
        record = {
            "kind": "catalogue-published",
            "record_id": new_record_id(),
            "base": base_offset,
            "operator": identity.account,
            "catalogue": catalogue,
        }
        offset = append_configuration_record(self._entry, record)
        if not configuration.took_effect(offset):
            remedy = "show the catalogue, merge and publish again"
            raise problem(409, "another operator published first", remedy)
        write_json(response, {"offset": offset})


def _require_feasible_guarantees(catalogue: Catalogue, entry: Entry) -> None:
    """Raise a 422 if the guarantees can't all be met at once.

    While workers are still joining, capacity is unknown and the catalogue is
    accepted; the placer then reports which guarantees it can't honour.
    """
    workers = entry.fleet.all()
    check = check_guarantees(catalogue, workers)
    if check.is_met:
        return
    if not workers or clock.now() - entry.fleet.last_joined_at < FLEET_SETTLE_SECONDS:
        logger.warning(
            "guarantees not enforced with {} workers announced: {}",
            len(workers),
            check.reason,
        )
        return
    remedy = "lower the guarantees or publish again once more workers have announced"
    raise problem(422, check.reason, remedy)


class DataCentreResource:
    """Takes a data centre out of service or returns it to service."""

    def __init__(self, entry: Entry, keyring: Keyring, in_service: bool) -> None:
        self._entry = entry
        self._keyring = keyring
        self._in_service = in_service

    def on_post(
        self, request: falcon.Request, response: falcon.Response, data_centre: str
    ) -> None:
        """Record the switch; it has taken effect once the response is sent."""
        identity = self._keyring.require_operator(request)
        data_centres = self._entry.configuration.catalogue["data_centres"]
        if data_centre not in data_centres:
            remedy = (
                f"name one of: {', '.join(sorted(data_centres)) or 'none published'}"
            )
            raise problem(404, f"no data centre {data_centre!r}", remedy)
        for _ in range(MAX_SWITCH_ATTEMPTS):
            offset = self._switch(identity.account, data_centre)
            if self._entry.configuration.took_effect(offset):
                break
        else:
            remedy = "show the catalogue, then switch again if it is still wanted"
            raise problem(
                409,
                f"lost {MAX_SWITCH_ATTEMPTS} races with other operators' switches",
                remedy,
            )
        write_json(response, {"offset": offset})

    def _switch(self, operator: str, data_centre: str) -> int:
        record = {
            "kind": "data-centre-switched",
            "record_id": new_record_id(),
            "operator": operator,
            "data_centre": data_centre,
            "in_service": self._in_service,
            "base": self._entry.configuration.switch_offset(data_centre),
        }
        return append_configuration_record(self._entry, record)


def _read_catalogue(request: falcon.Request) -> Catalogue:
    """Return the catalogue in the body; raise a 4xx if it is invalid."""
    fields, _ = read_json(request, MAX_BODY_BYTES, dict[str, Any])
    try:
        return check_catalogue(fields)
    except CatalogueError as error:
        raise problem(422, str(error), "correct it and publish again") from error


def append_configuration_record(entry: Entry, record: dict) -> int:
    """Append an operator's record and return its offset.

    Raises a 503 that states whether the record may have taken effect.
    """
    writer = entry.writer(CONFIGURATION_STREAM)
    outcome = writer.append(record, timeout=APPEND_TIMEOUT_SECONDS)
    if outcome.is_ok():
        return outcome.unwrap()
    error = outcome.unwrap_err()
    if error.maybe_applied:
        remedy = "show the catalogue to see whether it took effect, then retry"
        raise ProblemError(503, error.reason, remedy, None, error.retry_after)
    remedy = "nothing has changed; publish again later"
    raise ProblemError(503, error.reason, remedy, False, error.retry_after)
