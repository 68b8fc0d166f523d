"""Model of calls to a pool whose targets turn slow, in virtual time.

A target handles as many calls at once as it has slots; others wait in its
queue. One host sends all calls, each to the target with the fewest.
"""

from __future__ import annotations

import dataclasses
import enum
import heapq
import itertools
import random
import statistics
import sys
from typing import TYPE_CHECKING

from nutmegspoke.retries.copy_shares import CopyShares, PoolCopies
from nutmegspoke.retries.hedging import HedgeConditions, HedgePolicy
from nutmegspoke.retries.window_budget import WindowBudget, WindowSettings

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.retries.hedging import Exchange

TARGETS = 20
_SLOTS = 6
_CALLS_PER_S = 400.0
_MEDIAN_S = 0.04
_SPREAD = 0.35
_DEADLINE_S = 3.0
_GOAL_S = 0.2
_FAULT_START_S = 30.0
_FAULT_STOP_S = 60.0
_PAUSE_STOP_S = 32.0
_END_S = 60.0
_SLOWNESS = 8.0
_ROOM_SHARE = 0.5
_GOAL_PART = 0.75
_WINDOW = WindowSettings(share=0.2, slack=100.0, window_s=10.0)
_POOL = 'records'
_ROUTE = 'reads'


class Way(enum.Enum):
    """When a copy is sent."""

    NEVER = 'none'
    QUANTILE = 'after a quantile'
    GOAL_PART = 'after a share of the goal'
    AT_ONCE = 'at once on two'


class Load(enum.Enum):
    """What goes wrong with the targets, from second 30 on."""

    USUAL = 'nothing'
    SLOW_TENTH = 'a slow tenth'
    PAUSE = 'a pause of one'
    ALL_SLOW = 'all slow'


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Latencies of the calls since the fault began, and copies of them.

    :param copies: copies as a share of all calls.
    :param copies_in_fault: number of copies since the fault began.
    :param work: work of all targets as a multiple of that of one run a call.
    """

    p50_s: float
    p99_s: float
    p999_s: float
    longest_s: float
    copies: float
    copies_in_fault: int
    work: float


@dataclasses.dataclass(eq=False, slots=True)
class _Call:
    started_s: float
    work_s: float
    exchange: Exchange | None = None
    targets: list[int] = dataclasses.field(default_factory=list)
    ended_s: float | None = None


@dataclasses.dataclass(eq=False, slots=True)
class _Run:
    call: _Call
    target: int
    work_s: float
    began_s: float | None = None
    is_over: bool = False


class HedgingModel:
    """Calls of one host to a pool.

    :param max_share: limit on copies; only for the way by a quantile.
    """

    def __init__(
        self, way: Way, load: Load, max_share: float = 0.05, seed: int = 1
    ) -> None:
        """Create the pool without calls."""
        self._way = way
        self._load = load
        self._max_share = max_share
        # Streams of their own, so that copies don't change the calls.
        self._arrivals = random.Random(f'{seed}/arrivals')  # noqa: S311
        self._choices = random.Random(f'{seed}/choices')  # noqa: S311
        self._copy_works = random.Random(f'{seed}/copies')  # noqa: S311
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._running: list[set[_Run]] = [set() for _ in range(TARGETS)]
        self._waiting: list[list[_Run]] = [[] for _ in range(TARGETS)]
        self._policy = HedgePolicy()
        self._copies = CopyShares(_WINDOW.window_s)
        self._budget = WindowBudget(_WINDOW)
        self._calls: list[_Call] = []
        self._copied_s: list[float] = []
        self._worked_s = 0.0

    def run(self) -> Outcome:
        """Play all calls, and return what callers saw."""
        self._at(0.0, self._arrive)
        while self._events:
            self._now_s, _, happen = heapq.heappop(self._events)
            happen()
        took_s = sorted(
            (call.ended_s or self._now_s) - call.started_s
            for call in self._calls
            if call.started_s >= _FAULT_START_S
        )
        return Outcome(
            _quantile(took_s, 0.5),
            _quantile(took_s, 0.99),
            _quantile(took_s, 0.999),
            took_s[-1],
            len(self._copied_s) / len(self._calls),
            sum(time_s >= _FAULT_START_S for time_s in self._copied_s),
            self._worked_s / sum(call.work_s for call in self._calls),
        )

    def _at(self, time_s: float, happen: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._numbers), happen))

    def _arrive(self) -> None:
        next_s = self._now_s + self._arrivals.expovariate(_CALLS_PER_S)
        if next_s < _END_S:
            self._at(next_s, self._arrive)
        work_s = _MEDIAN_S * self._arrivals.lognormvariate(0.0, _SPREAD)
        call = _Call(self._now_s, work_s)
        self._calls.append(call)
        self._budget.count_request(self._now_s)
        target = self._choose(call)
        call.exchange = self._policy.sent(_ROUTE, f't{target}', self._now_s)
        self._send(call, target, work_s)
        delay_s = self._delay_s()
        if delay_s is not None:
            self._at(self._now_s + delay_s, lambda: self._copy(call, delay_s))

    def _delay_s(self) -> float | None:
        if self._way is Way.NEVER:
            return None
        if self._way is Way.AT_ONCE:
            return 0.0
        if self._way is Way.GOAL_PART:
            return _GOAL_PART * _GOAL_S
        return self._policy.delay_s(
            _ROUTE, _GOAL_S, self._max_share, self._now_s
        )

    def _copy(self, call: _Call, delay_s: float) -> None:
        if call.ended_s is not None or call.exchange is None:
            return
        target = self._choose(call)
        if self._way is Way.QUANTILE and not self._may_copy(
            call, target, delay_s
        ):
            waited_s = self._now_s - call.started_s
            self._at(self._now_s + waited_s, lambda: self._copy(call, delay_s))
            return
        self._copied_s.append(self._now_s)
        self._copies.sent(_POOL, self._now_s)
        # Another run of the same call takes another time.
        work_s = _MEDIAN_S * self._copy_works.lognormvariate(0.0, _SPREAD)
        self._send(call, target, work_s)

    def _may_copy(self, call: _Call, target: int, delay_s: float) -> bool:
        requests, _ = self._budget.usage(self._now_s)
        conditions = HedgeConditions(
            has_room=self._count(target) <= _ROOM_SHARE * _SLOTS,
            has_share=self._copies.is_left(
                _POOL, PoolCopies(requests), self._max_share, self._now_s
            ),
            left_s=call.started_s + _DEADLINE_S - self._now_s,
        )
        if call.exchange is None or self._policy.decide(
            call.exchange, conditions, delay_s, self._now_s
        ):
            return False
        return self._budget.try_acquire(1, self._now_s)

    def _choose(self, call: _Call) -> int:
        others = [
            target for target in range(TARGETS) if target not in call.targets
        ]
        self._choices.shuffle(others)
        return min(others, key=self._count)

    def _count(self, target: int) -> int:
        return len(self._running[target]) + len(self._waiting[target])

    def _send(self, call: _Call, target: int, work_s: float) -> None:
        call.targets.append(target)
        self._waiting[target].append(_Run(call, target, work_s))
        self._begin_next(target)

    def _begin_next(self, target: int) -> None:
        while self._waiting[target] and len(self._running[target]) < _SLOTS:
            run = self._waiting[target].pop(0)
            if run.call.ended_s is not None:
                continue
            run.began_s = self._now_s
            self._running[target].add(run)
            self._at(self._end_s(run), lambda run=run: self._answer(run))

    def _end_s(self, run: _Run) -> float:
        """Return when a run that begins now ends at its target."""
        is_fault = _FAULT_START_S <= self._now_s < _FAULT_STOP_S
        is_slow = {
            Load.USUAL: False,
            Load.SLOW_TENTH: run.target < TARGETS // 10,
            Load.PAUSE: False,
            Load.ALL_SLOW: True,
        }[self._load]
        factor = _SLOWNESS if is_slow and is_fault else 1.0
        end_s = self._now_s + factor * run.work_s
        if self._load is Load.PAUSE and run.target == 0:
            if end_s > _FAULT_START_S and self._now_s < _PAUSE_STOP_S:
                end_s += _PAUSE_STOP_S - max(self._now_s, _FAULT_START_S)
        return end_s

    def _answer(self, run: _Run) -> None:
        if run.is_over:
            return
        self._stop(run)
        call = run.call
        call.ended_s = self._now_s
        if call.exchange is not None:
            self._policy.ended(call.exchange, self._now_s, is_counted=True)
        for target in call.targets:
            for other in tuple(self._running[target]):
                if other.call is call:
                    self._stop(other)
            self._begin_next(target)

    def _stop(self, run: _Run) -> None:
        """End a run; what it did until now was work."""
        run.is_over = True
        self._running[run.target].discard(run)
        if run.began_s is not None:
            self._worked_s += self._now_s - run.began_s


def _quantile(ordered: list[float], quantile: float) -> float:
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def _mean(outcomes: list[Outcome]) -> Outcome:
    """Return the mean of each figure."""
    return Outcome(
        *(
            statistics.fmean(figures)
            for figures in zip(
                *(dataclasses.astuple(outcome) for outcome in outcomes),
                strict=True,
            )
        )
    )


def main(seed_count: int) -> None:
    """Print the mean outcome of each load and way, over some seeds."""
    for load, way, share in itertools.product(Load, Way, (0.02, 0.05)):
        if way is not Way.QUANTILE and share > 0.02:
            continue
        seeds = range(1, seed_count + 1)
        mean = _mean(
            [HedgingModel(way, load, share, seed).run() for seed in seeds]
        )
        print(load.value, way.value, share, mean, sep=', ')  # noqa: WPS421


if __name__ == '__main__':
    main(int(sys.argv[1]))
