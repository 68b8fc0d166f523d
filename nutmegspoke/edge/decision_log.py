"""Rate-limited log of an entry host: JSON lines on standard output.

A line is dropped and counted if it exceeds the rate limit or if writing it
would block. The next line that is written reports the number dropped.
"""

from __future__ import annotations

import logging
import os
import sys
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.retries.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.border.clock import Clock

# Ten times the usual rate; writing a line takes about 30 us.
LINES_PER_S = 120.0
BURST_LINES = 600.0
_NOISY_LOGGERS = ('asyncio', 'aiohttp')


class DecisionLog(logging.Handler):
    """Handler that writes log records and decisions as JSON lines.

    ``on_event`` is called with the name of each decision, including those
    whose lines are dropped.

    :param host: name of the host, written to each line.
    :param clock: clock of the process.
    :param descriptor: non-blocking file descriptor to write to.
    """

    def __init__(self, host: str, clock: Clock, descriptor: int) -> None:
        """Create a log whose whole burst is available."""
        super().__init__()
        self._host = host
        self._clock = clock
        self._descriptor = descriptor
        self._bucket = TokenBucket(LINES_PER_S, BURST_LINES)
        self._encoder = msgspec.json.Encoder()
        self.on_event: Callable[[str], None] = _ignore_event
        self.dropped = 0
        self._dropped_reported = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record of ``logging``."""
        fields = {'logger': record.name, 'text': record.getMessage()}
        if record.exc_info:
            formatter = logging.Formatter()
            fields['error'] = formatter.formatException(record.exc_info)
        self.write('log', record.levelname.lower(), fields)

    def decided(self, event: str, **fields: object) -> None:
        """Write a decision or a state change.

        :param event: name of the decision.
        :param fields: request id, inputs with their age or version, outcome.
        """
        self.on_event(event)
        self.write(event, 'info', fields)

    def write(
        self,
        event: str,
        level: str,
        fields: dict[str, object],
    ) -> None:
        """Write a line, or count it as dropped if the rate is exceeded."""
        now_s = self._clock.now_s()
        if self._bucket.wait_s(1.0, now_s) > 0:
            self.dropped += 1
            return
        self._bucket.spend(1.0, now_s)
        line = {
            'time_s': round(self._clock.wall_s(), 3),
            'host': self._host,
            'level': level,
            'event': event,
            **fields,
        }
        if self.dropped > self._dropped_reported:
            line['lines_dropped'] = self.dropped - self._dropped_reported
            self._dropped_reported = self.dropped
        self._write_line(b'%s\n' % self._encoder.encode(line))

    def _write_line(self, line: bytes) -> None:
        try:
            os.write(self._descriptor, line)
        except OSError:
            self.dropped += 1


def _ignore_event(event: str) -> None:
    """Do nothing; default of ``on_event``."""


def configure(host: str, clock: Clock, level: int) -> DecisionLog:
    """Install a :class:`DecisionLog` as the only handler of the root logger.

    :param host: name of the host.
    :param clock: clock of the process.
    :param level: lowest level of ``logging`` that is written.
    :returns: the log, which writes to standard output.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = DecisionLog(host, clock, descriptor)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    for name in _NOISY_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
    return handler
