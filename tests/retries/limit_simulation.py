"""Simulation of hosts that share the limits of targets, on a virtual clock."""

from __future__ import annotations

import collections
import dataclasses
import random
import sys
from typing import Protocol

from nutmegspoke.retries.target_limits import (
    WINDOW_S,
    Demand,
    Draw,
    LimitNews,
    TargetLimits,
)
from tests import builders_edge as build

# Requests in a window that the users allow: a multiple of the limit, and more.
FACTOR = 1.5
SLACK = 5
# Time for all hosts to know of a limit.
NOTICE_S = 3.0
# Time from which the requests of a host count that has been told of a limit by
# the target itself. It is for hosts that hear of nothing from others.
TOLD_S = 0.5
_RELAYED_FROM = 32
_ANSWER_S = 0.02
# Time until other hosts are told of a request.
_EVENT_S = 0.03
_DEMAND_WINDOW_S = 10.0


@dataclasses.dataclass(frozen=True)
class Case:
    """A load on limited targets.

    :param hosts: number of hosts.
    :param limit_per_s: limit of each target.
    :param demand_per_s: requests of callers at all hosts.
    :param first_part: part of them at the first host; ``None`` for the same
        as at the others.
    :param lost_part: part of the updates that are lost; 1 for all.
    :param surge: factor on the requests from the middle of the time on.
    """

    hosts: int
    limit_per_s: float
    demand_per_s: float = 40.0
    targets: int = 3
    first_part: float | None = None
    lost_part: float = 0.0
    surge: float = 1.0
    duration_s: float = 20.0

    @property
    def update_age_s(self) -> float:
        """Return the longest age of what other hosts know."""
        return 0.1 if self.hosts < _RELAYED_FROM else 0.75


@dataclasses.dataclass(frozen=True)
class Result:
    """What the targets have got.

    :param worst: most requests in a window, as a part of those allowed.
    :param used: requests, as a part of what the limits allow.
    """

    worst: float
    used: float


class Policy(Protocol):
    """Decides whether a host may send a request to a limited target."""

    def choose(self, host: int, place: float, now_s: float) -> int | None:
        """Return the target of a request; ``None`` to refuse it."""


class Draws:
    """The policy of the daemon: equal probabilities, and a shared count."""

    def __init__(self, case: Case, source: random.Random) -> None:
        """Start with hosts that know of no limit."""
        self._case = case
        self._source = source
        self._limits = [TargetLimits() for _ in range(case.hosts)]
        self._entries = [
            build.target(f't{number}') for number in range(case.targets)
        ]
        self._heard: list[dict[int, dict[str, LimitNews]]] = [
            {} for _ in range(case.hosts)
        ]
        self._published_s = 0.0
        self._requests: list[collections.deque[float]] = [
            collections.deque() for _ in range(case.hosts)
        ]
        self._heard_requests = [0] * case.hosts
        self._events: collections.deque[tuple[float, int]] = collections.deque()

    def choose(self, host: int, place: float, now_s: float) -> int | None:
        """Return an open target."""
        self._publish(now_s)
        self._tell(now_s)
        case = self._case
        heard = self._heard[host]
        others: dict[str, int] = {}
        for news in heard.values():
            for target, limit in news.items():
                others[target] = others.get(target, 0) + limit.sent
        # With updates of relays, one sender stands for all hosts.
        is_deaf = case.lost_part >= 1
        unheard = case.hosts - 1 if is_deaf else 0
        self._requests[host].append(now_s)
        own_count = self._count(host, now_s)
        total = own_count * (1 + unheard) + self._heard_requests[host]
        closed = self._limits[host].closed(
            self._entries,
            Draw(place),
            Demand(total / _DEMAND_WINDOW_S, unheard),
            others,
            now_s,
        )
        for number, entry in enumerate(self._entries):
            if entry.name not in closed:
                self._limits[host].sent(entry.name, now_s)
                self._events.append((now_s + _EVENT_S, host))
                self._limits[host].record_answer(
                    entry, case.limit_per_s, now_s + _ANSWER_S
                )
                return number
        return None

    def _count(self, host: int, now_s: float) -> int:
        """Return the requests of a host in the window of retries."""
        requests = self._requests[host]
        while requests and requests[0] <= now_s - _DEMAND_WINDOW_S:
            requests.popleft()
        return len(requests)

    def _tell(self, now_s: float) -> None:
        """Deliver what hosts tell at once."""
        while self._events and self._events[0][0] <= now_s:
            _, sender = self._events.popleft()
            sent = self._limits[sender].take_untold()
            for host, limits in enumerate(self._limits):
                is_lost = self._source.random() < self._case.lost_part
                if host != sender and not is_lost:
                    limits.sent_elsewhere(sent, now_s)

    def _publish(self, now_s: float) -> None:
        case = self._case
        if now_s - self._published_s < case.update_age_s:
            return
        self._published_s = now_s
        news = [limits.outgoing(now_s) for limits in self._limits]
        counts = [self._count(host, now_s) for host in range(case.hosts)]
        total: dict[str, LimitNews] = {}
        for each in news:
            for target, limit in each.items():
                known = total.get(target)
                total[target] = limit if known is None else known.merged(limit)
        for host, limits in enumerate(self._limits):
            if self._source.random() < case.lost_part:
                continue
            others = {
                target: limit.without(news[host].get(target, _NOTHING))
                for target, limit in total.items()
            }
            self._heard[host] = {0: others}
            self._heard_requests[host] = sum(counts) - counts[host]
            limits.receive(others, now_s)


_NOTHING = LimitNews(0, 0.0, 0.0)


class EqualShares:
    """Each host may send its equal share, and saves up one request."""

    def __init__(self, case: Case, source: random.Random) -> None:
        """Start with a random part of a request saved up."""
        self._case = case
        self._saved = [
            [source.random() for _ in range(case.targets)]
            for _ in range(case.hosts)
        ]
        self._last_s = [0.0] * case.hosts

    def share(self, host: int) -> float:
        """Return the part of the limit that a host may use."""
        return 1 / self._case.hosts

    def choose(self, host: int, place: float, now_s: float) -> int | None:
        """Return a target for which a request is saved up."""
        case = self._case
        rate_per_s = case.limit_per_s * self.share(host)
        grown = (now_s - self._last_s[host]) * rate_per_s
        self._last_s[host] = now_s
        saved = self._saved[host]
        for number in range(case.targets):
            saved[number] = min(max(1.0, rate_per_s), saved[number] + grown)
        best = max(range(case.targets), key=saved.__getitem__)
        if saved[best] < 1:
            return None
        saved[best] -= 1
        return best


class DemandShares(EqualShares):
    """Each host may send a share by its part of the requests."""

    def share(self, host: int) -> float:
        """Return the part of the limit that a host may use."""
        first_part = self._case.first_part
        if first_part is None:
            return super().share(host)
        if host == 0:
            return first_part
        return (1 - first_part) / (self._case.hosts - 1)


class Rendezvous(EqualShares):
    """One host sends to a target; the others leave it out."""

    def choose(self, host: int, place: float, now_s: float) -> int | None:
        """Return a target of this host for which a request is saved up."""
        case = self._case
        grown = (now_s - self._last_s[host]) * case.limit_per_s
        self._last_s[host] = now_s
        saved = self._saved[host]
        for number in range(case.targets):
            if number * 7919 % case.hosts != host:
                continue
            saved[number] = min(max(1, case.limit_per_s), saved[number] + grown)
            if saved[number] >= 1:
                saved[number] -= 1
                return number
        return None


POLICIES = {
    'equal shares': EqualShares,
    'shares by demand': DemandShares,
    'rendezvous': Rendezvous,
    'draws': Draws,
}


def simulate(name: str, case: Case, seed: int) -> Result:
    """Play a case with a policy."""
    source = random.Random(f'{name}/{case}/{seed}')
    policy = POLICIES[name](case, source)
    sent_s: list[list[float]] = [[] for _ in range(case.targets)]
    # Times of the first answer with the limit, by target and host.
    told_s: dict[tuple[int, int], float] = {}
    sent_count = 0
    now_s = 0.0
    while now_s < case.duration_s:
        is_surge = now_s > case.duration_s / 2
        factor = case.surge if is_surge else 1.0
        now_s += source.expovariate(case.demand_per_s * factor)
        host = source.randrange(case.hosts)
        if case.first_part is not None and case.hosts > 1:
            is_first = source.random() < case.first_part
            host = 0 if is_first else 1 + source.randrange(case.hosts - 1)
        number = policy.choose(host, source.random(), now_s)
        if number is None:
            continue
        told = told_s.setdefault((number, host), now_s)
        sent_count += now_s >= NOTICE_S
        if case.lost_part < 1 or now_s - told >= TOLD_S:
            sent_s[number].append(now_s)
    allowed = FACTOR * case.limit_per_s * WINDOW_S + SLACK
    first_told_s = [
        min(
            (time_s for (told, _), time_s in told_s.items() if told == number),
            default=0.0,
        )
        for number in range(case.targets)
    ]
    worst = max(
        most_in_window(times_s, named_s + NOTICE_S)
        for times_s, named_s in zip(sent_s, first_told_s, strict=True)
    )
    total = case.targets * case.limit_per_s * (case.duration_s - NOTICE_S)
    return Result(worst / allowed, sent_count / total)


def most_in_window(times_s: list[float], start_s: float) -> int:
    """Return the most requests in a window that begins at a time or later."""
    times_s = [time_s for time_s in times_s if time_s >= start_s]
    most, first = 0, 0
    for last, time_s in enumerate(times_s):
        while times_s[first] <= time_s - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def main() -> None:
    """Print a table for the number of seeds given as an argument."""
    seeds = range(int(sys.argv[1]))
    print('| policy | requests | hosts | limit | worst | broken | used |')
    print('| --- | --- | --- | --- | --- | --- | --- |')
    for name in POLICIES:
        for first_part, lost_part in ((None, 0.0), (0.8, 0.0), (None, 1.0)):
            for hosts in (1, 2, 7, 9, 31, 69, 195, 300):
                for limit_per_s in (0.2, 1.0, 5.0, 20.0):
                    case = Case(
                        hosts,
                        limit_per_s,
                        max(40.0, 6 * limit_per_s),
                        first_part=first_part,
                        lost_part=lost_part,
                    )
                    results = [simulate(name, case, seed) for seed in seeds]
                    worst = max(result.worst for result in results)
                    broken = sum(result.worst > 1 for result in results)
                    used = sum(result.used for result in results) / len(results)
                    kind = 'even' if first_part is None else '0.8 at one'
                    kind += ', deaf' if lost_part else ''
                    print(
                        f'| {name} | {kind} | {hosts} | {limit_per_s} |'
                        f' {worst:.2f} | {broken} | {used:.2f} |',
                        flush=True,
                    )


if __name__ == '__main__':
    main()
