"""Tests of chains by room and pace, under the loads that decide days."""

from __future__ import annotations

import unittest

from nutmegspoke.layers import covers
from nutmegspoke.routing.engine_loads import fill_limit
from nutmegspoke.routing.room_chains import (
    ChainFinder,
    ChainConstraints,
    CostJitter,
)
from tests import builders_edge as build


def _names(chain: object) -> list[str]:
    return [stage.target for stage in chain or ()]


class ChainFinderTest(unittest.TestCase):
    """Finds chains that cover all layers and have room."""

    def setUp(self) -> None:
        """Stand in zone a."""
        self.finder = ChainFinder(build.profile(), 'a')

    def test_covers_all_layers_once(self) -> None:
        """Overlapping ranges are entered where the stage before ends."""
        engines = [
            build.load('x', (0, 30)),
            build.load('y', (20, 60)),
            build.load('z', (50, 80)),
        ]
        chain = self.finder.find(engines, build.need())
        assert chain is not None
        self.assertTrue(covers([stage.layers for stage in chain], 80))
        self.assertEqual(_names(chain), ['x', 'y', 'z'])

    def test_no_chain_over_a_gap(self) -> None:
        """A layer that nobody holds leaves no chain."""
        engines = [build.load('x', (0, 39)), build.load('z', (40, 80))]
        self.assertIsNone(self.finder.find(engines, build.need()))

    def test_prefers_quick_engines(self) -> None:
        """Slow copies are used only when the quick ones are full."""
        row = [
            build.load('q1', (0, 40), build.QUICK),
            build.load('q2', (40, 80), build.QUICK),
        ]
        copy = build.load('s1', (40, 48), build.SLOW)
        rest = build.load('m1', (48, 80))
        chain = self.finder.find([*row, copy, rest], build.need())
        self.assertEqual(_names(chain), ['q1', 'q2'])
        full = build.load(
            'q2',
            (40, 80),
            build.QUICK,
            used_token_layers=row[1].total_token_layers,
        )
        chain = self.finder.find([row[0], full, copy, rest], build.need())
        self.assertEqual(_names(chain), ['q1', 's1', 'm1'])

    def test_avoids_slow_turned_engines(self) -> None:
        """Pattern: some engines run twelve times slower for seconds."""
        engines = [
            build.load('x', (0, 40), slowness=12.0),
            build.load('y', (0, 40)),
            build.load('z', (40, 80)),
        ]
        chain = self.finder.find(engines, build.need())
        self.assertEqual(_names(chain), ['y', 'z'])

    def test_a_lost_stage_is_replaced_within_the_zone(self) -> None:
        """Pattern: one engine of a row is gone, a copy of its range is not."""
        engines = [
            build.load('x', (0, 40)),
            build.load('c1', (40, 60)),
            build.load('c2', (60, 80)),
            build.load('far', (40, 80), zone='b'),
        ]
        chain = self.finder.find(engines, build.need())
        self.assertEqual(_names(chain), ['x', 'c1', 'c2'])

    def test_crosses_zones_rather_than_refuse(self) -> None:
        """A crossing is dear, and better than no chain."""
        engines = [
            build.load('x', (0, 40)),
            build.load('f', (40, 80), zone='b'),
        ]
        chain = self.finder.find(engines, build.need())
        self.assertEqual(_names(chain), ['x', 'f'])

    def test_whole_chain_elsewhere_goes_before_a_crossing(self) -> None:
        """Only the prompt's text goes to a chain in another zone."""
        engines = [
            build.load('x', (0, 40)),
            build.load('f1', (0, 40), zone='b'),
            build.load('f2', (40, 80), zone='b'),
        ]
        chain = self.finder.find(engines, build.need())
        self.assertEqual(_names(chain), ['f1', 'f2'])

    def test_room_is_for_all_layers_of_a_stage(self) -> None:
        """A draft larger than what is left goes elsewhere or nowhere."""
        small = build.load('x', (0, 24))
        rest = build.load('y', (24, 80), build.QUICK, total_token_layers=1e9)
        tokens = small.free_token_layers / 24
        fits = build.need(tokens - 200 - 17, 200)
        self.assertIsNotNone(self.finder.find([small, rest], fits))
        larger = build.need(tokens - 200 - 15, 200)
        self.assertIsNone(self.finder.find([small, rest], larger))

    def test_spreads_load_over_equal_chains(self) -> None:
        """Pattern: a burst. Equal rows fill evenly, none first."""
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
                    requests=counts[name],
                    total_token_layers=5e6,
                )
                for name, load in engines.items()
            ]
            for name in _names(self.finder.find(loads, build.need())):
                counts[name] += 1
        self.assertEqual(counts['x1'] + counts['x2'], 40)
        self.assertLessEqual(abs(counts['x1'] - counts['x2']), 2)
        self.assertLessEqual(abs(counts['y1'] - counts['y2']), 2)


class CostJitterTest(unittest.TestCase):
    """Pattern: 81 daemons send at the same moment, with the same old news."""

    def _firsts(self, load_age_s: float) -> set[str]:
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
                ChainConstraints(jitter=CostJitter.from_age(salt, load_age_s)),
            )[0].target
            for salt in range(40)
        }

    def test_late_news_spread_drafts(self) -> None:
        """Not all of them pile up on the quickest engine."""
        self.assertEqual(len(self._firsts(0.0)), 1)
        self.assertGreaterEqual(len(self._firsts(0.8)), 2)

    def test_fresh_news_keep_to_the_quickest(self) -> None:
        """A tenth of a second hardly changes a choice."""
        self.assertLessEqual(self._firsts(0.1), {'x0', 'x1'})

    def test_late_news_leave_more_room(self) -> None:
        """Promises that are not heard of yet must fit too."""
        self.assertGreater(fill_limit(0.1), 0.95)
        self.assertLess(fill_limit(0.8), 0.9)
        self.assertGreaterEqual(fill_limit(60.0), 0.8)
