"""The configuration in force and how fresh that knowledge is."""

from collections import deque
from typing import Any, NamedTuple

from sequoiachute.protocol.catalogue import EMPTY_CATALOGUE, Catalogue
from sequoiachute.state.items import from_item, to_item

NOTHING_APPLIED = -1  # offset before the first record
REMEMBERED_CHANGES = 1000


class ConfigurationState(NamedTuple):
    """A whole configuration, as a snapshot or a peer tells it.

    ``offset`` is that of the last record that changed it and
    ``switch_offsets`` those of the last switch of each data centre.
    """

    offset: int
    catalogue_offset: int
    catalogue: Catalogue
    out_of_service: tuple[str, ...]
    switch_offsets: tuple[tuple[str, int], ...]


NO_CONFIGURATION = ConfigurationState(
    NOTHING_APPLIED, NOTHING_APPLIED, EMPTY_CATALOGUE, (), ()
)


class Configuration:
    """Catalogue and data centres in service, by the order of the log.

    A catalogue applies only if it was based on the record in force when it
    was appended; of two racing operators the first in the log wins. The same
    holds for two switches of one data centre. Offsets never go back.
    """

    def __init__(self) -> None:
        self._state = NO_CONFIGURATION
        self._out_of_service: frozenset[str] = frozenset()
        self._confirmed_at = float("-inf")
        self._applied: deque[int] = deque(maxlen=REMEMBERED_CHANGES)

    @property
    def state(self) -> ConfigurationState:
        """The whole configuration."""
        return self._state

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue in force."""
        return self._state.catalogue

    @property
    def catalogue_offset(self) -> int:
        """Offset that the next catalogue must be based on."""
        return self._state.catalogue_offset

    @property
    def out_of_service(self) -> frozenset[str]:
        """Data centres that operators have taken out."""
        return self._out_of_service

    @property
    def offset(self) -> int:
        """Offset of the last record that changed the configuration."""
        return self._state.offset

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

    def switch_offset(self, data_centre: str) -> int:
        """Return the offset that the next switch of it must be based on."""
        return dict(self._state.switch_offsets).get(data_centre, NOTHING_APPLIED)

    def took_effect(self, offset: int) -> bool:
        """Return whether the record read at ``offset`` changed anything."""
        return offset in self._applied

    def in_service(self, data_centre: str) -> bool:
        """Return whether work may start in ``data_centre``."""
        return data_centre not in self._out_of_service

    def apply(self, offset: int, record: Any) -> bool:
        """Apply the record at ``offset``; return whether it took effect."""
        if offset <= self.offset:
            return False
        changed = False
        if record["kind"] == "catalogue-published":
            changed = self._publish(offset, record)
        elif record["kind"] == "data-centre-switched":
            changed = self._switch(offset, record)
        if changed:
            self._applied.append(offset)
        return changed

    def adopt(self, state: ConfigurationState) -> bool:
        """Take over a newer configuration; never an older one."""
        if state.offset <= self.offset:
            return False
        self._state = state
        self._out_of_service = frozenset(state.out_of_service)
        return True

    def snapshot(self) -> list[Any]:
        """Return the configuration as the only item of a snapshot."""
        return [to_item(self._state)]

    def restore(self, items: list[Any]) -> None:
        """Take over the configuration of a snapshot if it is newer."""
        for item in items:
            self.adopt(from_item(ConfigurationState, item))

    def _publish(self, offset: int, record: Any) -> bool:
        if record["base"] != self.catalogue_offset:
            return False
        changed = self._state._replace(
            offset=offset, catalogue_offset=offset, catalogue=record["catalogue"]
        )
        return self.adopt(changed)

    def _switch(self, offset: int, record: Any) -> bool:
        data_centre = record["data_centre"]
        switched_at = self.switch_offset(data_centre)
        if record.get("base", switched_at) != switched_at:
            return False
        if record["in_service"]:
            out = self._out_of_service - {data_centre}
        else:
            out = self._out_of_service | {data_centre}
        switches = {**dict(self._state.switch_offsets), data_centre: offset}
        changed = self._state._replace(
            offset=offset,
            out_of_service=tuple(sorted(out)),
            switch_offsets=tuple(sorted(switches.items())),
        )
        return self.adopt(changed)
