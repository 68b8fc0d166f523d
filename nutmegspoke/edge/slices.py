"""Runs a long computation between other work of the loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from nutmegspoke.placement.steps import Steps

_Found = TypeVar('_Found')


async def in_slices(steps: Steps[_Found]) -> _Found:
    """Run a step in each turn of the loop.

    :returns: what the steps have found.
    """
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
        await asyncio.sleep(0)
