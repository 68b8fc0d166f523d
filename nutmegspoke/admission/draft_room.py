"""Keeps account of the memory that drafts take on the engines.

An engine that runs out of memory throws a request out in the middle of its
answer, so room is promised before a request is sent. Each daemon counts what
it has promised itself; what the others have promised comes as news.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from nutmegspoke.layers import Chain

# Answers so far that count as much as one new one in the mean of a route.
_LEARNT_WEIGHT = 0.05
# How far the caller's guess is believed against the route's mean.
_HINT_WEIGHT = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Memory promised to one request on one engine.

    :param token_layers: tokens times layers.
    :param requests: number of requests.
    :param first_stage_count: those of them whose chain begins there.
    """

    token_layers: float
    requests: int
    first_stage_count: int = 0

    def plus(self, other: Reservation) -> Reservation:
        """Return the sum of two."""
        return Reservation(
            self.token_layers + other.token_layers,
            self.requests + other.requests,
            self.first_stage_count + other.first_stage_count,
        )


NO_RESERVATION = Reservation(0.0, 0)


class MemoryReservations:
    """Memory that this daemon has promised on each engine."""

    def __init__(self) -> None:
        """Start without promises."""
        self._by_request: dict[str, tuple[Chain, float]] = {}
        self._by_engine: dict[str, Reservation] = {}

    def reserve(self, request: str, chain: Chain, room_tokens: float) -> None:
        """Promise room to a request; an earlier promise to it ends.

        :param request: id of the request on this daemon.
        :param room_tokens: memory that it takes at its end, in tokens.
        """
        self.release(request)
        self._by_request[request] = (chain, room_tokens)
        self._add(chain, room_tokens, 1)

    def release(self, request: str) -> None:
        """End the promise to a request, if there is one."""
        found = self._by_request.pop(request, None)
        if found is not None:
            self._add(found[0], -found[1], -1)

    def promised(self) -> Mapping[str, Reservation]:
        """Return what is promised on each engine."""
        return self._by_engine

    def _add(self, chain: Chain, room_tokens: float, requests: int) -> None:
        for place, stage in enumerate(chain):
            change = Reservation(
                room_tokens * len(stage.layers),
                requests,
                0 if place else requests,
            )
            total = self._by_engine.get(stage.target, NO_RESERVATION).plus(
                change
            )
            if total.requests > 0:
                self._by_engine[stage.target] = total
            else:
                self._by_engine.pop(stage.target, None)


class AnswerLengths:
    """Expects the length of answers from those seen on the same route."""

    def __init__(self, usual_tokens: float) -> None:
        """Start with the deployment's mean.

        :param usual_tokens: mean length that the deployment states.
        """
        self._usual_tokens = usual_tokens
        self._means: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def ended(self, route: str, tokens: float) -> None:
        """Take the length of a whole answer."""
        mean = self._means.get(route, self._usual_tokens)
        self._means[route] = mean + _LEARNT_WEIGHT * (tokens - mean)

    def expect(
        self,
        route: str,
        max_tokens: float,
        hinted_tokens: float | None,
    ) -> float:
        """Return the tokens to expect of an answer.

        :param max_tokens: longest answer that the caller takes; 0 for any.
        :param hinted_tokens: the caller's guess.
        """
        mean = self._means.get(route, self._usual_tokens)
        expected = mean
        if hinted_tokens is not None:
            expected += _HINT_WEIGHT * (hinted_tokens - mean)
        return min(expected, max_tokens) if max_tokens else expected


def sum_reservations(
    boards: Iterable[Mapping[str, Reservation]],
) -> dict[str, Reservation]:
    """Return the sums of what several daemons have promised."""
    total: dict[str, Reservation] = {}
    for board in boards:
        for engine, reservation in board.items():
            total[engine] = total.get(engine, NO_RESERVATION).plus(reservation)
    return total
