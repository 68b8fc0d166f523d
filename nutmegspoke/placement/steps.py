"""Long computations split into steps, to serve requests between them."""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar

_ResultT = TypeVar('_ResultT')

# Generator that yields after each step and returns the result.
Steps = Generator[None, None, _ResultT]


def run_steps(steps: Steps[_ResultT]) -> _ResultT:
    """Run all steps without a pause and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
