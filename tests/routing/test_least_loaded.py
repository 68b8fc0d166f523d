"""Tests of the choice between targets of plain services."""

from __future__ import annotations

import unittest

from nutmegspoke.routing.least_loaded import LeastLoaded
from tests import builders_edge as build


class LeastLoadedTest(unittest.TestCase):
    """Targets of the own zone are preferred, unless they are loaded or fail."""

    def setUp(self) -> None:
        """Create one target in each of two zones."""
        self.loads = LeastLoaded('a')
        self.near = build.target('near', slots=6)
        self.far = build.target('far', slots=6, availability_zone='b')

    def _choose(self, now_s: float = 0.0, avoided: tuple[str, ...] = ()) -> str:
        chosen = self.loads.choose((self.near, self.far), avoided, now_s)
        return '' if chosen is None else chosen.name

    def test_prefers_the_own_zone(self) -> None:
        """Without load, the target in the own zone is chosen."""
        self.assertEqual(self._choose(), 'near')
        self.assertEqual(self._choose(avoided=('near',)), 'far')
        self.assertEqual(self._choose(avoided=('near', 'far')), '')

    def test_goes_elsewhere_under_load(self) -> None:
        """Two of six slots in use outweigh the zone crossing."""
        self.loads.sent('near')
        self.loads.sent('near')
        self.assertEqual(self._choose(), 'far')
        self.loads.ended('near')
        self.assertEqual(self._choose(), 'near')

    def test_reported_load_expires(self) -> None:
        """A load reported in an answer expires after a second."""
        self.loads.reported('near', 6, 10.0)
        self.assertEqual(self._choose(10.5), 'far')
        self.assertEqual(self._choose(12.0), 'near')

    def test_leaves_a_failing_target(self) -> None:
        """Guards against a target that fails requests but reports healthy."""
        self.loads.failed('near', 10.0)
        self.assertEqual(self._choose(10.1), 'far')
        self.assertEqual(self._choose(40.0), 'near')
