"""Tests of what daemons tell each other of copies of slow requests."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.load_news import (
    SILENCE_LIMIT_S,
    LoadUpdate,
    check_update,
)
from nutmegspoke.membership.received_updates import (
    ReceivedUpdates,
    count_copied,
)
from nutmegspoke.membership.relays import Relays
from nutmegspoke.membership.summaries import new_summaries

_POOL = 'records'


def _update(host: str, copied: int, **changes: object) -> LoadUpdate:
    counts = {_POOL: copied} if copied else {}
    return LoadUpdate(host, 1, 1, {}, copied=counts, **changes)


class CopiedNewsTest(unittest.TestCase):
    """Copies of all daemons are added up."""

    def setUp(self) -> None:
        """Start without updates."""
        self.received = ReceivedUpdates(Relays('own', 'zone-1'))
        self.group = self.received.relays.group

    def test_the_sum_of_the_others(self) -> None:
        """Guards against a limit that each daemon uses up for itself."""
        self.received.receive(_update('a', 2), 0.0)
        self.received.receive(_update('b', 3), 0.0)
        others = self.received.others(0.1)
        self.assertEqual(count_copied(others, _POOL), 5)
        self.assertEqual(count_copied(others, 'other'), 0)

    def test_silent_daemons(self) -> None:
        """Guards against copies of a lost daemon that count forever."""
        self.received.receive(_update('a', 2), 0.0)
        others = self.received.others(SILENCE_LIMIT_S + 0.1)
        self.assertEqual(count_copied(others, _POOL), 0)

    def test_summaries(self) -> None:
        """Guards against copies that relays leave out, or count twice."""
        member = {'group': self.group, 'asks_summary': True}
        self.received.receive(_update('a', 2, **member), 0.0)
        self.received.receive(_update('b', 3, **member), 0.0)
        own = _update('own', 4, group=self.group)
        sent = dict(new_summaries(own, self.received, 0.1))
        self.assertEqual(sent['a',].copied, {_POOL: 7})
        self.assertEqual(sent['b',].copied, {_POOL: 6})
        self.assertEqual(own.copied, {_POOL: 4})

    def test_odd_numbers_are_refused(self) -> None:
        """Guards against copies below none, which would lift the limit."""
        check_update(_update('a', 2))
        for copied in (-1, 10**9):
            with self.assertRaises(ValueError):
                check_update(_update('a', copied))
