"""Configuration of a process's log output."""

import sys
from collections.abc import Callable
from typing import IO, Any

import msgspec
from loguru import logger

from sequoiachute.settings import LogSettings

_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level:<7} {message} {extra}"


def configure_logging(
    settings: LogSettings,
    config_offset: Callable[[], int] | None = None,
    stream: IO[str] | None = None,
) -> None:
    """Set the level, format and destination of log lines.

    Parameters
    ----------
    settings : LogSettings
    config_offset : callable, optional
        Returns the offset of the configuration in force, added to each line.
    stream : text stream, optional
        Destination of the lines, standard error by default.
    """
    output = stream or sys.stderr
    as_json = settings.format == "json"
    logger.remove()
    logger.configure(patcher=_create_patcher(config_offset))
    logger.add(
        (lambda message: _write_json(output, message)) if as_json else output,
        level=settings.level,
        format=_TEXT_FORMAT,
        backtrace=False,
        diagnose=False,
    )


def _create_patcher(config_offset: Callable[[], int] | None) -> Callable[[Any], None]:
    def patch(record: Any) -> None:
        if config_offset is not None:
            record["extra"].setdefault("config_offset", config_offset())

    return patch


def _write_json(output: IO[str], message: Any) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    output.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")
    output.flush()
