"""A model of a pool without a network: hosts choose, engines read prompts.

Each engine reads the prompts that reach it one after the other. Hosts know the
work of the other hosts as of their last common update.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import random
from typing import TYPE_CHECKING

from nutmegspoke.balance import read_waits
from nutmegspoke.routing.room_chains import (
    ChainFinder,
    ChainOptions,
    CostJitter,
)
from tests import builders_edge as build

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from nutmegspoke.entry_host import AcceleratorKind
    from nutmegspoke.layers import Chain
    from nutmegspoke.routing.engine_loads import EngineLoad

GOAL_S = 0.5
GAP_GOAL_S = 0.25
HOSTS_PER_ZONE = 10
ZONES = ('a', 'b', 'c')
PROFILE = build.profile(
    read_chunk_tokens=512.0,
    read_tokens_per_s=160_000.0,
    tokens_per_event=5,
    # Untrue counts must not close all engines.
    first_slots=10_000,
)
_PASS_OVERHEAD = 2.0


def replicas(
    zone: str, kind: AcceleratorKind, width: int, count: int = 1
) -> list[EngineLoad]:
    """Return engines of a kind that hold all layers some times."""
    return [
        build.load(
            f'{zone}-{kind.name}-{number}-{start}',
            (start, min(80, start + width)),
            kind,
            zone,
            total_token_layers=4e6,
        )
        for number in range(count)
        for start in range(0, 80, width)
    ]


@dataclasses.dataclass(slots=True)
class Served:
    """What callers got.

    :param late: drafts whose first event came after their goal.
    :param total: all drafts.
    :param work_s: time that each engine read.
    """

    late: int = 0
    total: int = 0
    work_s: dict[str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )

    @property
    def late_share(self) -> float:
        """Return the share of late drafts."""
        return self.late / self.total


class PoolModel:
    """A pool under a load.

    :param engines: its engines, idle.
    :param is_balanced: whether hosts weigh the waits at engines.
    :param news_interval_s: time between common updates of all hosts; 0 if
        they never hear of each other.
    :param true_slowness: actual slowness by engine, if it is not the told one.
    """

    def __init__(
        self,
        engines: Sequence[EngineLoad],
        *,
        is_balanced: bool,
        news_interval_s: float = 0.35,
        seed: int = 1,
    ) -> None:
        """Create an idle pool."""
        self._engines = list(engines)
        self._by_target = {engine.name: engine for engine in engines}
        self._is_balanced = is_balanced
        self._interval_s = news_interval_s
        self._rng = random.Random(seed)
        self._free_s: dict[str, float] = collections.defaultdict(float)
        self._runs: list[tuple[float, int, str, Chain]] = []
        self._told: list[tuple[str, Chain]] = []
        self._told_s = -1.0
        self.true_slowness: dict[str, float] = {}
        self.tell: Callable[[int], int] = lambda count: count

    def play(
        self,
        rate_per_s: Callable[[float, str], float],
        duration_s: float,
    ) -> Served:
        """Send drafts at a rate by time and zone, and return what they got."""
        served = Served()
        now_s, step_s, number = 0.0, 0.005, 0
        while now_s < duration_s:
            for zone in ZONES:
                if self._rng.random() < rate_per_s(now_s, zone) * step_s:
                    number += 1
                    self._send(number, zone, now_s, served)
            now_s += step_s
        return served

    def _send(
        self, number: int, zone: str, now_s: float, served: Served
    ) -> None:
        host = f'{zone}{self._rng.randrange(HOSTS_PER_ZONE)}'
        while self._runs and self._runs[0][0] <= now_s:
            heapq.heappop(self._runs)
        if 0 < self._interval_s <= now_s - self._told_s:
            self._told = [(run[2], run[3]) for run in self._runs]
            self._told_s = now_s
        chain = self._choose(self._seen_by(host), zone, number)
        assert chain is not None
        first_s = self._read(chain, now_s, served)
        served.total += 1
        served.late += first_s - now_s > GOAL_S
        end_s = first_s + 60 * self._event_s(chain)
        heapq.heappush(self._runs, (end_s, number, host, chain))

    def _seen_by(self, host: str) -> list[EngineLoad]:
        """Return the engines' load as a host knows it."""
        counts: collections.Counter[str] = collections.Counter()
        firsts: collections.Counter[str] = collections.Counter()
        own = [run[3] for run in self._runs if run[2] == host]
        told = [chain for other, chain in self._told if other != host]
        for chain in (*own, *told):
            counts.update(stage.target for stage in chain)
            firsts[chain[0].target] += 1
        return [
            dataclasses.replace(
                engine,
                request_count=self.tell(counts[engine.name]),
                first_stage_count=self.tell(firsts[engine.name]),
                used_token_layers=min(
                    0.5 * engine.total_token_layers,
                    counts[engine.name] * 1_000.0 * len(engine.layers),
                ),
            )
            for engine in self._engines
        ]

    def _choose(
        self, seen: list[EngineLoad], zone: str, number: int
    ) -> Chain | None:
        costs_s = {}
        if self._is_balanced:
            assert read_waits.is_needed(seen, PROFILE, GAP_GOAL_S)
            costs_s = read_waits.ReadWaits.from_engines(
                seen, PROFILE, self._interval_s, number
            ).costs_s(seen)
        options = ChainOptions(
            jitter=CostJitter.from_age(number, self._interval_s),
            visit_costs_s=costs_s,
        )
        return ChainFinder(PROFILE, zone).find_preferring_one_zone(
            seen, build.need(), options
        )

    def _read(self, chain: Chain, now_s: float, served: Served) -> float:
        """Return when the prompt has been read by all engines."""
        for stage in chain:
            engine = self._by_name(stage.target)
            share = len(stage.layers) / 80
            kind = engine.accelerator
            pass_s = (
                PROFILE.tokens_per_event * PROFILE.step_s * kind.step_factor
                + PROFILE.read_chunk_tokens
                / PROFILE.read_tokens_per_s
                * kind.read_factor
            )
            slowness = self.true_slowness.get(engine.name, engine.slowness)
            work_s = 2 * _PASS_OVERHEAD * share * pass_s * slowness
            begin_s = max(now_s, self._free_s[engine.name])
            self._free_s[engine.name] = begin_s + work_s
            # Later pieces are read while earlier ones are at the next engine.
            now_s = begin_s + share * pass_s * slowness
            served.work_s[engine.name] += work_s
        return now_s

    def _event_s(self, chain: Chain) -> float:
        return sum(
            PROFILE.tokens_per_event
            * PROFILE.step_s
            * 1.5
            * len(stage.layers)
            / 80
            * self._by_name(stage.target).accelerator.step_factor
            for stage in chain
        )

    def _by_name(self, name: str) -> EngineLoad:
        return self._by_target[name]
