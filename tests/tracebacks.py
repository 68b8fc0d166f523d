"""nose2 plugin that fails a run which prints tracebacks between its tests."""

from __future__ import annotations

import gc
import sys
import traceback
from typing import Any

from nose2 import events


class Tracebacks(events.Plugin):
    """Counts errors that nothing can handle, such as those of destructors."""

    configSection = 'tracebacks'
    alwaysOn = True

    def __init__(self) -> None:
        """Start to count."""
        self._texts: list[str] = []
        self._test_id = ''
        sys.unraisablehook = self._record

    def startTest(self, event: events.StartTestEvent) -> None:
        """Remember the test, in or after which an error may occur."""
        self._test_id = event.test.id()

    def afterSummaryReport(self, event: events.ReportSummaryEvent) -> None:
        """Print the errors."""
        for text in self._texts:
            event.stream.writeln(text)
        if self._texts:
            event.stream.writeln(f'{len(self._texts)} unhandled errors')

    def wasSuccessful(self, event: events.ResultSuccessEvent) -> None:
        """Fail the run if there were errors."""
        gc.collect()
        if self._texts:
            event.success = False
            event.handled = True

    def _record(self, unraisable: Any) -> None:
        error = unraisable.exc_value
        lines = traceback.format_exception_only(unraisable.exc_type, error)
        text = ''.join(lines).strip()
        self._texts.append(
            f'after {self._test_id}: {unraisable.object!r}: {text}'
        )
