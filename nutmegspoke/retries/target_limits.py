"""Limits on requests that targets name for all hosts together.

No host has a share of its own: with few requests a second and hundreds of hosts,
such a share would be a fraction of a request. Instead each request opens a limited
target with the same probability at all hosts, which follows from the limit and the
requests of callers at all hosts. So the allowance goes where the requests are. What
hosts have sent lately bounds it: nothing more is sent while that exceeds the limit.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from nutmegspoke.entry_host import TargetEntry

# Time in which sent requests are counted.
WINDOW_S = 4.0
# Requests that may have been sent in the window: a multiple of what the limit
# allows, and some more, as requests don't come at regular intervals.
_WINDOW_FACTOR = 1.1
_WINDOW_SLACK = 2
# Factor on the probability that a repeat opens a target.
_REPEAT_WEIGHT = 3
# Part of a limit that is used while hosts don't hear of each other's requests.
_UNHEARD_PART = 0.75
# An open target is often not chosen. Its probability rises while less is sent than
# the limit allows, by this rate at most, up to the factor.
_GAIN_PER_S = 0.3
_MAX_GAIN = 3.0
_MAX_GAIN_STEP_S = 1.0
# Part of what a limit allows that the gain is to reach.
_WANTED_PART = 0.9
# Rate of requests that ask a target whether its limit of almost 0 still holds.
_MIN_RATE_PER_S = 0.1
# After the end of a limit the rate doubles with each step, until the return is
# over.
_RETURN_STEP_S = 0.25
_RETURN_S = 2.0
# Part of a limit that polls of the target's report may take, and the longest
# pause between two polls.
_POLL_PART = 0.1
_MAX_POLL_PAUSE_S = 8.0
# Bounds of the time after which refused callers return.
_MIN_WAIT_S = 0.5
_MAX_WAIT_S = 3.0
# News without confirmation are dropped after this time. That of an end outlives
# the limits of daemons that were cut off.
_FORGET_S = 60.0
# Longer than an update takes, so that a daemon's own news that another returns
# don't pass for newer.
_TRANSIT_S = 0.02


class LimitNews(msgspec.Struct, frozen=True, array_like=True):
    """What daemons know of the limit of a target.

    :param started_ms: start of the target that named it; 0 if unknown.
    :param limit_per_s: requests a second that it takes from all hosts.
    :param age_s: time since the last answer that said so.
    :param sent: requests that were sent to it in the last window.
    :param has_ended: whether that answer named no limit any more.
    """

    started_ms: int
    limit_per_s: float
    age_s: float
    sent: int = 0
    has_ended: bool = False

    def is_possible(self) -> bool:
        """Return whether the numbers can be true."""
        numbers = (self.started_ms, self.limit_per_s, self.age_s, self.sent)
        return all(0 <= number < math.inf for number in numbers)

    def aged(self, age_s: float) -> LimitNews:
        """Return the same news some seconds later."""
        return msgspec.structs.replace(self, age_s=round(self.age_s + age_s, 2))

    def merged(self, other: LimitNews) -> LimitNews:
        """Return what two groups of daemons know and have sent together."""
        newer = max(
            self, other, key=lambda each: (each.started_ms, -each.age_s)
        )
        return msgspec.structs.replace(newer, sent=self.sent + other.sent)

    def without(self, part: LimitNews) -> LimitNews:
        """Return the news without the requests of a part of the daemons."""
        return msgspec.structs.replace(self, sent=self.sent - part.sent)


@dataclasses.dataclass(frozen=True, slots=True)
class Draw:
    """Draw of a request for limited targets.

    :param place: from 0 to 1, evenly distributed over requests.
    :param is_repeat: whether the request was sent before. Its caller has waited,
        and may have a part of the answer.
    """

    place: float
    is_repeat: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Requests for a pool, and what is known of other hosts.

    :param requests_per_s: requests of callers at all hosts.
    :param unheard_hosts: hosts whose updates don't arrive. They are taken to
        have as many requests as this one, and to send as many.
    """

    requests_per_s: float
    unheard_hosts: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitUse:
    """A limit in force, and what this host has sent.

    :param since_s: since when this host knows of a limit of the target.
    :param answered_s: time of the last answer that names it.
    :param sent_count: requests of this host in the last window.
    """

    limit_per_s: float
    since_s: float
    answered_s: float
    sent_count: int


@dataclasses.dataclass(slots=True)
class _Limit:
    """The limit of a target, as last named or heard of.

    :ivar answered_s: time of the answer that names it, or names none any more.
    :ivar since_s: since when this host knows of a limit of the target.
    :ivar sent_s: times of requests of this host in the last window.
    :ivar polled_s: time of its last poll of the target's report.
    :ivar sent_elsewhere_s: the same of other hosts, as they tell at once.
    :ivar untold_count: requests of this host that others are not told of yet.
    :ivar gain: factor on the probability that a request opens the target.
    :ivar gained_s: time at which it was last changed; ``None`` for never.
    """

    started_ms: int
    limit_per_s: float
    answered_s: float
    since_s: float
    has_ended: bool = False
    sent_s: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    polled_s: float = float('-inf')
    sent_elsewhere_s: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    untold_count: int = 0
    gain: float = 1.0
    gained_s: float | None = None

    def is_known(self, now_s: float) -> bool:
        """Return whether there was an answer in the last time."""
        return now_s - self.answered_s <= _FORGET_S

    def applies(self, now_s: float) -> bool:
        """Return whether the limit, or the return after it, has not ended."""
        age_s = now_s - self.answered_s
        return age_s <= (_RETURN_S if self.has_ended else _FORGET_S)

    def rate_per_s(self, now_s: float) -> float:
        """Return the rate of requests that may be sent by all hosts."""
        rate_per_s = max(self.limit_per_s, _MIN_RATE_PER_S)
        if self.has_ended:
            steps = (now_s - self.answered_s) / _RETURN_STEP_S
            return rate_per_s * 2**steps
        return rate_per_s

    def sent_count(self, now_s: float) -> int:
        """Return the requests that this host has sent in the last window."""
        return _count_recent(self.sent_s, now_s)

    def total_count(
        self, told_count: int, unheard_hosts: int, now_s: float
    ) -> int:
        """Return the requests that all hosts have sent in the last window.

        :param told_count: those of others, as they tell from time to time. It
            is late, but nothing is missing if updates are lost.
        """
        own_count = self.sent_count(now_s) * (1 + unheard_hosts)
        elsewhere = _count_recent(self.sent_elsewhere_s, now_s)
        return own_count + max(told_count, elsewhere)

    def adjust_gain(self, sent_count: int, now_s: float) -> None:
        """Raise the gain if too little is sent, and lower it otherwise."""
        limit_count = max(self.limit_per_s, _MIN_RATE_PER_S) * WINDOW_S
        lack = _WANTED_PART * limit_count - sent_count
        last_s = now_s if self.gained_s is None else self.gained_s
        step_s = min(_MAX_GAIN_STEP_S, now_s - last_s)
        # The slack damps the noise of small counts.
        change = _GAIN_PER_S * step_s * lack / (limit_count + _WINDOW_SLACK)
        self.gain = min(_MAX_GAIN, max(1.0, self.gain * math.exp(change)))
        self.gained_s = now_s

    def is_used_up(self, sent_count: int) -> bool:
        """Return whether the requests of the last window are all it takes."""
        allowed = _WINDOW_FACTOR * self.limit_per_s * WINDOW_S + _WINDOW_SLACK
        return not self.has_ended and sent_count >= allowed


def _count_recent(times_s: collections.deque[float], now_s: float) -> int:
    """Return the number of times in the last window; drop the older ones."""
    while times_s and times_s[0] <= now_s - WINDOW_S:
        times_s.popleft()
    return len(times_s)


class TargetLimits:
    """Limits of targets that this host or others know of.

    :ivar on_sent: called with each request that is sent to a limited target.
    """

    def __init__(self) -> None:
        """Start without limits."""
        self._limits: dict[str, _Limit] = {}
        self.on_sent: Callable[[], None] = _ignore

    @property
    def are_none(self) -> bool:
        """Return whether no target has named a limit lately."""
        return not self._limits

    def record_answer(
        self, entry: TargetEntry, limit_per_s: float | None, now_s: float
    ) -> bool:
        """Record the limit that an answer of a target names.

        :param limit_per_s: ``None`` if it names none.
        :returns: whether that is new.
        """
        known = self._limits.get(entry.name)
        if limit_per_s is None:
            return known is not None and self._end(known, now_s)
        if known is None or known.started_ms != entry.started_ms:
            self._limits[entry.name] = _Limit(
                entry.started_ms, limit_per_s, now_s, now_s
            )
            return True
        is_new = known.has_ended or known.limit_per_s != limit_per_s
        known.since_s = now_s if known.has_ended else known.since_s
        known.limit_per_s = limit_per_s
        known.answered_s = now_s
        known.has_ended = False
        return is_new

    def receive(self, news: Mapping[str, LimitNews], now_s: float) -> list[str]:
        """Apply what another daemon knows, unless this one knows better.

        :returns: targets of which something new was learnt.
        """
        return [
            target
            for target, limit in news.items()
            if self._receive(target, limit, now_s)
        ]

    def outgoing(self, now_s: float) -> dict[str, LimitNews]:
        """Return what other daemons must know; forget what is over."""
        self._limits = {
            target: limit
            for target, limit in self._limits.items()
            if limit.is_known(now_s)
        }
        return {
            target: LimitNews(
                limit.started_ms,
                limit.limit_per_s,
                round(now_s - limit.answered_s, 2),
                limit.sent_count(now_s),
                limit.has_ended,
            )
            for target, limit in self._limits.items()
        }

    def sent(self, target: str, now_s: float) -> None:
        """Count a request that is sent to a target."""
        limit = self._limits.get(target)
        if limit is None or limit.has_ended:
            return
        limit.sent_s.append(now_s)
        limit.untold_count += 1
        self.on_sent()

    def take_untold(self) -> dict[str, int]:
        """Return the requests that others must be told of, by target."""
        untold: dict[str, int] = {}
        for target, limit in self._limits.items():
            if limit.untold_count:
                untold[target] = limit.untold_count
                limit.untold_count = 0
        return untold

    def sent_elsewhere(self, sent: Mapping[str, int], now_s: float) -> None:
        """Count the requests that another daemon has just sent."""
        for target, count in sent.items():
            limit = self._limits.get(target)
            if limit is not None:
                limit.sent_elsewhere_s.extend(itertools.repeat(now_s, count))

    def find(self, target: str, now_s: float) -> float | None:
        """Return the limit of a target, in requests a second."""
        use = self.uses(now_s).get(target)
        return None if use is None else use.limit_per_s

    def may_poll(self, target: str, now_s: float) -> bool:
        """Return whether a target may be asked for a report.

        Reports of a limited target take a small part of what it allows.
        """
        limit = self._limits.get(target)
        if limit is None or not limit.applies(now_s):
            return True
        pause_s = 1 / (_POLL_PART * max(limit.limit_per_s, _MIN_RATE_PER_S))
        return now_s - limit.polled_s >= min(_MAX_POLL_PAUSE_S, pause_s)

    def polled(self, target: str, now_s: float) -> None:
        """Count a report that a target is asked for, which is a request, too."""
        limit = self._limits.get(target)
        if limit is not None:
            limit.polled_s = now_s
            self.sent(target, now_s)

    def uses(self, now_s: float) -> dict[str, LimitUse]:
        """Return the limits in force by target."""
        return {
            target: LimitUse(
                limit.limit_per_s,
                limit.since_s,
                limit.answered_s,
                limit.sent_count(now_s),
            )
            for target, limit in self._limits.items()
            if limit.applies(now_s) and not limit.has_ended
        }

    def limited(
        self, entries: Iterable[TargetEntry], now_s: float
    ) -> list[TargetEntry]:
        """Return the entries of targets to which a limit applies."""
        return [
            entry
            for entry in entries
            if self._applied(entry, now_s) is not None
        ]

    def closed(
        self,
        entries: Iterable[TargetEntry],
        draw: Draw,
        demand: Demand,
        others_sent: Mapping[str, int],
        now_s: float,
    ) -> frozenset[str]:
        """Return the targets that a request must not be sent to.

        The probabilities of the targets follow each other on a circle, and a
        request opens those at its place. So it opens one of them at least if
        they take all requests together.

        :param draw: draw of the request.
        :param others_sent: requests that others have sent in the last window.
        """
        closed: set[str] = set()
        place = 0.0
        for entry in sorted(
            self.limited(entries, now_s), key=lambda each: each.name
        ):
            limit = self._limits[entry.name]
            sent_count = limit.total_count(
                others_sent.get(entry.name, 0), demand.unheard_hosts, now_s
            )
            limit.adjust_gain(sent_count, now_s)
            if limit.is_used_up(sent_count):
                closed.add(entry.name)
                continue
            rate_per_s = limit.rate_per_s(now_s) * limit.gain
            if demand.unheard_hosts:
                rate_per_s = limit.rate_per_s(now_s) * _UNHEARD_PART
            if draw.is_repeat:
                rate_per_s *= _REPEAT_WEIGHT
            chance = rate_per_s / max(demand.requests_per_s, rate_per_s)
            if math.fmod(1 + draw.place - place, 1) >= chance:
                closed.add(entry.name)
            place = math.fmod(place + chance, 1)
        return frozenset(closed)

    def wait_s(
        self, entries: Iterable[TargetEntry], demand: Demand, now_s: float
    ) -> float:
        """Return the time after which a refused caller may return, in seconds.

        The more requests there are for each one that the limits allow, the
        longer it is.

        :returns: infinity if no limit applies to any of them.
        """
        rate_per_s = sum(
            self._limits[entry.name].rate_per_s(now_s)
            for entry in self.limited(entries, now_s)
        )
        if not rate_per_s:
            return math.inf
        wait_s = demand.requests_per_s / rate_per_s
        return min(_MAX_WAIT_S, max(_MIN_WAIT_S, wait_s))

    def _applied(self, entry: TargetEntry, now_s: float) -> _Limit | None:
        """Return the limit of a target unless it ended with another start."""
        limit = self._limits.get(entry.name)
        if limit is None or not limit.applies(now_s):
            return None
        return limit if limit.started_ms == entry.started_ms else None

    def _end(self, limit: _Limit, now_s: float) -> bool:
        if limit.has_ended:
            return False
        limit.has_ended = True
        limit.answered_s = now_s
        return True

    def _receive(self, target: str, news: LimitNews, now_s: float) -> bool:
        answered_s = now_s - news.age_s - _TRANSIT_S
        known = self._limits.get(target)
        if known is None:
            if news.has_ended:
                return False
            self._limits[target] = _Limit(
                news.started_ms, news.limit_per_s, answered_s, now_s
            )
            return True
        order = (news.started_ms, answered_s)
        if order <= (known.started_ms, known.answered_s):
            return False
        is_same = (known.limit_per_s, known.has_ended, known.started_ms) == (
            news.limit_per_s,
            news.has_ended,
            news.started_ms,
        )
        known.started_ms = news.started_ms
        known.limit_per_s = news.limit_per_s
        known.has_ended = news.has_ended
        known.answered_s = answered_s
        return not is_same


def _ignore() -> None:
    """Do nothing; default of ``on_sent``."""
