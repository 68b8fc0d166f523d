"""Decides whether another run of a draft is sought as its first event is late.

The search itself is that of a silent engine, see
:mod:`nutmegspoke.edge.draft_replacements`; it begins earlier.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.edge.copies import ROOM_SHARE
from nutmegspoke.edge.stream_watch import (
    QUERY_AFTER_PAUSE_S,
    QUERY_AFTER_SEND_S,
)
from nutmegspoke.retries.hedging import Withheld

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.copies import Copies
    from nutmegspoke.edge.draft_runs import DraftRun
    from nutmegspoke.edge.event_sender import SentStream
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.retries.hedging import Exchange

# Shortest wait before the engines of a run are asked whether they are silent.
_MIN_QUERY_S = 0.05


@dataclasses.dataclass(eq=False, slots=True)
class FirstEvent:
    """The wait for the first event of a draft.

    :param exchange: the first run of the draft.
    :param delay_s: time after which it is slow, in seconds.
    :ivar query_s: time from its start on after which the engines are asked
        whether they are silent, in seconds.
    :ivar copy: the run that was started as the first was slow.
    :ivar copy_exchange: its exchange.
    """

    exchange: Exchange
    delay_s: float
    query_s: float = QUERY_AFTER_SEND_S
    copy: DraftRun | None = None
    copy_exchange: Exchange | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FirstEventSlow:
    """The first event of a draft is late, and another run may be sought."""

    first_event: FirstEvent


class HedgedDrafts:
    """Watch over the first events of drafts that may have another run."""

    def __init__(self, view: View, copies: Copies, clock: Clock) -> None:
        """Create a watch without drafts."""
        self._view = view
        self._copies = copies
        self._clock = clock

    def begin(
        self, context: RequestContext, stream: SentStream, target: str
    ) -> FirstEvent | None:
        """Record that a draft is sent to the first engine of a chain.

        :returns: ``None`` if no other run is to be sought for slowness.
        """
        if stream.has_head or not self._copies.may_apply(context):
            return None
        return FirstEvent(
            self._copies.begin(context, target),
            self._copies.delay_s(context),
        )

    async def is_slow(
        self,
        context: RequestContext,
        run: DraftRun,
        first_event: FirstEvent,
    ) -> bool:
        """Wait for the first event; return whether to seek another run.

        The wait ends when the engines are asked whether they are silent.
        """
        arrival = asyncio.Event()
        run.connection.notify(arrival)
        wait_s = first_event.delay_s
        try:
            while wait_s < first_event.query_s:
                await _wait(arrival, wait_s - self._waited_s(first_event))
                if run.connection.peek() is not None:
                    return False
                if self._is_permitted(context, first_event):
                    return True
                wait_s = 2 * self._waited_s(first_event)
        finally:
            run.connection.notify(None)
        return False

    def received_head(self, first_event: FirstEvent) -> None:
        """Record that a head has come before the first event."""
        waited_s = self._waited_s(first_event)
        first_event.query_s = waited_s + QUERY_AFTER_PAUSE_S

    def query_after_s(self, first_event: FirstEvent | None) -> float:
        """Return the time until the engines of a run are asked."""
        if first_event is None:
            return QUERY_AFTER_SEND_S
        left_s = first_event.query_s - self._waited_s(first_event)
        return max(_MIN_QUERY_S, left_s)

    def may_start(self, context: RequestContext) -> bool:
        """Return whether a run may be started on a chain that is reserved."""
        return self._copies.charge(context)

    def found_no_room(self, context: RequestContext) -> None:
        """Count that no chain was free for another run."""
        self._copies.withhold(context, Withheld.NO_ROOM)

    def started(
        self, context: RequestContext, first_event: FirstEvent, run: DraftRun
    ) -> None:
        """Record that another run was started."""
        target = run.chain[0].target
        first_event.copy = run
        first_event.copy_exchange = self._copies.begin(context, target)
        self._copies.record_sent(
            context, first_event.exchange, target, first_event.delay_s
        )

    def end(
        self,
        context: RequestContext,
        first_event: FirstEvent,
        *,
        run: DraftRun | None,
    ) -> None:
        """Record the first event, or that the first run ended without one.

        :param run: run with the first event; ``None`` without one.
        """
        has_event = run is not None
        exchange = first_event.exchange
        if exchange.took_s is None:
            self._copies.end(exchange, is_counted=has_event)
        copy_exchange = first_event.copy_exchange
        if copy_exchange is None or copy_exchange.took_s is not None:
            return
        is_won = has_event and run is first_event.copy
        self._copies.end(copy_exchange, is_counted=is_won)
        outcome = 'won' if is_won else 'lost'
        self._copies.record_end(
            context,
            exchange,
            copy_exchange,
            outcome if has_event else 'failed',
        )

    def end_if_seen(
        self, context: RequestContext, run: DraftRun, first_event: FirstEvent
    ) -> None:
        """Record the first event of a run if it has come."""
        if run.connection.peek() is not None:
            self.end(context, first_event, run=run)

    def end_unless_seen(
        self, context: RequestContext, first_event: FirstEvent | None
    ) -> None:
        """Record that a draft has ended, perhaps without an event."""
        if first_event is not None:
            self.end(context, first_event, run=None)

    def _is_permitted(
        self, context: RequestContext, first_event: FirstEvent
    ) -> bool:
        return self._copies.permits(
            context,
            first_event.exchange,
            first_event.delay_s,
            has_room=self._used_share(context) <= ROOM_SHARE,
        )

    def _used_share(self, context: RequestContext) -> float:
        """Return the part of the memory of the pool's engines in use."""
        engines = self._view.engine_loads(
            context.pool.name,
            context.pool.profile,
            context.avoided,
            self._clock.now_s(),
        )
        used = sum(engine.used_token_layers for engine in engines)
        total = sum(engine.total_token_layers for engine in engines)
        return used / max(1.0, total)

    def _waited_s(self, first_event: FirstEvent) -> float:
        return first_event.exchange.lasted_s(self._clock.now_s())


async def _wait(arrival: asyncio.Event, timeout_s: float) -> None:
    """Wait for an event or until a time has passed."""
    task = asyncio.ensure_future(arrival.wait())
    try:
        await asyncio.wait((task,), timeout=max(0.0, timeout_s))
    finally:
        task.cancel()
