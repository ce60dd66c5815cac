"""Records of hosts that are silent, by which a later placer goes on waiting."""

from typing import NamedTuple

import msgspec

from sequoiachute import clock
from sequoiachute.protocol.decoder import decode_msgpack

SILENCE_PREFIX = "silent/"


class Silence(NamedTuple):
    """What was known of a host when it was recorded as silent.

    Until the record is deleted no placer grants the host's worker a lease, so that
    all of its leases are over ``lease_seconds`` after the record. ``late_starts``
    holds task and run of starts that may be carried out late, with the seconds since
    the last such call was sent; they are negative if it may yet be sent.
    """

    lease_seconds: float
    late_starts: tuple[tuple[str, int, float], ...] = ()


class RecordedSilence(NamedTuple):
    """A silence and when it was read, on the elapsed clock of this process."""

    silence: Silence
    read_at: float

    @property
    def lease_until(self) -> float:
        """Time of the elapsed clock at which all leases of the host are over."""
        return self.read_at + self.silence.lease_seconds

    def late_starts_sent_at(self) -> dict[tuple[str, int], float]:
        """Return when the last late call was sent, by task and run."""
        return {
            (task, run): self.read_at - seconds
            for task, run, seconds in self.silence.late_starts
        }


def silence_key(host: str) -> str:
    """Return the key of a host's record."""
    return SILENCE_PREFIX + host


def host_of_silence(key: str) -> str:
    """Return the host of a record's key."""
    return key.removeprefix(SILENCE_PREFIX)


def encode_silence(silence: Silence) -> bytes:
    """Return the stored form of a silence."""
    return msgspec.msgpack.encode(silence)


class SilenceTable:
    """Hosts that are recorded as silent."""

    def __init__(self) -> None:
        self._silences: dict[str, RecordedSilence] = {}

    def get(self, host: str) -> RecordedSilence | None:
        """Return the record of a host, ``None`` if it has none."""
        return self._silences.get(host)

    def hosts(self) -> tuple[str, ...]:
        """Return the hosts with a record."""
        return tuple(self._silences)

    def apply(self, key: str, value: bytes | None) -> None:
        """Apply a record; raise ``msgspec.DecodeError`` if it can't be read."""
        host = host_of_silence(key)
        if value is None:
            self._silences.pop(host, None)
            return
        silence = decode_msgpack(value, Silence)
        self._silences[host] = RecordedSilence(silence, clock.elapsed())
