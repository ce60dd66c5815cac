"""Exchange of the configuration and its confirmation between processes."""

from loguru import logger

from sequoiachute import clock
from sequoiachute.protocol.catalogue import EMPTY_CATALOGUE
from sequoiachute.protocol.messages import (
    CONFIGURATION,
    ConfigurationReply,
    ConfigurationRequest,
)
from sequoiachute.state.configuration import Configuration, ConfigurationState
from sequoiachute.transport.ports import RpcCaller

SYNC_TIMEOUT_SECONDS = 2.0
NEVER_CONFIRMED_AGE_SECONDS = 1e9  # sent in place of an infinite age


def build_configuration_reply(
    configuration: Configuration, request: ConfigurationRequest
) -> ConfigurationReply:
    """Return the configuration, without its catalogue if the requester has it."""
    state = configuration.state
    catalogue = state.catalogue
    if request.known_offset >= state.offset:
        catalogue = EMPTY_CATALOGUE
    return ConfigurationReply(
        offset=state.offset,
        confirmation_age=finite_confirmation_age(configuration),
        catalogue=catalogue,
        out_of_service=state.out_of_service,
        catalogue_offset=state.catalogue_offset,
        switch_offsets=state.switch_offsets,
    )


def sync_configuration(
    caller: RpcCaller,
    address: str,
    configuration: Configuration,
    timeout: float = SYNC_TIMEOUT_SECONDS,
) -> bool:
    """Adopt the configuration of a peer if it is newer.

    The age that the peer reports for its confirmation is counted from before
    the request was sent, so that the confirmation never seems fresher than it
    is.

    Parameters
    ----------
    caller : RpcCaller
    address : str
        RPC address of the peer.
    configuration : Configuration
        Updated in place.
    timeout : float
        Longest wait for the reply, in seconds.

    Returns
    -------
    bool
        Whether the peer answered.
    """
    requested_at = clock.now()
    request = ConfigurationRequest(configuration.offset)
    outcome = caller.call(address, CONFIGURATION, request, timeout)
    if outcome.is_err():
        return False
    reply = outcome.unwrap()
    state = ConfigurationState(
        reply.offset,
        reply.catalogue_offset,
        reply.catalogue,
        reply.out_of_service,
        reply.switch_offsets,
    )
    if configuration.adopt(state):
        logger.bind(config_offset=reply.offset).info("configuration in force")
    if configuration.offset == reply.offset:
        configuration.confirm(requested_at - reply.confirmation_age)
    return True


def finite_confirmation_age(configuration: Configuration) -> float:
    """Return the seconds since the configuration was confirmed, as a finite number."""
    return min(configuration.age(clock.now()), NEVER_CONFIRMED_AGE_SECONDS)
