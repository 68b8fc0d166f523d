"""Tests of parsing the tables file."""

from __future__ import annotations

import unittest

from nutmegspoke.border.table_files import read_tables
from nutmegspoke.tables.faults import TableFaults
from nutmegspoke.tables.rows import (
    PoolKind,
    PoolRow,
    RouteRow,
    Tables,
    TeamShare,
)
from nutmegspoke.tables.text import tables_text

_TEXT = """
# a comment
[route drafts]
path = /v1/*
model = quill
pool = engines
repeatable = yes
timeout_s = 30
teams =
    desk weight=2.5 max_in_flight=40
    # another
    clubs max_in_flight=8

[pool engines]
kind = engine
model = quill
version = 1
layer_count = 12
targets = 127.0.0.1:9001, 127.0.0.1:9002
leaving =
    127.0.0.1:9001
"""

_BROKEN = """
stray = 1
[route drafts]
path = v1
repeatable = maybe
timeout = 3
timeout_s = -1
timeout_s = 0
teams =
    desk weight=0
    clubs wight=1 max_in_flight=10
[pool engines]
kind = motor
targets = 1.2.3.4 5.6.7.800:80
[pool engines]
hello
[pol e2]
[route e3
"""


class TableFilesTest(unittest.TestCase):
    """Reading, writing and faults."""

    def test_reads_rows(self) -> None:
        """Sections become rows; missing keys get their defaults."""
        tables = read_tables(_TEXT, 'f')
        route = RouteRow(
            name='drafts',
            path='/v1/*',
            pool='engines',
            model='quill',
            repeatable=True,
            timeout_s=30,
            teams=(TeamShare('desk', 2.5, 40), TeamShare('clubs', 1, 8)),
        )
        pool = PoolRow(
            name='engines',
            kind=PoolKind.ENGINE,
            model='quill',
            version='1',
            layer_count=12,
            targets=('127.0.0.1:9001', '127.0.0.1:9002'),
            leaving=('127.0.0.1:9001',),
        )
        self.assertEqual(tables, Tables(0, (route,), (pool,)))
        self.assertEqual(read_tables(tables_text(tables), 'g'), tables)

    def test_names_every_fault_at_once(self) -> None:
        """Each fault has file, section, key and allowed values."""
        found = read_tables(_BROKEN, 'f')
        self.assertIsInstance(found, TableFaults)
        self.assertEqual(
            [(fault.section, fault.key) for fault in found.faults],
            [
                ('', ''),
                ('route drafts', 'timeout_s'),
                ('route drafts', 'path'),
                ('route drafts', 'pool'),
                ('route drafts', 'repeatable'),
                ('route drafts', 'timeout_s'),
                ('route drafts', 'teams'),
                ('route drafts', 'teams'),
                ('route drafts', 'teams'),
                ('route drafts', 'timeout'),
                ('pool engines', 'kind'),
                ('pool engines', 'targets'),
                ('pool engines', 'targets'),
                ('pool engines', ''),
                ('pool engines', ''),
                ('pol e2', ''),
                ('route e3', ''),
            ],
        )
        self.assertIn(
            'f: [route drafts] pool is missing; allowed: ', str(found.faults[3])
        )
        self.assertEqual(found.faults[-1].problem, 'lacks the closing "]"')
        for fault in found.faults:
            self.assertTrue(fault.problem and fault.allowed, fault)
