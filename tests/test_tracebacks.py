"""Tests of the plugin that fails runs which print tracebacks."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

_ROOT = pathlib.Path(__file__).parents[1]
_LEAK = """
import unittest

class Odd:
    def __del__(self):
        raise RuntimeError('in a destructor')

class LeakTest(unittest.TestCase):
    def test_leak(self):
        {statement}
"""


class TracebacksTest(unittest.TestCase):
    """The plugin decides about the exit code of a run."""

    def _run(self, statement: str) -> subprocess.CompletedProcess[str]:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, 'test_leak.py')
            path.write_text(_LEAK.format(statement=statement), 'utf-8')
            return subprocess.run(
                (
                    *(sys.executable, '-m', 'nose2', '-s', directory),
                    *('--plugin', 'tests.tracebacks'),
                ),
                cwd=directory,
                env={**os.environ, 'PYTHONPATH': str(_ROOT)},
                capture_output=True,
                text=True,
            )

    def test_an_error_in_a_destructor(self) -> None:
        """Guards against tracebacks that nobody sees between passing tests."""
        finished = self._run('Odd()')
        self.assertEqual(finished.returncode, 1, finished.stderr)
        self.assertIn('1 unhandled errors', finished.stderr)

    def test_no_error(self) -> None:
        """A run without tracebacks passes."""
        self.assertEqual(self._run('pass').returncode, 0)
