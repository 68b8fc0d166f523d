"""Track the memory reserved for drafts, and estimate the length of answers.

An engine that runs out of memory aborts a request in the middle of its answer,
so memory is reserved before a request is sent. Each daemon sums up its own
reservations and receives those of the other daemons in updates. The expected
length of an answer determines how much memory its draft needs.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from nutmegspoke.layers import Chain

# Smoothing factor of the exponential moving average of the answer lengths of a
# route.
_NEW_ANSWER_WEIGHT = 0.05
# Weight of the caller's hint; the rest is the mean of the route.
_HINT_WEIGHT = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Sum of the reservations for requests on one engine.

    :param token_layers: reserved memory, in tokens times layers.
    :param request_count: number of requests.
    :param first_stage_count: number of those whose chain begins at the engine.
    """

    token_layers: float
    request_count: int
    first_stage_count: int = 0

    def plus(self, other: Reservation) -> Reservation:
        """Return the sum of this and another reservation."""
        return Reservation(
            self.token_layers + other.token_layers,
            self.request_count + other.request_count,
            self.first_stage_count + other.first_stage_count,
        )


NO_RESERVATION = Reservation(0.0, 0)


class MemoryReservations:
    """Memory that this daemon has reserved on each engine."""

    def __init__(self) -> None:
        """Create an instance without reservations."""
        self._by_request: dict[str, tuple[Chain, float]] = {}
        self._by_engine: dict[str, Reservation] = {}

    def reserve(
        self, request_id: str, chain: Chain, memory_tokens: float
    ) -> None:
        """Reserve memory for a request; it replaces an earlier reservation.

        :param request_id: id of the request on this daemon.
        :param chain: chain on whose engines the memory is reserved.
        :param memory_tokens: memory that the request needs at its end, in
            tokens.
        """
        self.release(request_id)
        self._by_request[request_id] = (chain, memory_tokens)
        self._add(chain, memory_tokens, 1)

    def release(self, request_id: str) -> None:
        """Release the reservation for a request; ignored if there is none."""
        reserved = self._by_request.pop(request_id, None)
        if reserved is not None:
            self._add(reserved[0], -reserved[1], -1)

    def move(self, request_id: str, new_id: str) -> None:
        """Move a reservation to another id; ignored if there is none.

        :param new_id: id under which it replaces an earlier reservation.
        """
        reserved = self._by_request.pop(request_id, None)
        if reserved is not None:
            self.release(new_id)
            self._by_request[new_id] = reserved

    def total_reservations(self) -> Mapping[str, Reservation]:
        """Return the sum of the reservations on each engine."""
        return self._by_engine

    def _add(
        self, chain: Chain, memory_tokens: float, request_count: int
    ) -> None:
        """Add a reservation to the sums, or subtract a released one.

        :param memory_tokens: reserved memory, in tokens; negative on release.
        :param request_count: 1 for a reservation, -1 on release.
        """
        for index, stage in enumerate(chain):
            change = Reservation(
                memory_tokens * len(stage.layers),
                request_count,
                0 if index else request_count,
            )
            total = self._by_engine.get(stage.target, NO_RESERVATION).plus(
                change
            )
            if total.request_count > 0:
                self._by_engine[stage.target] = total
            else:
                self._by_engine.pop(stage.target, None)


class AnswerLengths:
    """Estimates the length of answers from earlier answers on the route."""

    def __init__(self, usual_tokens: float) -> None:
        """Start with a mean length that is the same for all routes.

        :param usual_tokens: mean length in the settings of the deployment.
        """
        self._usual_tokens = usual_tokens
        self._means: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def add_length(self, route: str, tokens: float) -> None:
        """Add the length of a complete answer.

        :param route: name of the route.
        :param tokens: number of tokens of the answer.
        """
        mean = self._means.get(route, self._usual_tokens)
        self._means[route] = mean + _NEW_ANSWER_WEIGHT * (tokens - mean)

    def expected_tokens(
        self,
        route: str,
        max_tokens: float,
        hinted_tokens: float | None,
    ) -> float:
        """Return the expected number of tokens of an answer.

        :param route: name of the route.
        :param max_tokens: longest answer that the caller accepts; 0 for no
            limit.
        :param hinted_tokens: the caller's estimate; ``None`` if there is none.
        """
        mean = self._means.get(route, self._usual_tokens)
        expected = mean
        if hinted_tokens is not None:
            expected += _HINT_WEIGHT * (hinted_tokens - mean)
        return min(expected, max_tokens) if max_tokens else expected


def sum_reservations(
    by_daemon: Iterable[Mapping[str, Reservation]],
) -> dict[str, Reservation]:
    """Return the sums of several daemons' reservations, by engine.

    :param by_daemon: reservations of each daemon, by engine.
    """
    total: dict[str, Reservation] = {}
    for by_engine in by_daemon:
        for engine, reservation in by_engine.items():
            total[engine] = total.get(engine, NO_RESERVATION).plus(reservation)
    return total
