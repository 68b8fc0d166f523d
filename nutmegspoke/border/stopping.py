"""Runs the planned stop of a daemon."""

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
_POLL_INTERVAL_S = 0.05


class PlannedStop:
    """Drives a planned stop from the first signal to the end.

    :param decider: state machine of the stop.
    :param in_flight: requests in flight.
    :param signals: queue of received signal numbers.
    :param clock: the process's clock.
    """

    def __init__(
        self,
        decider: StopDecider,
        in_flight: InFlight,
        signals: asyncio.Queue[int],
        clock: Clock,
    ) -> None:
        """Prepare; :meth:`run` waits for the first signal."""
        self._decider = decider
        self._in_flight = in_flight
        self._signals = signals
        self._clock = clock

    async def run(self) -> None:
        """Wait for the first signal and return when the stop has ended."""
        await self._signals.get()
        self._handle_signal()
        while self._decider.state != StopState.ENDED:
            await self._step()
        logger.info('stopping: ended reason=%s', self._decider.reason)
        if self._decider.cut:
            cut = ','.join(self._decider.cut)
            logger.error('stopping: requests cut ids=%s', cut)

    async def _step(self) -> None:
        try:
            await asyncio.wait_for(self._signals.get(), _POLL_INTERVAL_S)
        except TimeoutError:
            old_state = self._decider.state
            new_state = self._decider.advance(
                self._in_flight.request_ids,
                self._clock.now_s(),
            )
            self._apply_state(old_state, new_state)
        else:
            self._handle_signal()

    def _handle_signal(self) -> None:
        old_state = self._decider.state
        new_state = self._decider.handle_signal(
            self._in_flight.request_ids,
            self._clock.now_s(),
        )
        self._apply_state(old_state, new_state)

    def _apply_state(self, old_state: StopState, new_state: StopState) -> None:
        self._in_flight.is_stopping = not self._decider.is_ready
        self._in_flight.is_refusing = not self._decider.is_accepting
        if new_state != old_state:
            logger.info(
                'stopping: state=%s in_flight=%d',
                new_state,
                len(self._in_flight.request_ids),
            )
