"""What targets say of themselves in their answers.

These are pauses, limits and departures.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from nutmegspoke.membership.received_updates import requests_to_limited
from nutmegspoke.retries.target_limits import Demand, Draw


if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.entry_host import TargetEntry
    from nutmegspoke.forwarded import AnswerFacts

# Interval at which invalid limits are logged.
_INVALID_LOG_INTERVAL_S = 5.0
_DRAW_BYTES = 4


class TargetNotices:
    """Recorder of what the answers of targets say, and of what is sent."""

    def __init__(self, view: View, log: DecisionLog, clock: Clock) -> None:
        """Create a recorder that writes to a view and a log."""
        self._view = view
        self._log = log
        self._clock = clock
        self._invalid_logged_s = float('-inf')

    def sent(self, target: str) -> None:
        """Record that a request was sent to a target."""
        self._view.conditions.sent(target, self._clock.now_s())

    def record(
        self, context: RequestContext, target: str, facts: AnswerFacts
    ) -> None:
        """Record what an answer says.

        :param target: name of the target that answered.
        """
        if not facts.is_other_target:
            self._record_limit(context, target, facts)
        if facts.is_leaving and not facts.is_other_target:
            entry = self._view.targets.find(target)
            if entry is not None:
                record_departure(
                    self._view,
                    self._log,
                    entry,
                    request_id=context.facts.request_id,
                )
        if facts.pause_s <= 0:
            return
        self._view.conditions.pauses.begin(
            target, facts.pause_s, self._clock.now_s()
        )
        self._log.decided(
            'target_asks_pause',
            request=context.facts.request_id,
            target=target,
            pause_s=facts.pause_s,
            load=facts.load,
        )

    def _record_limit(
        self, context: RequestContext, target: str, facts: AnswerFacts
    ) -> None:
        now_s = self._clock.now_s()
        if facts.invalid_limit:
            self._log_invalid(target, facts.invalid_limit, now_s)
        entry = self._view.targets.find(target)
        if entry is None:
            return
        if self._view.conditions.limits.record_answer(
            entry, facts.limit_per_s, now_s
        ):
            self._log.decided(
                'target_names_limit',
                request=context.facts.request_id,
                target=target,
                limit_per_s=facts.limit_per_s,
                layers=str(entry.layers),
                load=facts.load,
            )

    def _log_invalid(self, target: str, invalid: str, now_s: float) -> None:
        if now_s - self._invalid_logged_s < _INVALID_LOG_INTERVAL_S:
            return
        self._invalid_logged_s = now_s
        self._log.decided('limit_invalid', target=target, limit=invalid)


def record_departure(
    view: View, log: DecisionLog, entry: TargetEntry, *, request_id: str
) -> None:
    """Record that a target has said that it leaves.

    :param request_id: id of the answered request; empty for a report.
    """
    if view.conditions.departures.announced(entry):
        log.decided(
            'target_says_leaving',
            request=request_id,
            target=entry.name,
            address=entry.address,
            listed_as=entry.state.value,
        )


def open_targets(view: View, pool: str, now_s: float) -> list[TargetEntry]:
    """Return the live targets of a pool that are not closed by a pause."""
    return view.conditions.pauses.filter_open(view.targets.live(pool), now_s)


def closed_by_limits(
    view: View, context: RequestContext, now_s: float
) -> frozenset[str]:
    """Return the targets that a request must not be sent to, for their limits.

    A draft is sent to the first engine of its chain only.
    """
    limits = view.conditions.limits
    if limits.are_none:
        return frozenset()
    limited = limits.limited(
        open_targets(view, context.pool.name, now_s), now_s
    )
    usable = _usable_targets(view, context, limited, now_s)
    # One that is left out gets no request as the last choice, either.
    left_out = frozenset(
        entry.name
        for entry in limited
        if view.faults.is_left_out(entry.name, now_s)
    )
    return left_out | limits.closed(
        usable,
        Draw(_place(context), is_repeat=context.sends > 0),
        find_demand(view, context.pool.name, now_s),
        requests_to_limited(view.load_updates.others(now_s)),
        now_s,
    )


def limit_wait_s(view: View, context: RequestContext, now_s: float) -> float:
    """Return the time after which a refused caller may return, in seconds.

    :returns: infinity without limited targets.
    """
    limits = view.conditions.limits
    limited = limits.limited(
        open_targets(view, context.pool.name, now_s), now_s
    )
    return limits.wait_s(
        _usable_targets(view, context, limited, now_s) or limited,
        find_demand(view, context.pool.name, now_s),
        now_s,
    )


def _usable_targets(
    view: View,
    context: RequestContext,
    limited: list[TargetEntry],
    now_s: float,
) -> list[TargetEntry]:
    """Return the limited targets that a request could be sent to otherwise."""
    return [
        entry
        for entry in limited
        if entry.name not in context.avoided
        and not view.faults.is_left_out(entry.name, now_s)
        and (context.pool.profile is None or _may_be_first(entry))
    ]


def _may_be_first(entry: TargetEntry) -> bool:
    return entry.layers is not None and entry.layers.start == 0


def _place(context: RequestContext) -> float:
    """Return a number from 0 to 1 that differs between attempts."""
    attempt = f'{context.facts.request_id}/{context.sends}'
    digest = hashlib.blake2b(attempt.encode(), digest_size=_DRAW_BYTES)
    return int.from_bytes(digest.digest()) / 2 ** (8 * _DRAW_BYTES)


def find_demand(view: View, pool: str, now_s: float) -> Demand:
    """Return the requests for a pool at all hosts, in the window of retries.

    Hosts that have become silent lately may only be cut off from this one. If
    none was heard, it is this host that is cut off from all.
    """
    own_count, _ = view.retry_budgets.for_pool(pool).usage(now_s)
    updates = view.load_updates
    others = updates.usage(pool, now_s).requests
    known = updates.count_known_hosts(now_s) or updates.relays.count_hosts()
    unheard = max(0, known - updates.daemons(now_s))
    total = own_count * (1 + unheard) + others
    return Demand(total / view.host.bounds.retry_window_s, unheard)


def pause_left_s(view: View, pool: str, now_s: float) -> float:
    """Return the time until a target of a pool opens after its pause.

    :returns: infinity if none is closed by a pause.
    """
    names = (entry.name for entry in view.targets.live(pool))
    return view.conditions.pauses.left_s(names, now_s)
