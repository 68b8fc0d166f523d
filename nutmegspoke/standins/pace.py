"""Makes an engine stand-in as slow as the hardware that it stands for."""

from __future__ import annotations

import asyncio
import dataclasses
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(order=True, slots=True)
class _Step:
    order: tuple[int, int]
    came_s: float = dataclasses.field(compare=False)
    busy_s: float = dataclasses.field(compare=False)
    done: asyncio.Future[None] = dataclasses.field(compare=False)


class SimulatedAccelerator:
    """Runs one step after another, those of the highest priority first.

    :param layer_tokens_per_s: layers times tokens run in a second.
    :param link_bytes_per_s: rate of the link; 0 for no limit.
    """

    def __init__(
        self,
        layer_tokens_per_s: float,
        link_bytes_per_s: float,
        clock_s: Callable[[], float],
    ) -> None:
        """Create an idle accelerator."""
        self.layer_tokens_per_s = layer_tokens_per_s
        self.link_bytes_per_s = link_bytes_per_s
        self._clock_s = clock_s
        self._free_at_s = 0.0
        self._count = 0
        self._waiting: list[_Step] = []
        self._is_running = False

    async def work(
        self,
        layer_tokens: int,
        link_bytes: int,
        priority: int = 0,
    ) -> None:
        """Wait until the accelerator and the link have done a step.

        A step that is cancelled before its turn takes no time.

        :param layer_tokens: layers times tokens of the step.
        :param link_bytes: bytes that its outputs take on the link.
        :param priority: a higher one is served first.
        """
        busy_s = layer_tokens / self.layer_tokens_per_s
        if self.link_bytes_per_s:
            busy_s = max(busy_s, link_bytes / self.link_bytes_per_s)
        done = asyncio.get_running_loop().create_future()
        self._count += 1
        step = _Step((-priority, self._count), self._clock_s(), busy_s, done)
        heapq.heappush(self._waiting, step)
        if not self._is_running:
            self._start_next()
        await done

    def _start_next(self) -> None:
        self._is_running = False
        while self._waiting:
            step = heapq.heappop(self._waiting)
            if not step.done.cancelled():
                self._start(step)
                return

    def _start(self, step: _Step) -> None:
        self._is_running = True
        # A late timer does not slow the accelerator down.
        self._free_at_s = max(self._free_at_s, step.came_s) + step.busy_s
        asyncio.get_running_loop().call_later(
            max(0.0, self._free_at_s - self._clock_s()),
            self._finish,
            step,
        )

    def _finish(self, step: _Step) -> None:
        if not step.done.cancelled():
            step.done.set_result(None)
        self._start_next()
