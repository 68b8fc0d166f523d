"""Decides on copies of slow requests with the state of the daemon.

Calls and drafts share the operator's limit, the retry budget and what is
counted and logged of copies.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.edge.repeats import RetryPolicy
from nutmegspoke.membership.received_updates import count_copied
from nutmegspoke.retries.copy_shares import PoolCopies
from nutmegspoke.retries.hedging import HedgeConditions, HedgePolicy, Withheld

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.crash_watch import CrashWatch
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.edge_metrics import EdgeMetrics
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.retries.hedging import Exchange

# Retries of this daemon that copies leave to failed requests.
_RESERVED_RETRIES = 2
# Targets take copies while at most this share of their room is in use.
ROOM_SHARE = 0.5


class Copies:
    """Policy on copies, with the limits that hold for all of them."""

    def __init__(
        self,
        view: View,
        crashes: CrashWatch,
        log: DecisionLog,
        metrics: EdgeMetrics,
        clock: Clock,
    ) -> None:
        """Start without requests."""
        self._view = view
        self._crashes = crashes
        self._retries = RetryPolicy(view, log, clock)
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._policy = HedgePolicy()

    def may_apply(self, context: RequestContext) -> bool:
        """Return whether copies of a request are of use if it is slow.

        They may not be if the operator permits none, or after the request was
        sent to another target. Its route must permit that it runs twice.
        """
        route = context.route
        return (
            self._view.host.hedging.max_share > 0
            and route.retry_rule.may_retry
            and route.max_targets > 1
            and not context.sends
        )

    def begin(self, context: RequestContext, target: str) -> Exchange:
        """Record that a request is sent to a target."""
        return self._policy.sent(
            context.route.name, target, self._clock.now_s()
        )

    def end(self, exchange: Exchange, *, is_counted: bool) -> None:
        """Record the end of a request at a target, or its first event.

        :param is_counted: whether its latency tells of the target.
        """
        self._policy.ended(exchange, self._clock.now_s(), is_counted=is_counted)

    def delay_s(self, context: RequestContext) -> float:
        """Return the time after which a request is slow, in seconds."""
        return self._policy.delay_s(
            context.route.name,
            context.route.goal_s,
            self._view.host.hedging.max_share,
            self._clock.now_s(),
        )

    def permits(
        self,
        context: RequestContext,
        exchange: Exchange,
        delay_s: float,
        *,
        has_target: bool = True,
        has_room: bool = True,
    ) -> bool:
        """Return whether a copy may be sent; count why not.

        The retry budget is charged by :meth:`charge` only.

        :param exchange: the request at its first target.
        :param delay_s: time after which it is slow, in seconds.
        """
        now_s = self._clock.now_s()
        conditions = self._conditions(
            context, now_s, has_target=has_target, has_room=has_room
        )
        withheld = self._policy.decide(exchange, conditions, delay_s, now_s)
        if withheld is not None:
            self.withhold(context, withheld)
        return withheld is None

    def charge(self, context: RequestContext) -> bool:
        """Charge the retry budget with a copy; ``False`` if it must not be."""
        is_allowed = self._retries.allows(
            context, 'slow', max_targets=context.route.max_targets
        )
        if not is_allowed:
            self.withhold(context, Withheld.BUDGET)
        return is_allowed

    def withhold(self, context: RequestContext, reason: Withheld) -> None:
        """Count a copy that is withheld."""
        self._count(context, f'withheld_{reason}')

    def record_sent(
        self,
        context: RequestContext,
        exchange: Exchange,
        copy_target: str,
        delay_s: float,
    ) -> None:
        """Count and log a copy that is sent to a target."""
        now_s = self._clock.now_s()
        pool = context.pool.name
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
            target=exchange.target,
            copy_target=copy_target,
            waited_s=round(exchange.lasted_s(now_s), 4),
            delay_s=round(delay_s, 4),
            requests_in_window=known.requests,
            copied_elsewhere=known.copied_elsewhere,
            copied_share=round(share, 4),
        )

    def record_end(
        self,
        context: RequestContext,
        exchange: Exchange,
        copy: Exchange,
        outcome: str,
    ) -> None:
        """Count and log what became of a copy.

        :param outcome: ``won``, ``lost``, or ``failed`` if none was answered.
        """
        now_s = self._clock.now_s()
        self._count(context, outcome)
        self._log.decided(
            'hedge_ended',
            request=context.facts.request_id,
            outcome=outcome,
            target=exchange.target,
            copy_target=copy.target,
            first_s=round(exchange.lasted_s(now_s), 4),
            copy_s=round(copy.lasted_s(now_s), 4),
        )

    def _conditions(
        self,
        context: RequestContext,
        now_s: float,
        *,
        has_target: bool,
        has_room: bool,
    ) -> HedgeConditions:
        pool = context.pool.name
        live = self._view.targets.live(pool)
        conditions = self._view.conditions
        return HedgeConditions(
            may_crash=self._crashes.may_crash(context),
            is_sent=bool(context.sends),
            is_limited=bool(conditions.limits.limited(live, now_s)),
            is_paused=any(
                conditions.pauses.is_closed(entry.name, now_s) for entry in live
            ),
            has_target=has_target,
            has_room=has_room,
            has_share=self._view.retry_budgets.copies.is_left(
                pool,
                self._known_copies(pool, now_s),
                self._view.host.hedging.max_share,
                now_s,
            ),
            has_budget=self._left_retries(pool, now_s) >= 1 + _RESERVED_RETRIES,
            left_s=context.left_s(now_s),
        )

    def _left_retries(self, pool: str, now_s: float) -> float:
        """Return the retries to a pool that this daemon may make now."""
        budget = self._view.retry_budgets.for_pool(pool)
        daemons = self._view.count_budget_daemons(now_s)
        others = self._view.load_updates.usage(pool, now_s)
        return budget.available(daemons, now_s, others)

    def _known_copies(self, pool: str, now_s: float) -> PoolCopies:
        own_count, _ = self._view.retry_budgets.for_pool(pool).usage(now_s)
        updates = self._view.load_updates
        return PoolCopies(
            own_count + updates.usage(pool, now_s).requests,
            count_copied(updates.others(now_s), pool),
        )

    def _count(self, context: RequestContext, outcome: str) -> None:
        self._metrics.count_hedge(context.route.name, outcome)
