"""Tests of the checks over both tables."""

from __future__ import annotations

import itertools
import unittest

from hypothesis import given, settings, strategies as st

from nutmegspoke.layers import LayerRange, covers
from nutmegspoke.tables.checks import check_tables
from nutmegspoke.tables.layer_checks import check_layers
from nutmegspoke.tables.matching import match_route
from nutmegspoke.tables.rows import PoolKind, Tables, TeamShare
from tests.builders_tables import build_pool, build_route, build_tables

_ENGINE = {
    'kind': PoolKind.ENGINE,
    'model': 'quill',
    'version': '1',
    'layer_count': 12,
}
_names = st.sampled_from(('', 'a', 'b'))
_paths = st.sampled_from(('/', '/*', '/a', '/a*', '/ab*', '/ab'))
_ranges = st.builds(
    lambda start, length: LayerRange(start, start + length),
    st.integers(0, 4),
    st.integers(1, 3),
)


class CheckTablesTest(unittest.TestCase):
    """Each fault is reported with its section and key."""

    def test_right_tables_have_no_fault(self) -> None:
        """Routes that differ in path, model or team don't overlap."""
        tables = build_tables(
            build_route('a'),
            build_route('b', path='/a', team='desk', teams=()),
            build_route('c', path='/c', pool='quills', model='quill'),
            build_route('d', path='/*', team='clubs', teams=()),
            pools=(
                build_pool(),
                build_pool('quills', targets=(), selector='q', **_ENGINE),
            ),
        )
        self.assertIsNone(check_tables(tables, 'f'))

    def test_each_fault_is_named(self) -> None:
        """A single mistake gives a single fault with its section and key."""
        route = build_route
        pool = build_pool
        other = pool('other', targets=('127.0.0.1:9002',))
        team_lines = (TeamShare('desk', 1, 1), TeamShare('desk', 1, 1))
        cases = (
            ((route(pool='engine'),), (), 'route drafts', 'pool'),
            ((route('a'), route('b', path='/a')), (), 'route b', 'path'),
            ((route(model='quill'),), (), 'route drafts', 'model'),
            (
                (route(timeout_s=4),),
                (),
                'route drafts',
                'progress_timeout_s',
            ),
            ((route(teams=team_lines),), (), 'route drafts', 'teams'),
            ((route(team='desk'),), (), 'route drafts', 'teams'),
            ((route(team='robots', teams=()),), (), 'route drafts', 'team'),
            ((), (pool(model='quill'),), 'pool engines', 'model'),
            (
                (),
                (pool(**{**_ENGINE, 'layer_count': 0}),),
                'pool engines',
                'layer_count',
            ),
            ((), (pool(targets=()),), 'pool engines', 'targets'),
            ((), (pool(targets=('a:1', 'a:1')),), 'pool engines', 'targets'),
            ((), (pool(leaving=('x',)),), 'pool engines', 'leaving'),
            ((), (pool(), pool('zebras')), 'pool zebras', 'targets'),
            (
                (),
                (pool(selector='s'), pool('z', targets=(), selector='s')),
                'pool z',
                'selector',
            ),
        )
        for routes, pools, section, key in cases:
            with self.subTest(section=section, key=key):
                tables = build_tables(*routes, pools=(*pools, other))
                if not pools:
                    tables = build_tables(*routes)
                found = check_tables(tables, 'f')
                self.assertEqual(
                    [(fault.section, fault.key) for fault in found.faults],
                    [(section, key)],
                )

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.lists(st.tuples(_paths, _names, _names), max_size=5),
        _paths,
        _names,
        _names,
    )
    def test_checked_tables_match_in_any_order(
        self,
        matches: list[tuple[str, str, str]],
        path: str,
        model: str,
        team: str,
    ) -> None:
        """In tables without overlaps, matching ignores the order of rows."""
        routes = tuple(
            build_route(str(number), path=path, model=model, team=team)
            for number, (path, model, team) in enumerate(matches)
        )
        found = check_tables(build_tables(*routes), 'f')
        keys = {fault.key for fault in found.faults} if found else set()
        if 'path' in keys:
            return
        chosen = {
            match_route(Tables(routes=order), path, model, team)
            for order in itertools.permutations(routes)
        }
        self.assertEqual(len(chosen), 1)


class CheckLayersTest(unittest.TestCase):
    """Gaps (layers that no engine holds) and overlaps are reported."""

    def test_names_gap_and_overlap(self) -> None:
        """Reports unheld layers and targets that fit no chain, by name."""
        pool = build_pool(**_ENGINE)
        gap = check_layers(pool, {'a': LayerRange(0, 4)}, 'f')
        self.assertIn('no target holds the layers 4-12', str(gap[0]))
        held = {
            'a': LayerRange(0, 6),
            'b': LayerRange(6, 12),
            'c': LayerRange(4, 9),
        }
        (overlap,) = check_layers(pool, held, 'f')
        self.assertIn('c holds 4-9, which fits no chain', str(overlap))
        beyond = check_layers(pool, {'a': LayerRange(0, 14)}, 'f')
        self.assertIn('a holds 0-14', str(beyond[0]))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(_ranges, max_size=5))
    def test_no_fault_if_every_target_is_in_a_chain(
        self,
        ranges: list[LayerRange],
    ) -> None:
        """The result equals a brute-force search over all chains."""
        layer_count = 5
        pool = build_pool(**{**_ENGINE, 'layer_count': layer_count})
        held = {str(number): layers for number, layers in enumerate(ranges)}
        used = {
            name
            for size in range(1, len(held) + 1)
            for chain in itertools.permutations(held, size)
            if covers([held[name] for name in chain], layer_count)
            for name in chain
        }
        is_valid = bool(used) and used == set(held)
        self.assertEqual(not check_layers(pool, held, 'f'), is_valid)
