"""Runs tests on the event loop of the daemon."""

from __future__ import annotations

import asyncio
import unittest

from nutmegspoke.border.loop import StreamLoop


class StreamLoopCase(unittest.IsolatedAsyncioTestCase):
    """Base class that runs asynchronous tests on a :class:`StreamLoop`.

    Python takes the loop from an attribute of the class only from version 3.13
    on.
    """

    def _setupAsyncioRunner(self) -> None:  # noqa: N802 -- name of unittest
        self._asyncioRunner = asyncio.Runner(
            debug=True, loop_factory=StreamLoop
        )
