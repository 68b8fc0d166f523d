"""Runs a long computation without blocking the event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from nutmegspoke.placement.steps import Steps

_Result = TypeVar('_Result')


async def run_cooperatively(steps: Steps[_Result]) -> _Result:
    """Run one step of a computation per iteration of the event loop.

    :returns: result of the computation.
    """
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
        await asyncio.sleep(0)
