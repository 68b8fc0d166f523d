"""Find chains of engines by their free memory and their speed.

An engine may run any part of the layers that it holds. A chain may enter it at
any of these layers and uses it up to the last one, unless at least half of its
memory is reserved.
"""

from __future__ import annotations

import dataclasses
import itertools
import zlib
from typing import TYPE_CHECKING

from nutmegspoke.layers import LayerRange, Stage

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from nutmegspoke.entry_host import ModelProfile
    from nutmegspoke.layers import Chain
    from nutmegspoke.routing.crossing_budget import ZonePair
    from nutmegspoke.routing.engine_loads import DraftNeed, EngineLoad

# Factor on the transfer time of a zone crossing: all requests share the links
# between zones, so a transfer also delays other requests.
_CROSSING_COST_FACTOR = 6.0
# Time to return the answer of a chain that starts in another zone.
_REMOTE_FIRST_STAGE_S = 0.05
# Limit of the cost of occupied slots for first stages. The cost grows with the
# square of the share of slots in use; an engine whose slots are all in use is
# never first.
_FULL_SLOTS_COST_S = 1.0
# Fill level from which a chain may leave an engine before its last layer.
_EARLY_EXIT_FILL = 0.5
# Total delay that each stage adds to the tokens of a draft.
_STAGE_DELAY_S = 0.05
# Largest relative increase of a cost, per second of age of the load reported by
# other daemons. The maximum only doubles a cost, whereas the slowest chains
# cost several times as much as the fastest ones.
_JITTER_PER_S = 1.2
_MAX_JITTER = 1.0
_CRC_RANGE = 2.0**32


@dataclasses.dataclass(frozen=True, slots=True)
class _Path:
    """Cheapest path found to a layer with its last stage in a given zone."""

    cost_s: float
    # Engine, first layer, and stop layer of each stage.
    stages: tuple[tuple[EngineLoad, int, int], ...]

    @property
    def zone(self) -> str:
        return self.stages[-1][0].availability_zone

    def uses(self, engine: EngineLoad) -> bool:
        return any(stage[0] is engine for stage in self.stages)


@dataclasses.dataclass(frozen=True, slots=True)
class CostJitter:
    """Pseudorandom increase of engine costs that differs between drafts.

    It guards against daemons with stale load data that all choose the same
    chain at the same moment.

    :param salt: seed; it differs between drafts.
    :param max_increase: largest relative increase of a cost.
    """

    salt: int = 0
    max_increase: float = 0.0

    @classmethod
    def from_age(cls, salt: int, load_age_s: float) -> CostJitter:
        """Return the jitter for load data of up to a given age.

        :param salt: seed; it differs between drafts.
        :param load_age_s: longest expected age of the other daemons' load data,
            in seconds.
        """
        max_increase = min(_MAX_JITTER, load_age_s * _JITTER_PER_S)
        return cls(salt, max_increase)

    def cost_factor(self, name: str) -> float:
        """Return the factor on the cost of an engine.

        :param name: name of the engine.
        """
        if not self.max_increase:
            return 1.0
        fraction = zlib.crc32(name.encode(), self.salt) / _CRC_RANGE
        return 1.0 + self.max_increase * fraction


@dataclasses.dataclass(frozen=True, slots=True)
class ChainOptions:
    """Options for the choice of a chain.

    :param blocked_pairs: pairs of zones between which it must not cross.
    :param first_engines: names of the engines at which it may begin; ``None``
        for any.
    :param not_first: names of engines at which it must not begin.
    :param jitter: variation of the costs of engines.
    :param visit_costs_s: additional cost of a stage by engine, in seconds,
        however many of its layers are used; none for engines not listed.
    """

    blocked_pairs: frozenset[ZonePair] = frozenset()
    first_engines: frozenset[str] | None = None
    not_first: frozenset[str] = frozenset()
    jitter: CostJitter = CostJitter()
    visit_costs_s: Mapping[str, float] = dataclasses.field(default_factory=dict)


class ChainFinder:
    """Finds the chain with the lowest cost for a draft.

    The cost is the time of the draft on each engine, weighted by how full the
    engine is and varied by the jitter, plus costs of the first stage, of zone
    crossings and of each stage, and those that the options add.

    :param profile: speed and memory use of the model on engines.
    :param home_zone: availability zone of this daemon; may be empty.
    """

    def __init__(self, profile: ModelProfile, home_zone: str) -> None:
        """Create a finder."""
        self._profile = profile
        self._home_zone = home_zone
        self._options = ChainOptions()
        self._start_layers: list[int] = []
        self._factors: dict[str, float] = {}

    def find_preferring_one_zone(
        self,
        engines: Sequence[EngineLoad],
        need: DraftNeed,
        options: ChainOptions,
    ) -> Chain | None:
        """Return the cheapest chain within one zone, or else across zones.

        When links are busy, about half of the drafts on chains that cross zones
        are late, and they delay the other drafts on these links.

        :param engines: engines that may be used.
        :param options: options for the choice.
        :returns: ``None`` if no chain has enough free memory.
        """
        zones = {engine.availability_zone for engine in engines}
        pairs = itertools.combinations(zones, 2)
        all_pairs = frozenset(frozenset(pair) for pair in pairs)
        in_one_zone = self.find(
            engines,
            need,
            dataclasses.replace(options, blocked_pairs=all_pairs),
        )
        return in_one_zone or self.find(engines, need, options)

    def find(
        self,
        engines: Sequence[EngineLoad],
        need: DraftNeed,
        options: ChainOptions | None = None,
    ) -> Chain | None:
        """Return the cheapest chain whose engines have enough free memory.

        This is a dynamic program over layer boundaries:
        ``paths[layer][zone]`` is the cheapest path that ends before ``layer``
        in ``zone``.

        :param engines: engines that may be used.
        :param options: options for the choice; ``None`` for the defaults.
        :returns: ``None`` if there is no such chain.
        """
        self._options = options or ChainOptions()
        self._factors = {
            engine.name: self._options.jitter.cost_factor(engine.name)
            for engine in engines
        }
        self._start_layers = sorted({engine.layers.start for engine in engines})
        layer_count = self._profile.layer_count
        boundaries = _find_boundaries(engines, layer_count)
        paths: dict[int, dict[str, _Path]] = {}
        for boundary in boundaries[:-1]:
            incoming = paths.get(boundary, {})
            if boundary and not incoming:
                continue
            for engine in engines:
                if engine.layers.start <= boundary < engine.layers.stop:
                    self._extend_paths(
                        paths, incoming.values(), boundary, engine, need
                    )
        ends = paths.get(layer_count, {}).values()
        best = min(ends, key=lambda path: path.cost_s, default=None)
        return None if best is None else _build_chain(best)

    def _extend_paths(
        self,
        paths: dict[int, dict[str, _Path]],
        incoming_paths: Iterable[_Path],
        boundary: int,
        engine: EngineLoad,
        need: DraftNeed,
    ) -> None:
        """Extend the cheapest path to an engine by a stage on this engine.

        This is done for each layer at which a chain may leave the engine.

        :param paths: cheapest paths by layer and zone; updated.
        :param incoming_paths: paths that end before ``boundary``.
        :param boundary: first layer of the new stage.
        """
        predecessor = self._find_cheapest_predecessor(
            incoming_paths, boundary, engine, need
        )
        if predecessor is None:
            return
        cost_s, stages = predecessor
        zone = engine.availability_zone
        entered_s = (
            cost_s
            + _STAGE_DELAY_S
            + self._options.visit_costs_s.get(engine.name, 0.0)
        )
        for stop in self._find_stops(boundary, engine):
            if not engine.fits(need, stop - boundary):
                continue
            total_s = (
                entered_s
                + engine.cost_s(
                    need,
                    stop - boundary,
                    self._profile,
                )
                * self._factors[engine.name]
            )
            best_by_zone = paths.setdefault(stop, {})
            if zone not in best_by_zone or total_s < best_by_zone[zone].cost_s:
                stage = (engine, boundary, stop)
                best_by_zone[zone] = _Path(total_s, (*stages, stage))

    def _find_stops(self, boundary: int, engine: EngineLoad) -> list[int]:
        """Return the layers at which a chain may leave an engine.

        An engine with enough free memory runs all its layers from ``boundary``
        on. A fuller one may be left at any layer where another engine starts.
        """
        end = min(engine.layers.stop, self._profile.layer_count)
        if (
            engine.used_token_layers
            < _EARLY_EXIT_FILL * engine.total_token_layers
        ):
            return [end]
        inner_stops = [
            stop for stop in self._start_layers if boundary < stop < end
        ]
        return [*inner_stops, end]

    def _find_cheapest_predecessor(
        self,
        incoming_paths: Iterable[_Path],
        boundary: int,
        engine: EngineLoad,
        need: DraftNeed,
    ) -> tuple[float, tuple[tuple[EngineLoad, int, int], ...]] | None:
        """Return cost and stages of the cheapest path to an engine.

        :returns: ``None`` if no path may continue at the engine.
        """
        zone = engine.availability_zone
        if boundary == 0:
            if not self._may_be_first(engine):
                return None
            return self._first_stage_cost_s(engine), ()
        crossing_s = self._crossing_s(need)
        costs = [
            (path.cost_s + (0.0 if path.zone == zone else crossing_s), path)
            for path in incoming_paths
            if not path.uses(engine)
            and frozenset((path.zone, zone)) not in self._options.blocked_pairs
        ]
        if not costs:
            return None
        cost_s, path = min(costs, key=lambda pair: pair[0])
        return cost_s, path.stages

    def _may_be_first(self, engine: EngineLoad) -> bool:
        """Return whether an engine may run the first stage of a chain."""
        first_engines = self._options.first_engines
        if first_engines is not None and engine.name not in first_engines:
            return False
        if engine.name in self._options.not_first:
            return False
        return engine.first_stage_count < self._profile.first_slots

    def _first_stage_cost_s(self, engine: EngineLoad) -> float:
        """Return the additional cost of a first stage, in seconds."""
        is_home = engine.availability_zone == self._home_zone
        used_slots_share = engine.first_stage_count / self._profile.first_slots
        slot_s = _FULL_SLOTS_COST_S * used_slots_share**2
        return slot_s + (0.0 if is_home else _REMOTE_FIRST_STAGE_S)

    def _crossing_s(self, need: DraftNeed) -> float:
        rate = self._profile.zone_link_bytes_per_s
        # 0 means that the bandwidth is unknown; a crossing then costs nothing.
        if rate <= 0:
            return 0.0
        transfer_bytes = need.memory_tokens * self._profile.activation_bytes
        return _CROSSING_COST_FACTOR * transfer_bytes / rate


def _find_boundaries(
    engines: Sequence[EngineLoad], layer_count: int
) -> list[int]:
    layers = {0, layer_count}
    for engine in engines:
        layers.add(engine.layers.start)
        layers.add(engine.layers.stop)
    return sorted(layer for layer in layers if 0 <= layer <= layer_count)


def _build_chain(path: _Path) -> Chain:
    return tuple(
        Stage(engine.name, engine.address, LayerRange(start, stop))
        for engine, start, stop in path.stages
    )
