"""What operators publish: queues, accounts, closed zones and upkeep waves."""

from typing import NamedTuple


class Queue(NamedTuple):
    """A queue of the catalogue; callers reach it by ``host`` and path ``prefix``.

    Tasks of an ``advised`` queue start only with a ticket from the advisor.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    stretch: float
    slo_seconds: float
    public: bool = False
    advised: bool = False


class PlatformAccount(NamedTuple):
    """A client account: its keys and the accelerators it can always reclaim."""

    name: str
    keys: frozenset[str]
    guaranteed_gpus: int = 0


class Wave(NamedTuple):
    """Machines that need upkeep, at most ``max_concurrent`` at the same time.

    ``finish_by_seconds`` is the time allowed, counted from the first sight of the
    wave.
    """

    number: int
    machines: tuple[str, ...]
    finish_by_seconds: float
    max_concurrent: int


class PlatformCatalogue(NamedTuple):
    """One published version of queues and accounts; ``body_limit`` is in bytes.

    ``services`` are listed beside those of the queues.
    """

    version: int
    queues: tuple[Queue, ...]
    accounts: tuple[PlatformAccount, ...]
    spare_services: frozenset[str] = frozenset()
    body_limit: int = 262144
    services: frozenset[str] = frozenset()


class Operations:
    """Newest published state; an older catalogue never replaces a newer one."""

    def __init__(self) -> None:
        self._catalogue: PlatformCatalogue | None = None
        self._services: tuple[str, ...] = ()
        self._accounts_by_key: dict[str, PlatformAccount] = {}
        self._queues_by_host: dict[str, list[Queue]] = {}
        self._queues_by_name: dict[str, Queue] = {}
        self.closed_zones: frozenset[str] = frozenset()
        self.waves: dict[int, Wave] = {}

    @property
    def catalogue(self) -> PlatformCatalogue | None:
        """The catalogue in force, ``None`` before the first."""
        return self._catalogue

    @property
    def version(self) -> int:
        """Version of the catalogue in force, zero before the first."""
        return self._catalogue.version if self._catalogue is not None else 0

    @property
    def services(self) -> tuple[str, ...]:
        """The services that the catalogue in force names."""
        return self._services

    def publish(self, catalogue: PlatformCatalogue) -> bool:
        """Put a catalogue in force if it is newer; return whether it was."""
        if self._catalogue is not None and catalogue.version <= self.version:
            return False
        self._catalogue = catalogue
        of_queues = {queue.service for queue in catalogue.queues}
        self._services = tuple(sorted((of_queues | catalogue.services) - {""}))
        self._accounts_by_key = {}
        for account in catalogue.accounts:
            for key in account.keys:
                self._accounts_by_key[key] = account
        self._queues_by_host = {}
        self._queues_by_name = {}
        for queue in catalogue.queues:
            self._queues_by_host.setdefault(queue.host.lower(), []).append(queue)
            self._queues_by_name[queue.name] = queue
        for queues in self._queues_by_host.values():
            queues.sort(key=lambda queue: len(queue.prefix), reverse=True)
        return True

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of ``host`` with the longest prefix of ``path``."""
        for queue in self._queues_by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def queue(self, name: str) -> Queue | None:
        """Return a queue by name."""
        return self._queues_by_name.get(name)

    def account_of(self, key: str) -> PlatformAccount | None:
        """Return the client account that an API key belongs to."""
        return self._accounts_by_key.get(key)

    def account(self, name: str) -> PlatformAccount | None:
        """Return a client account by name."""
        if self._catalogue is None:
            return None
        for account in self._catalogue.accounts:
            if account.name == name:
                return account
        return None
