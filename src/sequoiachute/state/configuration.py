"""The configuration in force and how fresh that knowledge is."""

from typing import Any

from sequoiachute.protocol.catalogue import EMPTY_CATALOGUE, Catalogue

NOTHING_APPLIED = -1  # offset before the first record


class Configuration:
    """Catalogue and data centres in service, by the order of the log.

    A catalogue applies only if it was based on the record in force when it
    was appended; of two racing operators the first in the log wins. Offsets
    never go back.
    """

    def __init__(self) -> None:
        self._catalogue: Catalogue = EMPTY_CATALOGUE
        self._catalogue_offset = NOTHING_APPLIED
        self._out_of_service: frozenset[str] = frozenset()
        self._offset = NOTHING_APPLIED
        self._confirmed_at = float("-inf")

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue in force."""
        return self._catalogue

    @property
    def catalogue_offset(self) -> int:
        """Offset that the next catalogue must be based on."""
        return self._catalogue_offset

    @property
    def out_of_service(self) -> frozenset[str]:
        """Data centres that operators have taken out."""
        return self._out_of_service

    @property
    def offset(self) -> int:
        """Offset of the last record that changed the configuration."""
        return self._offset

    @property
    def confirmed_at(self) -> float:
        """Clock time at which this view was known to be the newest."""
        return self._confirmed_at

    def age(self, now: float) -> float:
        """Return the seconds since this view was confirmed."""
        return now - self._confirmed_at

    def confirm(self, at: float) -> None:
        """Note that no newer record existed at clock time ``at``."""
        self._confirmed_at = max(self._confirmed_at, at)

    def apply(self, offset: int, record: Any) -> bool:
        """Apply the record at ``offset``; return whether it took effect."""
        if offset <= self._offset:
            return False
        kind = record["kind"]
        if kind == "catalogue-published":
            if record["base"] != self._catalogue_offset:
                return False
            self._catalogue = record["catalogue"]
            self._catalogue_offset = offset
        elif kind == "data-centre-switched":
            self._switch(record["data_centre"], record["in_service"])
        elif kind == "configuration-snapshot":
            return self._apply_snapshot(offset, record)
        else:
            return False
        self._offset = offset
        return True

    def adopt(
        self, offset: int, catalogue: Catalogue, out_of_service: tuple[str, ...]
    ) -> bool:
        """Take over a peer's newer configuration; never an older one."""
        if offset <= self._offset:
            return False
        self._catalogue = catalogue
        self._out_of_service = frozenset(out_of_service)
        self._offset = offset
        return True

    def in_service(self, data_centre: str) -> bool:
        """Return whether work may start in ``data_centre``."""
        return data_centre not in self._out_of_service

    def _switch(self, data_centre: str, in_service: bool) -> None:
        if in_service:
            self._out_of_service -= {data_centre}
        else:
            self._out_of_service |= {data_centre}

    def _apply_snapshot(self, offset: int, record: Any) -> bool:
        if self._offset != NOTHING_APPLIED:
            return False
        self._catalogue = record["catalogue"]
        self._catalogue_offset = record["base"]
        self._out_of_service = frozenset(record["out_of_service"])
        self._offset = offset
        return True
