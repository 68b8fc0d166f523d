"""Doubts about paths on which open connections may carry nothing any more."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator


class PathDoubts:
    """Calls that wait for answers, by the address of the other side."""

    def __init__(self) -> None:
        """Start without calls."""
        self._waiting: dict[str, set[asyncio.Event]] = {}

    def spread(self, address: str) -> None:
        """End the patience of all calls that wait for answers of an address."""
        for doubt in self._waiting.get(address, ()):
            doubt.set()

    async def wait(
        self, call: asyncio.Task[Any], address: str, patience_s: float
    ) -> None:
        """Wait until a call ends, its path is in doubt, or patience ends."""
        doubt = asyncio.Event()
        waiting = self._waiting.setdefault(address, set())
        waiting.add(doubt)
        with ending_tasks() as tasks:
            tasks.add(asyncio.create_task(doubt.wait()))
            try:
                await asyncio.wait(
                    {call, *tasks},
                    timeout=patience_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                waiting.discard(doubt)


@contextlib.contextmanager
def ending_tasks() -> Iterator[set[asyncio.Task[Any]]]:
    """Return a set of tasks, which are cancelled at the end of the context."""
    tasks: set[asyncio.Task[Any]] = set()
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
