"""Long computations in short steps, so that a daemon serves in between."""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar

_Found = TypeVar('_Found')

# Stops after each step; returns what was found.
Steps = Generator[None, None, _Found]


def run_steps(steps: Steps[_Found]) -> _Found:
    """Run all steps at once."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
