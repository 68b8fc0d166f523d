"""Runs a coroutine of the command-line tool against the platform."""

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
    """Connect to the platform, carry out a task and disconnect.

    :param url: URL of the platform.
    :param task: what to do with the connection.
    """

    async def connected() -> _ResultT:
        async with aiohttp.ClientSession() as session:
            return await task(
                PlatformClient.from_url(url, Connections(session, session))
            )

    with loop.new_runner() as runner:
        return runner.run(connected())
