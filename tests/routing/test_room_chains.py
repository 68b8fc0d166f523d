"""Tests of chains by free memory and speed, under typical loads."""

from __future__ import annotations

import unittest

from nutmegspoke.layers import covers
from nutmegspoke.routing.engine_loads import fill_limit
from nutmegspoke.routing.room_chains import (
    ChainFinder,
    ChainOptions,
    CostJitter,
)
from tests import builders_edge as build


def _target_names(chain: object) -> list[str]:
    return [stage.target for stage in chain or ()]


class ChainFinderTest(unittest.TestCase):
    """Chains cover all layers and have enough free memory."""

    def setUp(self) -> None:
        """Create a finder for zone a."""
        self.finder = ChainFinder(build.profile(), 'a')

    def test_covers_all_layers_once(self) -> None:
        """A stage starts where the previous one ends, if ranges overlap."""
        engines = [
            build.load('x', (0, 30)),
            build.load('y', (20, 60)),
            build.load('z', (50, 80)),
        ]
        chain = self.finder.find(engines, build.need())
        assert chain is not None
        self.assertTrue(covers([stage.layers for stage in chain], 80))
        self.assertEqual(_target_names(chain), ['x', 'y', 'z'])

    def test_no_chain_over_a_gap(self) -> None:
        """There is no chain if no engine holds a layer."""
        engines = [build.load('x', (0, 39)), build.load('z', (40, 80))]
        self.assertIsNone(self.finder.find(engines, build.need()))

    def test_prefers_quick_engines(self) -> None:
        """Slow replicas are used only when the fast engines are full."""
        fast = [
            build.load('q1', (0, 40), build.QUICK),
            build.load('q2', (40, 80), build.QUICK),
        ]
        replica = build.load('s1', (40, 48), build.SLOW)
        rest = build.load('m1', (48, 80))
        chain = self.finder.find([*fast, replica, rest], build.need())
        self.assertEqual(_target_names(chain), ['q1', 'q2'])
        full = build.load(
            'q2',
            (40, 80),
            build.QUICK,
            used_token_layers=fast[1].total_token_layers,
        )
        chain = self.finder.find([fast[0], full, replica, rest], build.need())
        self.assertEqual(_target_names(chain), ['q1', 's1', 'm1'])

    def test_avoids_engines_that_became_slow(self) -> None:
        """Guards against engines that are twelve times slower for seconds."""
        engines = [
            build.load('x', (0, 40), slowness=12.0),
            build.load('y', (0, 40)),
            build.load('z', (40, 80)),
        ]
        chain = self.finder.find(engines, build.need())
        self.assertEqual(_target_names(chain), ['y', 'z'])

    def test_a_lost_stage_is_replaced_within_the_zone(self) -> None:
        """A lost engine is replaced by replicas of its layers in the zone."""
        engines = [
            build.load('x', (0, 40)),
            build.load('c1', (40, 60)),
            build.load('c2', (60, 80)),
            build.load('far', (40, 80), zone='b'),
        ]
        chain = self.finder.find(engines, build.need())
        self.assertEqual(_target_names(chain), ['x', 'c1', 'c2'])

    def test_crosses_zones_rather_than_refuse(self) -> None:
        """A chain with a zone crossing is costly, but better than none."""
        engines = [
            build.load('x', (0, 40)),
            build.load('f', (40, 80), zone='b'),
        ]
        chain = self.finder.find(engines, build.need())
        self.assertEqual(_target_names(chain), ['x', 'f'])

    def test_whole_chain_elsewhere_goes_before_a_crossing(self) -> None:
        """A chain within another zone only receives the text of the prompt."""
        engines = [
            build.load('x', (0, 40)),
            build.load('f1', (0, 40), zone='b'),
            build.load('f2', (40, 80), zone='b'),
        ]
        chain = self.finder.find(engines, build.need())
        self.assertEqual(_target_names(chain), ['f1', 'f2'])

    def test_memory_is_needed_for_all_layers_of_a_stage(self) -> None:
        """A draft that exceeds the free memory of a stage is not run there."""
        small = build.load('x', (0, 24))
        rest = build.load('y', (24, 80), build.QUICK, total_token_layers=1e9)
        tokens = small.free_token_layers / 24
        fits = build.need(tokens - 200 - 17, 200)
        self.assertIsNotNone(self.finder.find([small, rest], fits))
        larger = build.need(tokens - 200 - 15, 200)
        self.assertIsNone(self.finder.find([small, rest], larger))

    def test_spreads_load_over_equal_chains(self) -> None:
        """A burst of drafts is distributed evenly over equal chains."""
        engines = {
            name: build.load(name, held)
            for name, held in (
                ('x1', (0, 40)),
                ('x2', (0, 40)),
                ('y1', (40, 80)),
                ('y2', (40, 80)),
            )
        }
        counts = dict.fromkeys(engines, 0)
        for _ in range(40):
            loads = [
                build.load(
                    name,
                    (load.layers.start, load.layers.stop),
                    used_token_layers=counts[name] * 987 * 40,
                    request_count=counts[name],
                    total_token_layers=5e6,
                )
                for name, load in engines.items()
            ]
            for name in _target_names(self.finder.find(loads, build.need())):
                counts[name] += 1
        self.assertEqual(counts['x1'] + counts['x2'], 40)
        self.assertLessEqual(abs(counts['x1'] - counts['x2']), 2)
        self.assertLessEqual(abs(counts['y1'] - counts['y2']), 2)


class CostJitterTest(unittest.TestCase):
    """Guards against 81 daemons that choose alike by the same stale updates."""

    def _first_engines(self, load_age_s: float) -> set[str]:
        finder = ChainFinder(build.profile(), 'a')
        engines = [
            build.load(f'x{number}', (0, 80), kind)
            for number, kind in enumerate(
                (build.QUICK, build.QUICK, build.MIDDLE, build.MIDDLE),
            )
        ]
        return {
            finder.find(
                engines,
                build.need(),
                ChainOptions(jitter=CostJitter.from_age(salt, load_age_s)),
            )[0].target
            for salt in range(40)
        }

    def test_stale_updates_distribute_drafts(self) -> None:
        """With stale updates, not all drafts choose the fastest engine."""
        self.assertEqual(len(self._first_engines(0.0)), 1)
        self.assertGreaterEqual(len(self._first_engines(0.8)), 2)

    def test_recent_updates_keep_the_fastest(self) -> None:
        """Updates a tenth of a second old hardly change a choice."""
        self.assertLessEqual(self._first_engines(0.1), {'x0', 'x1'})

    def test_stale_updates_keep_more_memory_free(self) -> None:
        """Memory is kept free for reservations that are not received yet."""
        self.assertGreater(fill_limit(0.1), 0.95)
        self.assertLess(fill_limit(0.8), 0.9)
        self.assertGreaterEqual(fill_limit(60.0), 0.8)
