"""Decides when a copy of a slow request is sent to another target."""

from __future__ import annotations

import collections
import dataclasses
import enum

from nutmegspoke.retries.latencies import Latencies

# A copy is sent no earlier than after this time.
_MIN_DELAY_S = 0.005
# Part of the limit that the slowest requests of usual times use; the rest is
# for times in which some targets are slow.
_USUAL_PART = 0.5
# Until enough answers are known, a request is slow after this part of the goal
# of its route.
_GOAL_PART = 0.5
# Part of the time of a request by which its copy must be sent to be of use.
_LATEST_PART = 0.8
# Last requests of a route that show whether all targets are slow.
_RECENT_COUNT = 64
_RECENT_S = 10.0
# Routes whose last requests are kept; the oldest are dropped first.
_MAX_ROUTES = 256
# Of the last requests at other targets, this many are looked at, and this share
# of them over the delay shows that all targets are slow.
_LAST_COUNT = 8
_SLOW_SHARE = 0.5
# Of the requests that were sent to other targets since, this share over the
# median shows the same earlier, if they are enough.
_LATER_COUNT = 4
_LATER_SLOW_SHARE = 0.9
_MEDIAN = 0.5


class Withheld(enum.StrEnum):
    """Reason for which no copy of a slow request is sent.

    ``MAY_CRASH``: the request may have crashed a target. ``NOT_SENT``: its
    first target is still being reached. ``LIMITED`` and
    ``PAUSED``: targets of the pool name limits or ask for pauses. ``NO_ROOM``:
    the best other target is too busy. ``SHARE``: the operator's limit is
    reached. ``BUDGET``: the retry budget is left to failed requests, or the
    retry policy does not allow another target.
    """

    MAY_CRASH = 'may_crash'
    NOT_SENT = 'not_sent'
    LIMITED = 'limited'
    PAUSED = 'paused'
    NO_TARGET = 'no_target'
    NO_ROOM = 'no_room'
    OUT_OF_TIME = 'out_of_time'
    ALL_SLOW = 'all_slow'
    SHARE = 'share'
    BUDGET = 'budget'


@dataclasses.dataclass(frozen=True, slots=True)
class HedgeConditions:
    """What is known of a pool and a request when it has become slow.

    :param may_crash: whether the request may have crashed a target.
    :param is_sent: whether the request has left; not while its target is being
        reached.
    :param is_limited: whether targets of the pool name limits.
    :param is_paused: whether targets of the pool have asked for a pause.
    :param has_target: whether there is another usable target.
    :param has_room: whether that target is not too busy.
    :param has_share: whether one more copy is within the operator's limit.
    :param has_budget: whether the retry budget has one more than is left to
        failed requests.
    :param left_s: seconds until the deadline of the request.
    """

    may_crash: bool = False
    is_sent: bool = True
    is_limited: bool = False
    is_paused: bool = False
    has_target: bool = True
    has_room: bool = True
    has_share: bool = True
    has_budget: bool = True
    left_s: float = float('inf')


@dataclasses.dataclass(eq=False, slots=True)
class Exchange:
    """A request that was sent to a target.

    :param sent_s: time at which it was sent, in seconds.
    :param took_s: time that its answer took; ``None`` while it is in flight.
        Of one that was overtaken by its copy, the time until then.
    """

    route: str
    target: str
    sent_s: float
    took_s: float | None = None

    def lasted_s(self, now_s: float) -> float:
        """Return the time that it has taken up to now."""
        return now_s - self.sent_s if self.took_s is None else self.took_s


class HedgePolicy:
    """Policy on copies, from the latencies that this daemon has seen."""

    def __init__(self) -> None:
        """Start without requests."""
        self._latencies = Latencies()
        self._recent: dict[str, collections.deque[Exchange]] = {}

    def delay_s(
        self, route: str, goal_s: float, max_share: float, now_s: float
    ) -> float:
        """Return the time after which a request of a route is slow.

        That is the quantile above which a part of the permitted share lies.

        :param goal_s: goal of the route, in seconds.
        :param max_share: limit on copies as a share of requests.
        :param now_s: current time, in seconds.
        """
        quantile = 1 - _USUAL_PART * max_share
        delay_s = self._latencies.typical_s(route, quantile, now_s)
        if delay_s is None:
            delay_s = _GOAL_PART * goal_s
        return max(_MIN_DELAY_S, delay_s)

    def sent(self, route: str, target: str, now_s: float) -> Exchange:
        """Record that a request was sent to a target."""
        recent = self._recent.get(route)
        if recent is None:
            if len(self._recent) >= _MAX_ROUTES:
                self._recent.pop(next(iter(self._recent)))
            recent = collections.deque(maxlen=_RECENT_COUNT)
            self._recent[route] = recent
        exchange = Exchange(route, target, now_s)
        recent.append(exchange)
        return exchange

    def ended(
        self, exchange: Exchange, now_s: float, *, is_counted: bool
    ) -> None:
        """Record the end of a request at a target.

        :param is_counted: whether its latency tells of the target: it was
            answered, or overtaken by its copy. If overtaken requests did not
            count, the quantiles would shrink.
        """
        exchange.took_s = now_s - exchange.sent_s
        if is_counted:
            self._latencies.add(
                exchange.route, exchange.target, exchange.took_s, now_s
            )
            return
        recent = self._recent.get(exchange.route, collections.deque())
        if exchange in recent:
            recent.remove(exchange)

    def decide(
        self,
        exchange: Exchange,
        conditions: HedgeConditions,
        delay_s: float,
        now_s: float,
    ) -> Withheld | None:
        """Return why no copy of a slow request is to be sent.

        :param exchange: the request at its first target.
        :param delay_s: time after which it is slow, in seconds.
        :param now_s: current time, in seconds.
        :returns: ``None`` if a copy may be sent.
        """
        waited_s = exchange.lasted_s(now_s)
        latest_s = _LATEST_PART * (waited_s + conditions.left_s)
        checks = (
            (Withheld.MAY_CRASH, conditions.may_crash),
            (Withheld.NOT_SENT, not conditions.is_sent),
            (Withheld.LIMITED, conditions.is_limited),
            (Withheld.PAUSED, conditions.is_paused),
            (Withheld.NO_TARGET, not conditions.has_target),
            (Withheld.NO_ROOM, not conditions.has_room),
            (Withheld.OUT_OF_TIME, waited_s > latest_s),
            (Withheld.ALL_SLOW, self._are_all_slow(exchange, delay_s, now_s)),
            (Withheld.SHARE, not conditions.has_share),
            (Withheld.BUDGET, not conditions.has_budget),
        )
        return next((reason for reason, holds in checks if holds), None)

    def _are_all_slow(
        self, exchange: Exchange, delay_s: float, now_s: float
    ) -> bool:
        """Return whether requests at other targets are slow as well.

        Then a copy would be slow, too, and add to the load that may be the
        cause.
        """
        others = [
            other
            for other in self._recent.get(exchange.route, ())
            if other.target != exchange.target
            and now_s - other.sent_s <= _RECENT_S
        ]
        last = _known(others, delay_s, now_s)[-_LAST_COUNT:]
        if _are_slow(last, delay_s, _SLOW_SHARE, now_s):
            return True
        median_s = self._latencies.typical_s(exchange.route, _MEDIAN, now_s)
        if median_s is None:
            return False
        since = [other for other in others if other.sent_s >= exchange.sent_s]
        later = _known(since, median_s, now_s)
        if len(later) < _LATER_COUNT:
            return False
        return _are_slow(later, median_s, _LATER_SLOW_SHARE, now_s)


def _known(
    exchanges: list[Exchange], limit_s: float, now_s: float
) -> list[Exchange]:
    """Return those of which is known whether they take longer than a limit."""
    return [
        exchange
        for exchange in exchanges
        if exchange.took_s is not None or exchange.lasted_s(now_s) > limit_s
    ]


def _are_slow(
    exchanges: list[Exchange], limit_s: float, share: float, now_s: float
) -> bool:
    """Return whether at least a share of some exchanges is over a limit."""
    slow = sum(exchange.lasted_s(now_s) > limit_s for exchange in exchanges)
    return bool(exchanges) and slow >= share * len(exchanges)
