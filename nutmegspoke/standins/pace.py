"""Simulated computing and transfer time of an engine stand-in."""

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
    arrived_s: float = dataclasses.field(compare=False)
    busy_s: float = dataclasses.field(compare=False)
    done: asyncio.Future[None] = dataclasses.field(compare=False)


class SimulatedAccelerator:
    """Accelerator that runs steps one at a time, by priority and arrival.

    :param layer_tokens_per_s: layers times tokens that run in a second.
    :param link_bytes_per_s: rate of the link; 0 for no limit.
    :param clock_s: returns monotonic seconds.
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
        self._step_count = 0
        self._waiting: list[_Step] = []
        self._is_running = False

    async def work(
        self,
        layer_tokens: int,
        link_bytes: int,
        priority: int = 0,
    ) -> None:
        """Wait for the duration of a step and of the steps before it.

        A step that is cancelled before it starts takes no time.

        :param layer_tokens: layers times tokens of the step.
        :param link_bytes: bytes of its outputs on the link.
        :param priority: waiting steps with a higher priority run first.
        """
        busy_s = layer_tokens / self.layer_tokens_per_s
        if self.link_bytes_per_s:
            busy_s = max(busy_s, link_bytes / self.link_bytes_per_s)
        done = asyncio.get_running_loop().create_future()
        self._step_count += 1
        step = _Step(
            (-priority, self._step_count), self._clock_s(), busy_s, done
        )
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
        # The end time follows from the previous end time, so that the delay of
        # a late timer does not accumulate.
        self._free_at_s = max(self._free_at_s, step.arrived_s) + step.busy_s
        asyncio.get_running_loop().call_later(
            max(0.0, self._free_at_s - self._clock_s()),
            self._finish,
            step,
        )

    def _finish(self, step: _Step) -> None:
        if not step.done.cancelled():
            step.done.set_result(None)
        self._start_next()
