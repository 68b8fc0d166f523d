"""Puts chains of engines together by the room they have and by their pace.

An engine may run any part of the layers it holds: a chain enters it at any of
these, and stays to the last unless the engine fills up.
"""

from __future__ import annotations

import dataclasses
import itertools
import zlib
from typing import TYPE_CHECKING

from nutmegspoke.layers import LayerRange, Stage

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from nutmegspoke.entry_host import ModelProfile
    from nutmegspoke.layers import Chain
    from nutmegspoke.routing.crossing_budget import ZonePair
    from nutmegspoke.routing.engine_loads import DraftNeed, EngineLoad

# Crossing a zone takes a link that all share: its time counts several times.
_CROSSING_WEIGHT = 6.0
# A chain that starts in another zone brings its answer back from there.
_REMOTE_START_S = 0.05
# Added time for an engine that has no place left for first requests.
_SLOT_WEIGHT_S = 1.0
# Fill from which on a chain may leave an engine before its last layer.
_EARLY_FILL = 0.5
# Time that each stage adds to a draft: a delay for each of its tokens.
_HOP_S = 0.05
# Part by which costs are raised at most, for each second by which others' load
# is known late; the slowest chains cost several times what the quickest do.
_SPREAD_PER_S = 1.2
_MAX_SPREAD = 1.0
_CRC_RANGE = 2.0**32


@dataclasses.dataclass(frozen=True, slots=True)
class _Path:
    """The cheapest way found to a layer, ending in one zone."""

    cost_s: float
    stages: tuple[tuple[EngineLoad, int, int], ...]

    @property
    def zone(self) -> str:
        return self.stages[-1][0].availability_zone

    def visits(self, engine: EngineLoad) -> bool:
        return any(stage[0] is engine for stage in self.stages)


@dataclasses.dataclass(frozen=True, slots=True)
class CostJitter:
    """Varies what engines cost, for each draft another way.

    Daemons that know each other's load late would all choose the same chain
    at the same moment.

    :param salt: differs from draft to draft.
    :param share: largest part by which a cost is raised.
    """

    salt: int = 0
    share: float = 0.0

    @classmethod
    def from_age(cls, salt: int, load_age_s: float) -> CostJitter:
        """Return a spread for load that is known so late.

        :param load_age_s: age of what is known of others' load.
        """
        share = min(_MAX_SPREAD, load_age_s * _SPREAD_PER_S)
        return cls(salt, share)

    def factor(self, name: str) -> float:
        """Return by what the cost of an engine is multiplied."""
        if not self.share:
            return 1.0
        drawn = zlib.crc32(name.encode(), self.salt) / _CRC_RANGE
        return 1.0 + self.share * drawn


@dataclasses.dataclass(frozen=True, slots=True)
class ChainConstraints:
    """Bounds on the choice of a chain.

    :param blocked_pairs: pairs of zones between which it may not pass.
    :param first_engines: names of the engines at which it may begin; ``None`` for
        any.
    :param jitter: varies the choice.
    """

    blocked_pairs: frozenset[ZonePair] = frozenset()
    first_engines: frozenset[str] | None = None
    jitter: CostJitter = CostJitter()


class ChainFinder:
    """Finds the chain that costs a draft the least time.

    :param profile: how the engines run the model.
    :param home_zone: availability zone of this daemon.
    """

    def __init__(self, profile: ModelProfile, home_zone: str) -> None:
        """Use a profile."""
        self._profile = profile
        self._home_zone = home_zone
        self._terms = ChainConstraints()
        self._starts: list[int] = []
        self._factors: dict[str, float] = {}

    def find_preferring_one_zone(
        self,
        engines: Sequence[EngineLoad],
        need: DraftNeed,
        constraints: ChainConstraints,
    ) -> Chain | None:
        """Return the cheapest chain within a zone, or else across zones.

        A draft on a chain that crosses zones is late about every second time
        where links are busy, and makes the others on them late.
        """
        zones = {engine.availability_zone for engine in engines}
        pairs = itertools.combinations(zones, 2)
        within = frozenset(frozenset(pair) for pair in pairs)
        in_one_zone = self.find(
            engines,
            need,
            dataclasses.replace(constraints, blocked_pairs=within),
        )
        return in_one_zone or self.find(engines, need, constraints)

    def find(
        self,
        engines: Sequence[EngineLoad],
        need: DraftNeed,
        constraints: ChainConstraints | None = None,
    ) -> Chain | None:
        """Return the cheapest chain with room; ``None`` without one.

        :param engines: engines that may be used.
        :param constraints: bounds on the choice; ``None`` for none.
        """
        self._terms = constraints or ChainConstraints()
        self._factors = {
            engine.name: self._terms.jitter.factor(engine.name)
            for engine in engines
        }
        self._starts = sorted({engine.layers.start for engine in engines})
        layer_count = self._profile.layer_count
        borders = _borders(engines, layer_count)
        paths: dict[int, dict[str, _Path]] = {}
        for border in borders[:-1]:
            known = paths.get(border, {})
            if border and not known:
                continue
            for engine in engines:
                if engine.layers.start <= border < engine.layers.stop:
                    self._extend(paths, known.values(), border, engine, need)
        ends = paths.get(layer_count, {}).values()
        best = min(ends, key=lambda path: path.cost_s, default=None)
        return None if best is None else _chain(best)

    def _extend(
        self,
        paths: dict[int, dict[str, _Path]],
        known: Iterable[_Path],
        border: int,
        engine: EngineLoad,
        need: DraftNeed,
    ) -> None:
        origin = self._origin(known, border, engine, need)
        if origin is None:
            return
        cost_s, stages = origin
        zone = engine.availability_zone
        for stop in self._stops(border, engine):
            if not engine.fits(need, stop - border):
                continue
            total_s = (
                cost_s
                + _HOP_S
                + engine.cost_s(
                    need,
                    stop - border,
                    self._profile,
                )
                * self._factors[engine.name]
            )
            reached = paths.setdefault(stop, {})
            if zone not in reached or total_s < reached[zone].cost_s:
                stage = (engine, border, stop)
                reached[zone] = _Path(total_s, (*stages, stage))

    def _stops(self, border: int, engine: EngineLoad) -> list[int]:
        """Return where a chain may leave an engine.

        An engine with room runs all layers that it holds from the border on;
        one that fills up is left wherever another one can take over.
        """
        end = min(engine.layers.stop, self._profile.layer_count)
        if engine.used_token_layers < _EARLY_FILL * engine.total_token_layers:
            return [end]
        inner = [stop for stop in self._starts if border < stop < end]
        return [*inner, end]

    def _origin(
        self,
        known: Iterable[_Path],
        border: int,
        engine: EngineLoad,
        need: DraftNeed,
    ) -> tuple[float, tuple[tuple[EngineLoad, int, int], ...]] | None:
        """Return the cheapest way to the engine's first layer."""
        zone = engine.availability_zone
        if border == 0:
            if not self._may_begin(engine):
                return None
            return self._start_s(engine), ()
        crossing_s = self._crossing_s(need)
        costs = [
            (path.cost_s + (0.0 if path.zone == zone else crossing_s), path)
            for path in known
            if not path.visits(engine)
            and frozenset((path.zone, zone)) not in self._terms.blocked_pairs
        ]
        if not costs:
            return None
        cost_s, path = min(costs, key=lambda pair: pair[0])
        return cost_s, path.stages

    def _may_begin(self, engine: EngineLoad) -> bool:
        """Tell whether a chain may begin at an engine."""
        first_engines = self._terms.first_engines
        if first_engines is not None and engine.name not in first_engines:
            return False
        return engine.first_stage_count < self._profile.first_slots

    def _start_s(self, engine: EngineLoad) -> float:
        """Return what it costs to begin a chain at an engine."""
        is_home = engine.availability_zone == self._home_zone
        taken = engine.first_stage_count / self._profile.first_slots
        slot_s = _SLOT_WEIGHT_S * taken**2
        return slot_s + (0.0 if is_home else _REMOTE_START_S)

    def _crossing_s(self, need: DraftNeed) -> float:
        rate = self._profile.zone_link_bytes_per_s
        if rate <= 0:
            return 0.0
        moved = need.room_tokens * self._profile.activation_bytes
        return _CROSSING_WEIGHT * moved / rate


def _borders(engines: Sequence[EngineLoad], layer_count: int) -> list[int]:
    marks = {0, layer_count}
    for engine in engines:
        marks.add(engine.layers.start)
        marks.add(engine.layers.stop)
    return sorted(mark for mark in marks if 0 <= mark <= layer_count)


def _chain(path: _Path) -> Chain:
    return tuple(
        Stage(engine.name, engine.address, LayerRange(start, stop))
        for engine, start, stop in path.stages
    )
