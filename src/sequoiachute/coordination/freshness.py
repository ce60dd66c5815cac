"""What an agent knows of the configuration, and whether it may act on it."""

from sequoiachute import clock
from sequoiachute.coordination.catchup import ask_configuration
from sequoiachute.coordination.tasks import gather
from sequoiachute.protocol.messages import AnnouncementReply
from sequoiachute.state.configuration import Configuration
from sequoiachute.transport.ports import RpcCaller

ASK_SECONDS = 0.5
ASK_AGAIN_SECONDS = 0.25
FORGET_SECONDS = 30.0


class ConfigurationView:
    """The configuration as entry instances tell it to an agent.

    Parameters
    ----------
    caller : RpcCaller
        Reaches the entry instances.
    data_centre : str
        Where the agent runs.
    freshness_seconds : float
        Oldest confirmation on which a task may still start.
    """

    def __init__(
        self, caller: RpcCaller, data_centre: str, freshness_seconds: float
    ) -> None:
        self.configuration = Configuration()
        self._caller = caller
        self._data_centre = data_centre
        self._freshness_seconds = freshness_seconds
        self._answered: dict[str, float] = {}
        self._asked_at = float("-inf")

    @property
    def in_service(self) -> bool:
        """Whether the agent's data centre is in service, as far as known."""
        return self.configuration.in_service(self._data_centre)

    def refusal(self, config_offset: int) -> str:
        """Return why no task may start here now, empty if it may.

        Parameters
        ----------
        config_offset : int
            Offset of the configuration that the sender acts under.

        Notes
        -----
        A view that is too old is first confirmed anew by the entries, so that
        announcements may be rarer than the freshness asked for.
        """
        if self._is_stale(config_offset):
            self._ask()
        if self.configuration.offset < config_offset:
            return "the agent's configuration is older than the sender's"
        if self.configuration.age(clock.now()) > self._freshness_seconds:
            return "the agent's configuration is not confirmed as the newest"
        if not self.in_service:
            return "the data centre is out of service"
        return ""

    def take_reply(
        self, address: str, reply: AnnouncementReply, sent_at: float
    ) -> None:
        """Confirm the view, or fetch the newer one from ``address``."""
        self._answered[address] = sent_at
        if reply.config_offset > self.configuration.offset:
            ask_configuration(self._caller, address, self.configuration)
            return
        if reply.config_offset == self.configuration.offset:
            self.configuration.confirm(sent_at - reply.confirmed_age)

    def _is_stale(self, config_offset: int) -> bool:
        if self.configuration.offset < config_offset:
            return True
        return self.configuration.age(clock.now()) > self._freshness_seconds

    def _ask(self) -> None:
        """Ask the entries that answered lately, but not too often."""
        now = clock.now()
        if now - self._asked_at < ASK_AGAIN_SECONDS:
            return
        self._asked_at = now
        calls = []
        for address, answered_at in list(self._answered.items()):
            if now - answered_at > FORGET_SECONDS:
                del self._answered[address]
                continue
            calls.append(
                lambda a=address: ask_configuration(
                    self._caller, a, self.configuration, ASK_SECONDS
                )
            )
        gather(calls)
