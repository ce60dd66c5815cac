"""The configuration in force, and when it was last known to be current."""

from collections import deque
from typing import Any, NamedTuple

from sequoiachute.protocol.catalogue import EMPTY_CATALOGUE, Catalogue
from sequoiachute.state.items import from_item, to_item

NO_OFFSET = -1  # offset before the first record
MAX_APPLIED_OFFSETS = 1000


class ConfigurationState(NamedTuple):
    """A whole configuration, as carried by a snapshot or by a peer's reply.

    ``offset`` is the offset of the last record that changed it. ``switch_offsets``
    holds, for each data centre, the offset of the last record that switched it.
    """

    offset: int
    catalogue_offset: int
    catalogue: Catalogue
    out_of_service: tuple[str, ...]
    switch_offsets: tuple[tuple[str, int], ...]


NO_CONFIGURATION = ConfigurationState(NO_OFFSET, NO_OFFSET, EMPTY_CATALOGUE, (), ())


class Configuration:
    """Catalogue and data centres in service, applied in log order.

    A catalogue takes effect only if its ``base`` is the offset of the catalogue
    in force; of two operators who publish at the same time, the first in the log
    wins. The same holds for two switches of one data centre. The offset never
    decreases.
    """

    def __init__(self) -> None:
        self._state = NO_CONFIGURATION
        self._out_of_service: frozenset[str] = frozenset()
        self._confirmed_at = float("-inf")
        self._applied_offsets: deque[int] = deque(maxlen=MAX_APPLIED_OFFSETS)

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
        """Offset that the next catalogue must name as its ``base``."""
        return self._state.catalogue_offset

    @property
    def out_of_service(self) -> frozenset[str]:
        """Data centres that operators have taken out of service."""
        return self._out_of_service

    @property
    def offset(self) -> int:
        """Offset of the last record that changed the configuration."""
        return self._state.offset

    @property
    def confirmed_at(self) -> float:
        """Clock time at which this configuration was last known to be current."""
        return self._confirmed_at

    def age(self, now: float) -> float:
        """Return the seconds since this configuration was confirmed."""
        return now - self._confirmed_at

    def confirm(self, at: float) -> None:
        """Record that no newer configuration existed at clock time ``at``."""
        self._confirmed_at = max(self._confirmed_at, at)

    def switch_offset(self, data_centre: str) -> int:
        """Return the ``base`` that the next switch of ``data_centre`` must name."""
        return dict(self._state.switch_offsets).get(data_centre, NO_OFFSET)

    def took_effect(self, offset: int) -> bool:
        """Return whether the record at ``offset`` changed the configuration.

        Only the last ``MAX_APPLIED_OFFSETS`` changes are known.
        """
        return offset in self._applied_offsets

    def in_service(self, data_centre: str) -> bool:
        """Return whether jobs and requests may start in ``data_centre``."""
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
            self._applied_offsets.append(offset)
        return changed

    def adopt(self, state: ConfigurationState) -> bool:
        """Replace the configuration by a newer one; return whether it was newer."""
        if state.offset <= self.offset:
            return False
        self._state = state
        self._out_of_service = frozenset(state.out_of_service)
        return True

    def snapshot(self) -> list[Any]:
        """Return the configuration as the only item of a snapshot."""
        return [to_item(self._state)]

    def restore(self, items: list[Any]) -> None:
        """Adopt the configuration of a snapshot if it is newer."""
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
        last_switch_offset = self.switch_offset(data_centre)
        if record.get("base", last_switch_offset) != last_switch_offset:
            return False
        if record["in_service"]:
            out = self._out_of_service - {data_centre}
        else:
            out = self._out_of_service | {data_centre}
        switch_offsets = {**dict(self._state.switch_offsets), data_centre: offset}
        changed = self._state._replace(
            offset=offset,
            out_of_service=tuple(sorted(out)),
            switch_offsets=tuple(sorted(switch_offsets.items())),
        )
        return self.adopt(changed)
