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

from nutmegspoke.edge.attempts import Broken, CompleteAnswer
from nutmegspoke.entry_host import RetryRule
from nutmegspoke.forwarded import AnswerKind
from nutmegspoke.membership.received_updates import count_copied
from nutmegspoke.retries.copy_shares import PoolCopies
from nutmegspoke.retries.hedging import HedgeConditions, HedgePolicy, Withheld

if TYPE_CHECKING:
    from nutmegspoke.admission.answer_memory import HeldAnswer
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.attempts import FetchResult
    from nutmegspoke.edge.crash_watch import CrashWatch
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.edge_metrics import EdgeMetrics
    from nutmegspoke.edge.repeats import RetryPolicy
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.entry_host import TargetEntry
    from nutmegspoke.retries.hedging import Exchange
    from nutmegspoke.routing.least_loaded import LeastLoaded

logger = logging.getLogger(__name__)

# A target takes copies while at most this share of its slots is in use.
_ROOM_SHARE = 0.5


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

    :ivar is_overtaken: whether it was ended as the other one was answered.
    """

    target: TargetEntry
    exchange: Exchange
    held: HeldAnswer
    task: asyncio.Task[FetchResult] = dataclasses.field(init=False)
    is_overtaken: bool = False


class HedgedCalls:
    """Sender of calls that may send copies of slow ones."""

    def __init__(
        self,
        view: View,
        loads: LeastLoaded,
        crashes: CrashWatch,
        retries: RetryPolicy,
        log: DecisionLog,
        metrics: EdgeMetrics,
        clock: Clock,
    ) -> None:
        """Create a sender without calls."""
        self._view = view
        self._loads = loads
        self._crashes = crashes
        self._retries = retries
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._policy = HedgePolicy()

    def applies(self, context: RequestContext) -> bool:
        """Return whether a copy of a call may be sent if it becomes slow.

        It may be of a call that was not sent to another target before.
        """
        route = context.route
        return (
            self._view.host.hedging.max_share > 0
            and route.retry_rule is RetryRule.IDEMPOTENT
            and route.max_targets > 1
            and not context.sends
        )

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
        self._record_end(context, runs, winner)
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
        exchange = self._policy.sent(
            context.route.name, target.name, self._clock.now_s()
        )
        run = _Run(target, exchange, held)
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
            self._policy.ended(
                run.exchange,
                self._clock.now_s(),
                is_counted=run.is_overtaken or _tells_latency(result),
            )
        return result

    async def _copy_if_slow(
        self, context: RequestContext, first: _Run, send: CallSender
    ) -> _Run | None:
        """Wait for an answer; start a copy if it takes long and one may be.

        While one is withheld, it is looked at again after twice the time.
        """
        share = self._view.host.hedging.max_share
        delay_s = self._policy.delay_s(
            context.route.name,
            context.route.goal_s,
            share,
            self._clock.now_s(),
        )
        wait_s = delay_s
        while not await _has_ended(first, wait_s):
            target = self._find_copy_target(context, first, delay_s)
            if target is not None:
                return self._start_copy(context, first, target, send, delay_s)
            wait_s = first.exchange.lasted_s(self._clock.now_s())
        return None

    def _find_copy_target(
        self, context: RequestContext, first: _Run, delay_s: float
    ) -> TargetEntry | None:
        """Return the target for a copy; ``None`` if it is withheld."""
        now_s = self._clock.now_s()
        pool = first.target.pool
        target = self._find_target(context, pool, now_s, _ROOM_SHARE)
        conditions = self._find_conditions(
            context, pool, now_s, has_room=target is not None
        )
        withheld = self._policy.decide(
            first.exchange, conditions, delay_s, now_s
        )
        if withheld is None and not self._has_budget(context):
            withheld = Withheld.BUDGET
        if withheld is not None:
            self._count(context, f'withheld_{withheld}')
            return None
        return target

    def _start_copy(
        self,
        context: RequestContext,
        first: _Run,
        target: TargetEntry,
        send: CallSender,
        delay_s: float,
    ) -> _Run:
        now_s = self._clock.now_s()
        pool = target.pool
        context.is_hedged = True
        self._view.retry_budgets.copies.sent(pool, now_s)
        known = self._known_copies(pool, now_s)
        share = self._view.retry_budgets.copies.share(pool, known, now_s)
        self._count(context, 'sent')
        self._metrics.observe_copied_share(pool, share)
        self._log.decided(
            'hedge_sent',
            request=context.facts.request_id,
            route=context.route.name,
            cause='slow',
            target=first.target.name,
            copy_target=target.name,
            waited_s=round(first.exchange.lasted_s(now_s), 4),
            delay_s=round(delay_s, 4),
            requests_in_window=known.requests,
            copied_elsewhere=known.copied_elsewhere,
            copied_share=round(share, 4),
        )
        return self._start(
            context, target, context.held.another(), send, is_copy=True
        )

    def _find_conditions(
        self,
        context: RequestContext,
        pool: str,
        now_s: float,
        *,
        has_room: bool,
    ) -> HedgeConditions:
        conditions = self._view.conditions
        live = self._view.targets.live(pool)
        return HedgeConditions(
            may_crash=self._crashes.may_crash(context),
            is_sent=bool(context.sends),
            is_limited=bool(conditions.limits.limited(live, now_s)),
            is_paused=any(
                conditions.pauses.is_closed(entry.name, now_s) for entry in live
            ),
            has_target=self._find_target(context, pool, now_s) is not None,
            has_room=has_room,
            has_share=self._view.retry_budgets.copies.is_left(
                pool,
                self._known_copies(pool, now_s),
                self._view.host.hedging.max_share,
                now_s,
            ),
            left_s=context.left_s(now_s),
        )

    def _find_target(
        self,
        context: RequestContext,
        pool: str,
        now_s: float,
        room_share: float = math.inf,
    ) -> TargetEntry | None:
        """Return the target for a copy.

        :param room_share: share of its slots that may be in use.
        """
        usable = [
            entry
            for entry in self._view.targets.live(pool)
            if not self._view.faults.failed_recently(entry.name, now_s)
            and self._loads.busy_share(entry, now_s) <= room_share
        ]
        return self._loads.choose(usable, context.avoided, now_s)

    def _has_budget(self, context: RequestContext) -> bool:
        return self._retries.allows(
            context, 'slow', max_targets=context.route.max_targets
        )

    def _known_copies(self, pool: str, now_s: float) -> PoolCopies:
        own_count, _ = self._view.retry_budgets.for_pool(pool).usage(now_s)
        updates = self._view.load_updates
        return PoolCopies(
            own_count + updates.usage(pool, now_s).requests,
            count_copied(updates.others(now_s), pool),
        )

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

    def _record_end(
        self, context: RequestContext, runs: list[_Run], winner: _Run | None
    ) -> None:
        first, copy = runs
        outcome = 'failed'
        if winner is not None:
            outcome = 'won' if winner is copy else 'lost'
            for run in runs:
                run.is_overtaken = run is not winner
        now_s = self._clock.now_s()
        self._count(context, outcome)
        self._log.decided(
            'hedge_ended',
            request=context.facts.request_id,
            outcome=outcome,
            target=first.target.name,
            copy_target=copy.target.name,
            first_s=round(first.exchange.lasted_s(now_s), 4),
            copy_s=round(copy.exchange.lasted_s(now_s), 4),
        )

    def _count(self, context: RequestContext, outcome: str) -> None:
        self._metrics.count_hedge(context.route.name, outcome)


def is_answered(result: FetchResult) -> bool:
    """Return whether a target has answered, and not with an error."""
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
