"""Tests of human-readable differences."""

from __future__ import annotations

import unittest

from nutmegspoke.tables.changes import row_changes
from nutmegspoke.tables.diff import section_changes
from nutmegspoke.tables.rows import TeamShare
from nutmegspoke.tables.snapshot import encode_bodies
from tests.builders_tables import build_pool, build_route, build_tables


class DiffTest(unittest.TestCase):
    """Differences of added, changed and removed rows."""

    def test_shows_settings_that_differ(self) -> None:
        """Each row lists only the settings and entries that differ."""
        before = build_tables(
            build_route('a', repeatable=True),
            build_route('b', teams=()),
        )
        after = build_tables(
            build_route(
                'a',
                priority=3,
                teams=(TeamShare('desk', 2.5, 41), TeamShare('clubs', 1.0, 8)),
            ),
            pools=(build_pool(), build_pool('mail', targets=('127.0.0.1:7',))),
        )
        rows = row_changes(encode_bodies(before), encode_bodies(after))
        diff_text = '\n'.join(map(str, section_changes(rows)))
        self.assertEqual(
            diff_text,
            '[pool mail] added\n'
            '  + kind = service\n'
            '  targets\n'
            '    + 127.0.0.1:7\n'
            '[route a] changed\n'
            '  - priority = (default)\n'
            '  + priority = 3\n'
            '  - repeatable = yes\n'
            '  + repeatable = (default)\n'
            '  teams\n'
            '    - desk weight=2.5 max_in_flight=40\n'
            '    + desk weight=2.5 max_in_flight=41\n'
            '[route b] removed\n'
            '  - path = /b\n'
            '  - pool = engines',
        )
