"""Sends a copy of a slow call to another target; the first answer wins.

Both stay open. The first complete and sound answer is the caller's, and the
connection of the other is closed, which ends its work.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
from typing import TYPE_CHECKING, Protocol

from nutmegspoke.edge.attempts import Broken, CompleteAnswer, SentAnswer
from nutmegspoke.edge.copies import ROOM_SHARE
from nutmegspoke.entry_host import RetryRule
from nutmegspoke.forwarded import AnswerKind

if TYPE_CHECKING:
    from nutmegspoke.admission.answer_memory import HeldAnswer
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.attempts import FetchResult
    from nutmegspoke.edge.copies import Copies
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.entry_host import TargetEntry
    from nutmegspoke.retries.hedging import Exchange
    from nutmegspoke.routing.least_loaded import LeastLoaded

logger = logging.getLogger(__name__)


class CallSender(Protocol):
    """Sends a call to one target and waits for the result."""

    async def __call__(
        self,
        context: RequestContext,
        target: TargetEntry,
        held: HeldAnswer,
        *,
        may_retry: bool,
    ) -> FetchResult:
        """Return the result.

        :param held: memory that the answer takes.
        :param may_retry: whether another target may follow.
        """


@dataclasses.dataclass(eq=False, slots=True)
class _Run:
    """A call at one target.

    :ivar is_overtaken: whether it is ended as its copy was answered.
    """

    target: TargetEntry
    exchange: Exchange
    held: HeldAnswer
    task: asyncio.Task[FetchResult] = dataclasses.field(init=False)
    is_overtaken: bool = False


class HedgedCalls:
    """Sender of calls that may send copies of slow ones."""

    def __init__(
        self, view: View, loads: LeastLoaded, copies: Copies, clock: Clock
    ) -> None:
        """Create a sender without calls."""
        self._view = view
        self._loads = loads
        self._copies = copies
        self._clock = clock

    def applies(self, context: RequestContext) -> bool:
        """Return whether a copy of a call may be sent if it becomes slow."""
        is_idempotent = context.route.retry_rule is RetryRule.IDEMPOTENT
        return is_idempotent and self._copies.may_apply(context)

    async def fetch(
        self, context: RequestContext, target: TargetEntry, send: CallSender
    ) -> FetchResult:
        """Send a call, and a copy if it is slow; return the first answer.

        :param send: sends either of them; it ends the connection when it is
            cancelled.
        :returns: without an answer, the result that tells most.
        """
        runs = [self._start(context, target, context.held, send, is_copy=False)]
        try:
            kept = await self._run(context, runs, send)
        finally:
            await self._end(context, runs)
        return kept.task.result()

    async def _run(
        self, context: RequestContext, runs: list[_Run], send: CallSender
    ) -> _Run:
        """Return the run whose result the caller gets.

        :param runs: the first run, to which the copy is added.
        """
        first = runs[0]
        copy = await self._copy_if_slow(context, first, send)
        if copy is None:
            await first.task
            return first
        runs.append(copy)
        winner = await self._wait(runs)
        first.is_overtaken = winner is copy
        outcome = 'won' if winner is copy else 'lost'
        self._copies.record_end(
            context,
            first.exchange,
            copy.exchange,
            outcome if winner else 'failed',
        )
        kept = winner or _most_telling(runs)
        context.held = kept.held
        return kept

    def _start(
        self,
        context: RequestContext,
        target: TargetEntry,
        held: HeldAnswer,
        send: CallSender,
        *,
        is_copy: bool,
    ) -> _Run:
        run = _Run(target, self._copies.begin(context, target.name), held)
        run.task = asyncio.create_task(
            self._send(context, run, send, is_copy=is_copy)
        )
        return run

    async def _send(
        self,
        context: RequestContext,
        run: _Run,
        send: CallSender,
        *,
        is_copy: bool,
    ) -> FetchResult:
        result: FetchResult | None = None
        try:
            result = await send(
                context, run.target, run.held, may_retry=not is_copy
            )
        except Exception as error:
            if not is_copy:
                raise
            logger.exception('calls: a copy failed')
            return Broken(repr(error))
        finally:
            self._copies.end(
                run.exchange,
                is_counted=run.is_overtaken or _tells_latency(result),
            )
        return result

    async def _copy_if_slow(
        self, context: RequestContext, first: _Run, send: CallSender
    ) -> _Run | None:
        """Wait for an answer; start a copy if it takes long and one may be.

        While one is withheld, it is looked at again after twice the time.
        """
        delay_s = self._copies.delay_s(context)
        wait_s = delay_s
        while not await _has_ended(first, wait_s):
            target = self._choose(context, first, delay_s)
            if target is not None:
                context.is_hedged = True
                self._copies.record_sent(
                    context, first.exchange, target.name, delay_s
                )
                return self._start(
                    context, target, context.held.another(), send, is_copy=True
                )
            wait_s = first.exchange.lasted_s(self._clock.now_s())
        return None

    def _choose(
        self, context: RequestContext, first: _Run, delay_s: float
    ) -> TargetEntry | None:
        """Return the target for a copy; ``None`` if it is withheld."""
        target = self._find_target(context, first, ROOM_SHARE)
        is_permitted = self._copies.permits(
            context,
            first.exchange,
            delay_s,
            has_target=self._find_target(context, first, math.inf) is not None,
            has_room=target is not None,
        )
        if not is_permitted or not self._copies.charge(context):
            return None
        return target

    def _find_target(
        self, context: RequestContext, first: _Run, room_share: float
    ) -> TargetEntry | None:
        """Return the best other target.

        :param room_share: share of its slots that may be in use.
        """
        now_s = self._clock.now_s()
        usable = [
            entry
            for entry in self._view.targets.live(first.target.pool)
            if not self._view.faults.failed_recently(entry.name, now_s)
            and self._loads.busy_share(entry, now_s) <= room_share
        ]
        return self._loads.choose(usable, context.avoided, now_s)

    async def _wait(self, runs: list[_Run]) -> _Run | None:
        """Wait for an answer; ``None`` if all runs have failed."""
        pending = {run.task for run in runs}
        while pending:
            _, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for run in runs:
                if run.task.done() and is_answered(run.task.result()):
                    return run
        return None

    async def _end(self, context: RequestContext, runs: list[_Run]) -> None:
        """End the runs in flight, and give back what their answers hold."""
        pending = [run for run in runs if not run.task.done()]
        for run in pending:
            run.task.cancel()
        if pending:
            # Without a pause but for the cancellation itself.
            await asyncio.wait([run.task for run in pending])
        for run in runs:
            if run.held is not context.held:
                run.held.release()


def is_answered(result: FetchResult) -> bool:
    """Return whether a target has answered, and not with an error."""
    if isinstance(result, SentAnswer):
        return True
    if not isinstance(result, CompleteAnswer):
        return False
    return result.facts.kind != AnswerKind.FAILURE


async def _has_ended(run: _Run, wait_s: float) -> bool:
    """Return whether a run ends within a time."""
    await asyncio.wait((run.task,), timeout=wait_s)
    return run.task.done()


def _tells_latency(result: FetchResult | None) -> bool:
    if isinstance(result, Broken):
        return result.is_timeout or result.is_given_up
    return result is not None and is_answered(result)


def _most_telling(runs: list[_Run]) -> _Run:
    """Return the run whose result the caller is to get if all failed."""
    by_kind = (CompleteAnswer, Broken)
    for kind in by_kind:
        for run in runs:
            if isinstance(run.task.result(), kind):
                return run
    return runs[0]
