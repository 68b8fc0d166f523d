"""A nose2 plugin: lets the failures that KNOWN-RED.txt names by."""

from __future__ import annotations

import pathlib

from nose2 import events

KNOWN_RED_PATH = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'
_FAILURES = frozenset(('failed', 'error'))


def read_known_red(path: pathlib.Path = KNOWN_RED_PATH) -> dict[str, str]:
    """Return the listed test ids with their entries.

    Each entry is a line ``TEST_ID | command and seed | what was seen | issue``.
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
    """Counts results and treats listed failures as expected."""

    configSection = 'known-red'
    alwaysOn = True

    def __init__(self) -> None:
        """Read the list."""
        self._known = read_known_red()
        self._seen: dict[str, str] = {}
        self._passed = 0
        self._failed = 0

    def setTestOutcome(self, event: events.TestOutcomeEvent) -> None:
        """Turn a listed failure into an expected one."""
        test_id = event.test.id().split('\n')[0]
        if event.outcome in _FAILURES and test_id in self._known:
            event.outcome = 'failed'
            event.expected = True
            self._seen[test_id] = 'red'

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:
        """Count a result; of the subtests only those that failed."""
        if event.outcome == 'subtest':
            self._failed += event.exc_info is not None
        elif event.outcome in _FAILURES and not event.expected:
            self._failed += 1
        else:
            self._passed += 1

    def afterSummaryReport(self, event: events.ReportSummaryEvent) -> None:
        """Print the listed tests and the counts."""
        for test_id, entry in self._known.items():
            state = self._seen.get(test_id, 'passed or not run')
            event.stream.writeln(f'KNOWN-RED ({state}): {entry}')
        event.stream.writeln(
            f'{self._passed} passed, {self._failed} failed',
        )
