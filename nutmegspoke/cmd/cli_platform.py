"""Connection of the command-line tool to the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import aiohttp

from nutmegspoke.border import loop
from nutmegspoke.border.platform_client import Connections, PlatformClient

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_ResultT = TypeVar('_ResultT')


def run(
    url: str,
    task: Callable[[PlatformClient], Awaitable[_ResultT]],
) -> _ResultT:
    """Run a task with a connection to the platform, in a new event loop.

    :param url: URL of the platform.
    :param task: coroutine function that gets the connected client.
    :returns: result of the task.
    """

    async def run_connected() -> _ResultT:
        async with aiohttp.ClientSession() as session:
            return await task(
                PlatformClient.from_url(url, Connections(session, session))
            )

    with loop.new_runner() as runner:
        return runner.run(run_connected())
