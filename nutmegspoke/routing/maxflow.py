"""Maximum flow in a small network, by Dinic's algorithm."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

_RELATIVE_TOLERANCE = 1e-12


class FlowNetwork:
    """A directed network with capacities.

    Edges are identified by index: ``2k`` is an added edge and ``2k + 1`` its
    reverse edge.
    """

    def __init__(self, node_count: int) -> None:
        """Create a network without edges.

        :param node_count: number of nodes, ``0`` to ``node_count - 1``.
        """
        self._heads: list[int] = []
        self._residuals: list[float] = []
        self._capacities: list[float] = []
        self._edges: list[list[int]] = [[] for _ in range(node_count)]
        self._levels: list[int] = []
        self._cursors: list[int] = []
        self._tolerance = 0.0

    def add_edge(self, tail: int, head: int, capacity: float) -> int:
        """Add a directed edge.

        :returns: index of the edge, for :meth:`flow_on`.
        """
        index = len(self._heads)
        self._heads.extend((head, tail))
        self._residuals.extend((capacity, 0.0))
        self._capacities.append(capacity)
        self._edges[tail].append(index)
        self._edges[head].append(index + 1)
        return index

    def preload(self, path: Sequence[int], amount: float) -> float:
        """Send flow along a path before calling :meth:`maximize`.

        :param path: indices of the edges from the source to the sink.
        :param amount: flow to send.
        :returns: the flow sent; lower than ``amount`` if an edge has less
            capacity.
        """
        sent = min(amount, *(self._residuals[edge] for edge in path))
        for edge in path:
            self._residuals[edge] -= sent
            self._residuals[edge ^ 1] += sent
        return sent

    def maximize(self, source: int, sink: int) -> float:
        """Maximize the flow from the source to the sink.

        :returns: the flow added by this call.
        """
        finite = [cap for cap in self._capacities if math.isfinite(cap)]
        self._tolerance = _RELATIVE_TOLERANCE * max(finite, default=1.0)
        total = 0.0
        while self._find_levels(source, sink):
            self._cursors = [0 for _ in self._edges]
            total += self._send_blocking_flow(source, sink)
        return total

    def flow_on(self, edge: int) -> float:
        """Return the flow on an edge that was added with :meth:`add_edge`."""
        return self._residuals[edge + 1]

    def reachable(self, source: int) -> set[int]:
        """Return the nodes on the source side of a minimum cut.

        Call :meth:`maximize` first.
        """
        visited = {source}
        waiting = [source]
        while waiting:
            node = waiting.pop()
            for head in self._residual_neighbors(node):
                if head not in visited:
                    visited.add(head)
                    waiting.append(head)
        return visited

    def _residual_neighbors(self, node: int) -> list[int]:
        return [
            self._heads[edge]
            for edge in self._edges[node]
            if self._residuals[edge] > self._tolerance
        ]

    def _find_levels(self, source: int, sink: int) -> bool:
        levels = [-1 for _ in self._edges]
        levels[source] = 0
        waiting = collections.deque([source])
        while waiting:
            node = waiting.popleft()
            for head in self._residual_neighbors(node):
                if levels[head] < 0:
                    levels[head] = levels[node] + 1
                    waiting.append(head)
        self._levels = levels
        return levels[sink] >= 0

    def _send_blocking_flow(self, source: int, sink: int) -> float:
        total = 0.0
        sent = self._send(source, sink, math.inf)
        while sent > 0:
            total += sent
            sent = self._send(source, sink, math.inf)
        return total

    def _send(self, node: int, sink: int, amount: float) -> float:
        if node == sink:
            return amount
        edges = self._edges[node]
        while self._cursors[node] < len(edges):
            edge = edges[self._cursors[node]]
            sent = self._send_on(edge, self._levels[node], sink, amount)
            if sent > 0:
                return sent
            self._cursors[node] += 1
        return 0.0

    def _send_on(
        self,
        edge: int,
        level: int,
        sink: int,
        amount: float,
    ) -> float:
        head = self._heads[edge]
        residual = self._residuals[edge]
        if residual <= self._tolerance or self._levels[head] != level + 1:
            return 0.0
        sent = self._send(head, sink, min(amount, residual))
        self._residuals[edge] -= sent
        self._residuals[edge ^ 1] += sent
        return sent
