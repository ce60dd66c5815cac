"""Streams and environment variables that a command runs with."""

import os
import sys
from collections.abc import Mapping
from typing import IO, NamedTuple


class Environment(NamedTuple):
    """Streams and environment variables of a command.

    Parameters
    ----------
    stdin, stdout, stderr : text streams
        Tests pass their own.
    variables : mapping of str to str
        Environment variables.
    """

    stdin: IO[str]
    stdout: IO[str]
    stderr: IO[str]
    variables: Mapping[str, str]

    @property
    def is_terminal(self) -> bool:
        """Whether standard error is a terminal that can show progress."""
        return self.stderr.isatty()


def create_environment() -> Environment:
    """Return the environment of this process."""
    return Environment(sys.stdin, sys.stdout, sys.stderr, os.environ)
