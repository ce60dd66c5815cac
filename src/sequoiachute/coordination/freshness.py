"""An agent's view of the configuration and the check that it is fresh enough."""

from sequoiachute import clock
from sequoiachute.coordination.concurrency import gather
from sequoiachute.coordination.configuration_sync import sync_configuration
from sequoiachute.protocol.messages import AnnouncementReply
from sequoiachute.state.configuration import Configuration
from sequoiachute.transport.ports import RpcCaller

SYNC_TIMEOUT_SECONDS = 0.5
MIN_SYNC_INTERVAL_SECONDS = 0.25
ENTRY_EXPIRY_SECONDS = 30.0  # since the last announcement that it answered


class ConfigurationView:
    """The configuration that an agent has learnt from entry instances.

    Parameters
    ----------
    caller : RpcCaller
        Calls the entry instances.
    data_centre : str
        Data centre of the agent.
    freshness_seconds : float
        Greatest age of the confirmation at which a task may start.
    """

    def __init__(
        self, caller: RpcCaller, data_centre: str, freshness_seconds: float
    ) -> None:
        self.configuration = Configuration()
        self._caller = caller
        self._data_centre = data_centre
        self._freshness_seconds = freshness_seconds
        self._last_contact_times: dict[str, float] = {}
        self._last_sync_at = float("-inf")

    @property
    def in_service(self) -> bool:
        """Whether the agent's data centre is in service in this view."""
        return self.configuration.in_service(self._data_centre)

    def refusal(self, config_offset: int) -> str:
        """Return why no task may start here now, empty if one may.

        Parameters
        ----------
        config_offset : int
            Offset of the configuration that the sender acts under.

        Notes
        -----
        A stale view is first synchronised with the entries, so that the
        announcement interval may exceed ``freshness_seconds``.
        """
        if self._is_stale(config_offset):
            self._sync_with_entries()
        if self.configuration.offset < config_offset:
            return "the agent's configuration is older than the sender's"
        if self.configuration.age(clock.now()) > self._freshness_seconds:
            return "the agent's configuration is not confirmed as the newest"
        if not self.in_service:
            return "the data centre is out of service"
        return ""

    def handle_reply(
        self, address: str, reply: AnnouncementReply, sent_at: float
    ) -> None:
        """Confirm the view, or fetch the newer configuration from ``address``.

        Parameters
        ----------
        address : str
            RPC address of the entry that replied.
        reply : AnnouncementReply
        sent_at : float
            Clock time at which the announcement was sent.
        """
        self._last_contact_times[address] = sent_at
        if reply.config_offset > self.configuration.offset:
            sync_configuration(self._caller, address, self.configuration)
            return
        if reply.config_offset == self.configuration.offset:
            self.configuration.confirm(sent_at - reply.confirmation_age)

    def _is_stale(self, config_offset: int) -> bool:
        if self.configuration.offset < config_offset:
            return True
        return self.configuration.age(clock.now()) > self._freshness_seconds

    def _sync_with_entries(self) -> None:
        """Ask the entries that replied recently, at a limited rate."""
        now = clock.now()
        if now - self._last_sync_at < MIN_SYNC_INTERVAL_SECONDS:
            return
        self._last_sync_at = now
        calls = []
        for address, contacted_at in list(self._last_contact_times.items()):
            if now - contacted_at > ENTRY_EXPIRY_SECONDS:
                del self._last_contact_times[address]
                continue
            calls.append(
                lambda a=address: sync_configuration(
                    self._caller, a, self.configuration, SYNC_TIMEOUT_SECONDS
                )
            )
        gather(calls)
