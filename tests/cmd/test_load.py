"""Tests of the command list and the load tool."""

from __future__ import annotations

import json
import pathlib
import random
import unittest

from typer.testing import CliRunner

from nutmegspoke.bench.arrivals import Pattern, arrival_times_s
from nutmegspoke.bench.deployment import Deployment
from nutmegspoke.cmd.cli import app
from tests import deployments

_COMMANDS = (
    'check',
    'apply',
    'show',
    'diff',
    'history',
    'outcome',
    'status',
    'explain',
    'claims',
    'load',
)


class CommandsTest(unittest.TestCase):
    """The tool has the documented commands."""

    def test_every_command_has_help(self) -> None:
        """Each command is listed in the help, has help and is documented."""
        listed = CliRunner().invoke(app, ['--help']).stdout
        page = pathlib.Path(__file__).parents[2] / 'docs' / 'commands.md'
        for command in _COMMANDS:
            with self.subTest(command):
                result = CliRunner().invoke(app, [command, '--help'])
                self.assertEqual(result.exit_code, 0)
                self.assertIn(f' {command} ', listed)
                self.assertIn(f'`{command}', page.read_text('utf-8'))


class LoadTest(unittest.TestCase):
    """The load tool counts the requests that it sends."""

    def test_closed_loop_with_teams_and_a_plot(self) -> None:
        """All answers are complete, and the report holds their figures."""
        with Deployment() as deployment:
            deployments.start_small(deployment)
            plot = deployment.path / 'plot.png'
            result = CliRunner().invoke(
                app,
                [
                    'load',
                    deployment.daemons['daemon-0'].url,
                    '--duration-s=1',
                    '--concurrency=3',
                    '--team=press=3',
                    '--team=desk=1',
                    f'--plot={plot}',
                    '--json',
                ],
            )
            self.assertEqual(result.exit_code, 0, result.output)
            report = json.loads(result.stdout)
            self.assertGreater(report['complete'], 0)
            self.assertEqual(report['complete'], report['sent'])
            self.assertEqual(report['incomplete'], 0)
            self.assertEqual(report['total_s']['count'], report['complete'])
            self.assertLessEqual(set(report['teams']), {'press', 'desk'})
            self.assertTrue(plot.read_bytes().startswith(b'\x89PNG'))

    def test_arrivals_follow_their_pattern(self) -> None:
        """The same seed gives the same times; a bell peaks in the middle."""
        for pattern in Pattern:
            times_s = arrival_times_s(pattern, 50, 20, random.Random(1))
            repeated_s = arrival_times_s(pattern, 50, 20, random.Random(1))
            self.assertEqual(times_s, repeated_s)
            self.assertEqual(times_s, sorted(times_s))
            self.assertEqual(len(times_s), 1000)
            middle = [time_s for time_s in times_s if 8 <= time_s <= 12]
            if pattern is Pattern.BELL:
                self.assertGreater(len(middle), 500)
            else:
                self.assertLess(len(middle), 300)
