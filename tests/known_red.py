"""nose2 plugin that treats failures listed in KNOWN-RED.txt as expected."""

from __future__ import annotations

import pathlib

from nose2 import events

KNOWN_RED_PATH = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'
_FAILURES = frozenset(('failed', 'error'))


def read_known_red(path: pathlib.Path = KNOWN_RED_PATH) -> dict[str, str]:
    """Return the entries of a KNOWN-RED.txt file by test id.

    Lines that are empty or begin with ``#`` are ignored; a missing file has
    no entries. Each entry is a line
    ``TEST_ID | command and seed | what was seen | issue``.
    """
    if not path.exists():
        return {}
    entries = [
        line
        for line in path.read_text('utf-8').splitlines()
        if line.strip() and not line.startswith('#')
    ]
    return {entry.split('|')[0].strip(): entry for entry in entries}


class KnownRed(events.Plugin):
    """Counts results and marks listed failures as expected."""

    configSection = 'known-red'
    alwaysOn = True

    def __init__(self) -> None:
        """Read the entries of KNOWN-RED.txt."""
        self._entries = read_known_red()
        self._states: dict[str, str] = {}
        self._passed = 0
        self._failed = 0

    def setTestOutcome(self, event: events.TestOutcomeEvent) -> None:
        """Mark a listed failure or error as expected."""
        test_id = event.test.id().split('\n')[0]
        if event.outcome in _FAILURES and test_id in self._entries:
            event.outcome = 'failed'
            event.expected = True
            self._states[test_id] = 'red'

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:
        """Count a result as failed or passed.

        Subtests count only if they failed. Skipped tests and listed failures
        count as passed.
        """
        if event.outcome == 'subtest':
            self._failed += event.exc_info is not None
        elif event.outcome in _FAILURES and not event.expected:
            self._failed += 1
        else:
            self._passed += 1

    def afterSummaryReport(self, event: events.ReportSummaryEvent) -> None:
        """Print each entry with its state, then the counts."""
        for test_id, entry in self._entries.items():
            state = self._states.get(test_id, 'passed or not run')
            event.stream.writeln(f'KNOWN-RED ({state}): {entry}')
        event.stream.writeln(
            f'{self._passed} passed, {self._failed} failed',
        )
