"""Errors of the package; every message states a remedy."""

from typing import NamedTuple


class SequoiachuteError(Exception):
    """Base class of the errors that end a command or a request."""


class SettingsError(SequoiachuteError):
    """A settings file is invalid.

    Parameters
    ----------
    path : str
        The settings file.
    key : str
        Path of the invalid key in the file.
    reason : str
        What is wrong, with the offending value.
    remedy : str
        What to write instead.
    """

    def __init__(self, path: str, key: str, reason: str, remedy: str) -> None:
        super().__init__(f"{path}: {key}: {reason}; {remedy}")
        self.path = path
        self.key = key
        self.reason = reason
        self.remedy = remedy


class ListenError(SequoiachuteError):
    """A process can't listen on an address of its settings.

    Parameters
    ----------
    key : str
        Key of the address in the settings.
    address : str
        The address.
    reason : str
        Error text of the operating system.
    """

    def __init__(self, key: str, address: str, reason: str) -> None:
        remedy = f"free the address or change {key} in the settings"
        super().__init__(f"{key}: can't listen on {address}: {reason}; {remedy}")


class CatalogueError(SequoiachuteError):
    """A catalogue is invalid; nothing has changed."""


class LogUnavailableError(SequoiachuteError):
    """The log service did not append or return records.

    Parameters
    ----------
    reason : str
        What happened.
    maybe_applied : bool
        Whether the append may have taken effect despite the error.
    retry_after : float
        Seconds to wait before a retry.
    """

    def __init__(
        self, reason: str, maybe_applied: bool = False, retry_after: float = 1.0
    ) -> None:
        remedy = f"try again in {max(1, round(retry_after))} s"
        super().__init__(f"log service unavailable: {reason}; {remedy}")
        self.reason = reason
        self.maybe_applied = maybe_applied
        self.retry_after = retry_after


class RpcError(NamedTuple):
    """A call to another process failed.

    Parameters
    ----------
    peer : str
        Address that was called.
    reason : str
        What happened.
    delivered : bool
        False if the call certainly never reached the peer.
    """

    peer: str
    reason: str
    delivered: bool


def describe_failure(error: BaseException) -> str:
    """Return the type of an unexpected error and where it was raised.

    Leaves out its message, which may quote a request body or a key.
    """
    traceback = error.__traceback__
    location = "unknown"
    while traceback is not None:
        file_name = traceback.tb_frame.f_code.co_filename.rpartition("/")[2]
        location = f"{file_name}:{traceback.tb_lineno}"
        traceback = traceback.tb_next
    return f"{type(error).__name__} at {location}"
