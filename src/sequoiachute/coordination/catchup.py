"""Learning the configuration and its confirmation from another process."""

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

CALL_SECONDS = 2.0
LONGEST_AGE_SECONDS = 1e9  # told in place of "never confirmed"


def tell_configuration(
    configuration: Configuration, request: ConfigurationRequest
) -> ConfigurationReply:
    """Return the configuration, without its catalogue if the asker has it."""
    state = configuration.state
    catalogue = state.catalogue
    if request.known_offset >= state.offset:
        catalogue = EMPTY_CATALOGUE
    return ConfigurationReply(
        offset=state.offset,
        confirmed_age=confirmed_age(configuration),
        catalogue=catalogue,
        out_of_service=state.out_of_service,
        catalogue_offset=state.catalogue_offset,
        switch_offsets=state.switch_offsets,
    )


def ask_configuration(
    caller: RpcCaller,
    address: str,
    configuration: Configuration,
    timeout: float = CALL_SECONDS,
) -> bool:
    """Catch up with the process at ``address``; return whether it answered.

    The confirmation taken over is as old as the peer says, counted from before
    the question was sent, so that it is never younger than it is.
    """
    asked_at = clock.now()
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
        configuration.confirm(asked_at - reply.confirmed_age)
    return True


def confirmed_age(configuration: Configuration) -> float:
    """Return the seconds since the configuration was confirmed, for a message."""
    return min(configuration.age(clock.now()), LONGEST_AGE_SECONDS)
