"""Runs a coroutine periodically until it is stopped."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

logger = logging.getLogger(__name__)


class Periodic:
    """A task that runs a coroutine with a pause between runs.

    :param name: name of the task, also in the log.
    :param interval_s: seconds between the end of a run and the next run.
    :param action: coroutine function; its exceptions are logged, not raised.
    """

    def __init__(
        self,
        name: str,
        interval_s: float,
        action: Callable[[], Awaitable[None]],
    ) -> None:
        """Prepare the task; :meth:`start` creates it."""
        self._name = name
        self._interval_s = interval_s
        self._action = action
        self._task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()

    def start(self) -> None:
        """Start the task in the running event loop."""
        self._task = asyncio.create_task(self._run(), name=self._name)

    def wake(self) -> None:
        """End the current pause, so that the next run starts at once."""
        self._wake.set()

    async def stop(self) -> None:
        """Cancel the task and wait until it has ended."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        while True:
            await self._run_once()
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                # In Python 3.11, ``wait_for`` can lose a cancellation.
                async with asyncio.timeout(self._interval_s):
                    await self._wake.wait()

    async def _run_once(self) -> None:
        try:
            await self._action()
        except Exception:  # noqa: BLE001 -- the next run retries
            logger.exception('kernel: periodic run failed name=%s', self._name)
