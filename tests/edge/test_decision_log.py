"""Tests of the rate-limited log."""

from __future__ import annotations

import json
import os
import unittest

from nutmegspoke.edge.decision_log import BURST_LINES, DecisionLog


class _Clock:
    def __init__(self) -> None:
        self.time_s = 100.0

    def now_s(self) -> float:
        return self.time_s

    def wall_s(self) -> float:
        return 1_000.5


class DecisionLogTest(unittest.TestCase):
    """Lines are JSON, limited in rate, and never block."""

    def setUp(self) -> None:
        """Log to a pipe."""
        self.reading, self.writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.addCleanup(os.close, self.writing)
        os.set_blocking(self.writing, False)
        os.set_blocking(self.reading, False)
        self.clock = _Clock()
        self.log = DecisionLog('host-1', self.clock, self.writing)

    def _lines(self) -> list[dict[str, object]]:
        read = os.read(self.reading, 1_000_000).decode()
        return [json.loads(line) for line in read.splitlines()]

    def test_a_line(self) -> None:
        """A line holds time, host, level, event and fields."""
        self.log.decided('chain_chosen', request='r1', chain=['x=0-40'])
        self.assertEqual(
            self._lines(),
            [
                {
                    'time_s': 1_000.5,
                    'host': 'host-1',
                    'level': 'info',
                    'event': 'chain_chosen',
                    'request': 'r1',
                    'chain': ['x=0-40'],
                },
            ],
        )

    def test_volume_is_bounded(self) -> None:
        """Dropped lines are counted and reported by the next line."""
        for _ in range(int(BURST_LINES) + 50):
            self.log.decided('x')
        self.assertEqual(self.log.dropped, 50)
        self.clock.time_s += 1.0
        self._lines()
        self.log.decided('y')
        (line,) = self._lines()
        self.assertEqual(line['lines_dropped'], 50)

    def test_a_full_pipe_does_not_block(self) -> None:
        """Guards against a daemon that blocks while nobody reads the log."""
        for _ in range(300):
            self.log.decided('x', text='y' * 1_000)
        self.assertGreater(self.log.dropped, 0)
