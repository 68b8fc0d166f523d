"""The log of an entry host: JSON lines on standard output, bounded.

A line that standard output does not take at once is dropped and counted, as
is one beyond the rate; the next line that goes out tells how many.
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

# Ten times the lines of a usual second; a line costs some 30 us.
LINES_PER_S = 120.0
BURST_LINES = 600.0
_NOISY = ('asyncio', 'aiohttp')


class DecisionLog(logging.Handler):
    """Writes records of ``logging`` and decisions as JSON lines.

    :param host: name of the host, on each line.
    :param clock: clock of the process.
    :param descriptor: open file that does not block.

    ``counted`` is called with the name of each decision, also of those whose
    lines are dropped.
    """

    def __init__(self, host: str, clock: Clock, descriptor: int) -> None:
        """Start with a full burst."""
        super().__init__()
        self._host = host
        self._clock = clock
        self._descriptor = descriptor
        self._bucket = TokenBucket(LINES_PER_S, BURST_LINES)
        self._encoder = msgspec.json.Encoder()
        self.counted: Callable[[str], None] = _count_nothing
        self.dropped = 0
        self._dropped_told = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record of ``logging``."""
        fields = {'logger': record.name, 'text': record.getMessage()}
        if record.exc_info:
            formatter = logging.Formatter()
            fields['error'] = formatter.formatException(record.exc_info)
        self.write('log', record.levelname.lower(), fields)

    def decided(self, event: str, **fields: object) -> None:
        """Write a decision or a change of belief.

        :param event: name of the decision.
        :param fields: request id, inputs with their age or version, outcome.
        """
        self.counted(event)
        self.write(event, 'info', fields)

    def write(
        self,
        event: str,
        level: str,
        fields: dict[str, object],
    ) -> None:
        """Write a line, or drop and count it."""
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
        if self.dropped > self._dropped_told:
            line['lines_dropped'] = self.dropped - self._dropped_told
            self._dropped_told = self.dropped
        self._write_out(b'%s\n' % self._encoder.encode(line))

    def _write_out(self, line: bytes) -> None:
        try:
            os.write(self._descriptor, line)
        except OSError:
            self.dropped += 1


def _count_nothing(event: str) -> None:
    """Stand in until the log has counters."""


def configure(host: str, clock: Clock, level: int) -> DecisionLog:
    """Send all log records to standard output.

    :param host: name of the host.
    :param level: lowest level of ``logging`` that is shown.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = DecisionLog(host, clock, descriptor)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    for name in _NOISY:
        logging.getLogger(name).setLevel(logging.WARNING)
    return handler
