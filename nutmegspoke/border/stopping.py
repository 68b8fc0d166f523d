"""Carries out a planned stop."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from nutmegspoke.membership.stopping import StopState

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.border.inflight import InFlight
    from nutmegspoke.membership.stopping import StopDecider

logger = logging.getLogger(__name__)
_STEP_S = 0.05


class PlannedStop:
    """Takes a daemon from its first signal to its end.

    :param decider: the states of the stop.
    :param in_flight: the requests in work.
    :param signals: numbers of the signals that came.
    :param clock: the process's clock.
    """

    def __init__(
        self,
        decider: StopDecider,
        in_flight: InFlight,
        signals: asyncio.Queue[int],
        clock: Clock,
    ) -> None:
        """Prepare for the first signal."""
        self._decider = decider
        self._in_flight = in_flight
        self._signals = signals
        self._clock = clock

    async def run(self) -> None:
        """Wait for the first signal and return at the end of the stop."""
        await self._signals.get()
        self._signalled()
        while self._decider.state != StopState.ENDED:
            await self._step()
        logger.info('stopping: ended reason=%s', self._decider.reason)
        if self._decider.cut:
            cut = ','.join(self._decider.cut)
            logger.error('stopping: requests cut ids=%s', cut)

    async def _step(self) -> None:
        try:
            await asyncio.wait_for(self._signals.get(), _STEP_S)
        except TimeoutError:
            before = self._decider.state
            after = self._decider.advance(
                self._in_flight.request_ids,
                self._clock.now_s(),
            )
            self._show(before, after)
        else:
            self._signalled()

    def _signalled(self) -> None:
        before = self._decider.state
        after = self._decider.handle_signal(
            self._in_flight.request_ids,
            self._clock.now_s(),
        )
        self._show(before, after)

    def _show(self, before: StopState, after: StopState) -> None:
        self._in_flight.is_stopping = not self._decider.is_ready
        self._in_flight.is_refusing = not self._decider.is_accepting
        if after != before:
            logger.info(
                'stopping: state=%s in_flight=%d',
                after,
                len(self._in_flight.request_ids),
            )
