"""Logging as JSON, one object per line, to standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'
_VERBOSE_LOGGERS = ('sanic', 'asyncio', 'aiohttp')


def configure(level: str, daemon: str) -> None:
    """Send all log records to standard error.

    :param level: lowest level that is logged.
    :param daemon: name of the daemon, added to each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(_FIELDS, static_fields={'daemon': daemon}),
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    for name in _VERBOSE_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
