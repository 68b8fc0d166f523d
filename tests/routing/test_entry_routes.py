"""Tests of route matching by host name and longest prefix."""

from __future__ import annotations

import unittest

from nutmegspoke.entry_host import PoolShare
from nutmegspoke.routing.entry_routes import RouteIndex, pick_pool
from tests import builders_edge as build


class RouteIndexTest(unittest.TestCase):
    """The route with the longest prefix of the path is found."""

    def setUp(self) -> None:
        """Index nested prefixes of one host and one of another."""
        self.index = RouteIndex(
            (
                build.route('outer', path_prefix='/a/'),
                build.route('inner', path_prefix='/a/b/'),
                build.route('other', host_name='Other', path_prefix='/a/'),
            ),
        )

    def _match(self, host_name: str, path: str) -> str | None:
        route = self.index.match(host_name, path)
        return None if route is None else route.name

    def test_longest_prefix_wins(self) -> None:
        """A prefix is matched by whole path segments."""
        self.assertEqual(self._match(build.HOST_NAME, '/a/b/c'), 'inner')
        self.assertEqual(self._match(build.HOST_NAME, '/a/b/'), 'inner')
        self.assertEqual(self._match(build.HOST_NAME, '/a/b'), 'outer')
        self.assertEqual(self._match(build.HOST_NAME, '/a/bc/d'), 'outer')

    def test_no_route(self) -> None:
        """Other paths and other host names do not match."""
        self.assertIsNone(self._match(build.HOST_NAME, '/b/'))
        self.assertIsNone(self._match(build.HOST_NAME, 'a'))
        self.assertIsNone(self._match('unknown', '/a/'))
        self.assertEqual(self._match('other', '/a/x'), 'other')


class PickPoolTest(unittest.TestCase):
    """Requests are distributed over pools by weight."""

    def test_draws_fall_by_weight(self) -> None:
        """Nine of ten uniform draws select the pool with weight 90 of 100."""
        shares = (PoolShare('big', 90), PoolShare('small', 10))
        picked = [pick_pool(shares, step / 100) for step in range(100)]
        self.assertEqual(picked.count('big'), 90)
        self.assertEqual(picked.count('small'), 10)

    def test_no_pool(self) -> None:
        """A route without pools or weights selects no pool."""
        self.assertIsNone(pick_pool((), 0.5))
        self.assertIsNone(pick_pool((PoolShare('off', 0),), 0.5))
