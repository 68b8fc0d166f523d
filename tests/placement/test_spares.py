"""Tests of finding lost layers and spares, and of lease candidates."""

from __future__ import annotations

import unittest

from nutmegspoke.layers import LayerRange
from nutmegspoke.placement.candidates import is_candidate
from nutmegspoke.placement.spares import Replacement, SpareFinder
from nutmegspoke.targets import Target, TargetState
from tests import builders_membership as build

_ROW = build.engine_pool()


def _engine(
    name: str,
    layers: str = '',
    state: TargetState = TargetState.LIVE,
    in_flight: int = 0,
    model: str = 'fanletter',
) -> Target:
    return Target(
        name=name,
        address=f'{name}:1',
        pool=build.POOL,
        state=state,
        layers=LayerRange.from_text(layers),
        model=model,
        version='1',
        own_in_flight=in_flight,
    )


def _find(
    *members: Target,
    finder: SpareFinder | None = None,
    pending: tuple[Replacement, ...] = (),
    now_s: float = 0.0,
) -> list[tuple[str, str]]:
    found = (finder or SpareFinder()).find(_ROW, members, pending, now_s)
    return [(str(item.layers), item.spare.name) for item in found]


_GONE = TargetState.GONE
_SUSPECT = TargetState.SUSPECT


class SpareFinderTest(unittest.TestCase):
    """Lost layers and the engines that load them."""

    def test_nothing_is_lost_while_another_engine_holds_it(self) -> None:
        """Overlapping ranges together cover the layers."""
        found = _find(
            _engine('a', '0-8'),
            _engine('b', '4-12'),
            _engine('c', '4-8', _GONE),
            _engine('spare'),
        )
        self.assertEqual(found, [])

    def test_a_spare_loads_what_the_lost_engine_held(self) -> None:
        """The layers of gone and leaving engines are lost at once."""
        for state in (_GONE, TargetState.LEAVING):
            found = _find(
                _engine('a', '0-4'),
                _engine('b', '4-8', state),
                _engine('c', '8-12'),
                _engine('spare', in_flight=1),
                _engine('idle'),
            )
            self.assertEqual(found, [('4-8', 'idle')])

    def test_a_suspect_engine_has_a_grace(self) -> None:
        """Its layers are lost after 3 s without a report."""
        finder = SpareFinder()
        members = (
            _engine('a', '0-8'),
            _engine('b', '8-12', _SUSPECT),
            _engine('spare'),
        )
        for now_s, expected in ((0.0, 0), (2.9, 0), (3.0, 1)):
            found = _find(*members, finder=finder, now_s=now_s)
            self.assertEqual(len(found), expected)
        _find(_engine('a', '0-12'), finder=finder, now_s=4.0)
        self.assertEqual(_find(*members, finder=finder, now_s=5.0), [])

    def test_layers_that_nobody_has_reported_yet_have_a_grace(self) -> None:
        """Guards against orders by a daemon that has received no reports yet."""
        finder = SpareFinder()
        members = (_engine('a', state=_SUSPECT), _engine('spare'))
        self.assertEqual(_find(*members, finder=finder), [])
        known = (*members, _engine('b', '4-8', _GONE))
        found = _find(*known, finder=finder, now_s=1.0)
        self.assertEqual(found, [('4-8', 'spare')])
        found = _find(*members, finder=finder, now_s=3.0)
        self.assertEqual(found, [('0-12', 'spare')])

    def test_each_lost_engine_gets_a_spare_of_its_own(self) -> None:
        """A spare loads no more layers than one lost engine held."""
        found = _find(
            _engine('a', '0-4', _GONE),
            _engine('b', '4-8', _GONE),
            _engine('c', '8-12'),
            _engine('s1'),
            _engine('s2'),
        )
        self.assertEqual(found, [('0-4', 's1'), ('4-8', 's2')])

    def test_what_is_ordered_is_not_ordered_again(self) -> None:
        """Neither the layers nor the spare of a pending order are used again."""
        spare = _engine('s1')
        ordered = Replacement(LayerRange(0, 4), spare)
        members = (
            _engine('a', '0-4', _GONE),
            _engine('b', '4-8', _GONE),
            _engine('c', '8-12'),
            spare,
            _engine('s2'),
        )
        found = _find(*members, pending=(ordered,))
        self.assertEqual(found, [('4-8', 's2')])

    def test_an_engine_whose_layers_others_hold_may_be_taken(self) -> None:
        """Only an engine of the same model whose loss would leave no gap."""
        finder = SpareFinder()
        members = (
            _engine('a', '0-4'),
            _engine('b', '0-4'),
            _engine('c', '4-8'),
            _engine('d', '8-12', _GONE),
            _engine('other', '0-4', model='other'),
        )
        self.assertEqual(_find(*members, finder=finder), [])
        found = _find(*members, finder=finder, now_s=3.0)
        self.assertEqual(found, [('8-12', 'a')])
        found = _find(
            _engine('a', '0-4'),
            _engine('c', '4-8'),
            _engine('d', '8-12', _GONE),
        )
        self.assertEqual(found, [])


class CandidateTest(unittest.TestCase):
    """Daemons that contend for the lease of a pool."""

    def test_a_few_contend_and_the_next_follow(self) -> None:
        """When a candidate is gone, one other daemon replaces it."""
        names = [f'daemon-{number}' for number in range(20)]

        def candidates(live: list[str]) -> set[str]:
            return {
                name
                for name in live
                if is_candidate(build.POOL, name, set(live) - {name})
            }

        chosen = candidates(names)
        self.assertEqual(len(chosen), 3)
        gone = min(chosen)
        left = candidates([name for name in names if name != gone])
        self.assertEqual(len(left), 3)
        self.assertEqual(chosen - left, {gone})
        self.assertTrue(is_candidate(build.POOL, 'alone', ()))
