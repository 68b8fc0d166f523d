"""Tests of the tables of who was served, late, refused or failed."""

from __future__ import annotations

import json
import pathlib
import tempfile
import unittest

from typer.testing import CliRunner

from nutmegspoke.cmd import cli
from nutmegspoke.evidence import served_table


def ended(**changes: object) -> dict[str, object]:
    """Return a line on an answered draft."""
    return {
        'time_s': 7.5,
        'host': 'h1',
        'event': 'request_ended',
        'route': 'urgent',
        'team': 't1',
        'priority': [3, 0],
        'outcome': 'answered',
        'status': 200,
        'reason': '',
        'is_late': False,
        **changes,
    }


class ServedTableTest(unittest.TestCase):
    """Counts by class, as an operator reads them."""

    def test_each_outcome_is_counted_once(self) -> None:
        table = served_table.build_table(
            (
                {'event': 'started', 'host': 'h1', 'zone': 'a'},
                ended(),
                ended(is_late=True),
                ended(outcome='not_run', status=503, reason='no chain'),
                ended(outcome='cut', status=0, reason='stream broke off'),
                ended(outcome='caller_left', status=0),
                {'event': 'request_ended', 'status': 404},
            )
        )
        expected = served_table.Outcomes(1, 1, 1, 1, 1)
        self.assertEqual({'3.0 urgent': expected}, table['route'])
        self.assertEqual({'a': expected}, table['zone'])
        self.assertEqual({'t1': expected}, table['team'])
        self.assertEqual({'7': expected}, table['second'])
        refusals = table['reason']['urgent not_run no chain']
        self.assertEqual(1, refusals.refused)

    def test_sizes_are_those_of_the_route(self) -> None:
        table = served_table.build_table(
            ended(prompt_tokens=100, max_answer_tokens=size)
            for size in range(20)
        )
        sizes = {name: each.total for name, each in table['size'].items()}
        self.assertEqual(
            {'largest tenth': 2, 'next fifth': 4, 'others': 14}, sizes
        )

    def test_command_reads_logs_with_other_text(self) -> None:
        lines = ['  3.2 h1 ' + json.dumps(ended()), 'no json {', '']
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'log')
            path.write_text('\n'.join(lines), 'utf-8')
            result = CliRunner().invoke(
                cli.app, ['served', str(path), '--json']
            )
        self.assertEqual(0, result.exit_code)
        by_route = json.loads(result.output)['route']
        self.assertEqual(1, by_route['3.0 urgent']['on_time'])

    def test_missing_log_is_reported(self) -> None:
        result = CliRunner().invoke(cli.app, ['served', 'no/such/log'])
        self.assertEqual(2, result.exit_code)
