"""Tests of the free room that whole chains can still use."""

from __future__ import annotations

import unittest

from nutmegspoke.contention.free_room import (
    find_narrowest_room,
    free_tokens_by_layer,
)
from tests import builders_edge as build

_LAYERS = 80


class FreeRoomTest(unittest.TestCase):
    """The layer with the least free memory decides."""

    def test_a_full_range_beside_empty_ones(self) -> None:
        """Guards against a sum that hides a range without free memory."""
        engines = [
            build.load('full', (0, 10), used_token_layers=1e6),
            build.load('idle-1', (10, 80)),
            build.load('idle-2', (10, 80)),
        ]
        room = find_narrowest_room(engines, _LAYERS)
        self.assertEqual(room.free_tokens, 0.0)
        self.assertEqual(room.total_tokens, 1e5)
        self.assertEqual(room.used_share, 1.0)

    def test_replicas_add_up(self) -> None:
        """Guards against the free memory of one engine taken for all."""
        engines = [
            build.load('x', (0, 80), fill_limit=1.0),
            build.load('y', (0, 40), fill_limit=1.0, used_token_layers=4e5),
        ]
        free = free_tokens_by_layer(engines, _LAYERS)
        self.assertEqual((free[0], free[79]), (12_500 + 15_000, 12_500))
        room = find_narrowest_room(engines, _LAYERS)
        self.assertEqual(room.free_tokens, 12_500)
        self.assertEqual(room.used_share, 0.0)

    def test_a_layer_without_engine(self) -> None:
        """Guards against free room that no whole chain has."""
        room = find_narrowest_room([build.load('x', (0, 79))], _LAYERS)
        self.assertEqual((room.free_tokens, room.total_tokens), (0.0, 0.0))
        self.assertEqual(room.used_share, 1.0)
        nothing = find_narrowest_room([], _LAYERS)
        self.assertEqual(nothing.used_share, 1.0)
