"""Tests of the maximum flow against minimum cuts found by brute force."""

from __future__ import annotations

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from nutmegspoke.routing.maxflow import FlowNetwork

_NODES = 6
_edges = st.lists(
    st.tuples(
        st.integers(0, _NODES - 1),
        st.integers(0, _NODES - 1),
        st.integers(0, 20),
    ),
    max_size=16,
)


def _find_minimum_cut(edges: list[tuple[int, int, int]]) -> int:
    inner = range(1, _NODES - 1)
    source_sides = itertools.chain.from_iterable(
        itertools.combinations(inner, size) for size in range(_NODES - 1)
    )
    return min(
        _cut_capacity({0, *source_side}, edges) for source_side in source_sides
    )


def _cut_capacity(
    source_side: set[int], edges: list[tuple[int, int, int]]
) -> int:
    return sum(
        capacity
        for tail, head, capacity in edges
        if tail in source_side and head not in source_side
    )


class MaxFlowTest(unittest.TestCase):
    """The flow equals the minimum cut and is conserved at each node."""

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(_edges)
    def test_equals_the_minimum_cut(
        self,
        edges: list[tuple[int, int, int]],
    ) -> None:
        """Flow and minimum cut are equal, and inner nodes are balanced."""
        network = FlowNetwork(_NODES)
        numbers = [network.add_edge(*edge) for edge in edges]
        sent = network.maximize(0, _NODES - 1)
        self.assertAlmostEqual(sent, _find_minimum_cut(edges))
        self.assertAlmostEqual(_cut_capacity(network.reachable(0), edges), sent)
        balance = [0.0] * _NODES
        for (tail, head, capacity), number in zip(edges, numbers, strict=True):
            flow = network.flow_on(number)
            self.assertTrue(0 <= flow <= capacity)
            balance[tail] -= flow
            balance[head] += flow
        for node in range(1, _NODES - 1):
            self.assertAlmostEqual(balance[node], 0)
