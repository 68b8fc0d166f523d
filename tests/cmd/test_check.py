"""Tests of the ``check`` command with broken files and the examples."""

from __future__ import annotations

import contextlib
import pathlib
import unittest

from typer.testing import CliRunner

from nutmegspoke.border.settings import Settings
from nutmegspoke.cmd.cli import app
from nutmegspoke.cmd.cli_output import ExitCode

_ROOT = pathlib.Path(__file__).parents[2]
_BROKEN = _ROOT / 'tests' / 'data' / 'broken_tables'


def _check(directory: pathlib.Path, name: str) -> tuple[int, str, str]:
    with contextlib.chdir(directory):
        result = CliRunner().invoke(app, ['check', name])
    return result.exit_code, result.stdout, result.stderr


class CheckTest(unittest.TestCase):
    """The messages for broken files match the golden files."""

    maxDiff = None

    def test_broken_files(self) -> None:
        """The message matches the golden file, and the exit code is 2."""
        paths = sorted(_BROKEN.glob('*.ini'))
        self.assertGreaterEqual(len(paths), 12)
        for path in paths:
            with self.subTest(file=path.name):
                code, output, message = _check(_BROKEN, path.name)
                self.assertEqual((code, output), (ExitCode.FAULTS, ''))
                golden = path.with_suffix('.txt')
                self.assertEqual(message, golden.read_text('utf-8'))

    def test_examples_have_no_fault(self) -> None:
        """Tables and settings of the examples are valid."""
        for name in ('cascade', 'kigali'):
            directory = _ROOT / 'examples' / name
            code, output, _ = _check(directory, 'tables.ini')
            self.assertEqual(code, ExitCode.OK, output)
            settings = Settings.from_file(directory / 'daemon.ini')
            self.assertIn(name, settings.daemon.name)

    def test_a_missing_file(self) -> None:
        """The message contains the file name."""
        code, _, message = _check(_BROKEN, 'absent.ini')
        self.assertEqual(code, ExitCode.FAULTS)
        self.assertIn('absent.ini: can not be read', message)
