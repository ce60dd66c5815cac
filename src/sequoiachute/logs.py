"""Log lines of a process."""

import sys

from loguru import logger

from sequoiachute.settings import LogSettings

_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level:<7} {message} {extra}"


def configure_logging(settings: LogSettings) -> None:
    """Write log lines to standard error as ``settings`` say."""
    logger.remove()
    logger.add(
        sys.stderr,
        level=settings.level,
        format=_TEXT_FORMAT,
        serialize=settings.format == "json",
        backtrace=False,
        diagnose=False,
    )
