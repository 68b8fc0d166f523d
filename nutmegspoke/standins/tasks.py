"""Tasks that serve the connections of a stand-in."""

from __future__ import annotations

import asyncio
from typing import Any

_Tasks = set[asyncio.Task[Any]]


def track_current(tasks: _Tasks) -> None:
    """Add the current task to a set until it ends."""
    task = asyncio.current_task()
    if task is not None:
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def end_tasks(tasks: _Tasks) -> None:
    """Cancel tasks and wait for their ends."""
    ended = tuple(tasks)
    for task in ended:
        task.cancel()
    await asyncio.gather(*ended, return_exceptions=True)
