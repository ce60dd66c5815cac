"""Exit statuses of the program."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of a command.

    Scripts may rely on these numbers; docs/reference lists them.
    """

    OK = 0
    ERROR = 1
    USAGE = 2
    INVALID_INPUT = 3
    REFUSED = 4
    UNAVAILABLE = 5
    UNKNOWN_OUTCOME = 6
    JOB_FAILED = 7
    INTERNAL = 70
    INTERRUPTED = 130
