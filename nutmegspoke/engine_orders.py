"""What engines report of themselves, and the orders that they take."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from nutmegspoke.layers import LayerRange


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's own view, some hundred milliseconds old.

    :param layers: layers that it holds; ``None`` for none.
    :param is_busy: an order is under way.
    :param order_number: orders that it has accepted since its start.
    :param used_token_layers: memory in use, in tokens times layers.
    :param total_token_layers: memory for requests.
    :param slowness: 1 is the usual pace, more is slower.
    :param stalled: requests that wait for a lost engine, with its address.
    """

    layers: LayerRange | None
    is_busy: bool
    order_number: int
    used_token_layers: float
    total_token_layers: float
    slowness: float
    stalled: tuple[tuple[str, str], ...] = ()


class OrderAnswer(enum.StrEnum):
    """What an engine said to an order."""

    BEGUN = 'begun'
    DONE = 'done'
    UNFIT = 'unfit'
    OLD_FENCING_NUMBER = 'old_fencing_number'
    NOT_FOUND = 'not_found'
    OTHER_TARGET = 'other_target'
    UNREACHABLE = 'unreachable'
    IN_DOUBT = 'in_doubt'


class EngineCalls(Protocol):
    """Asks engines for reports and gives them orders."""

    async def report(self, address: str) -> EngineReport | None:
        """Return an engine's report; ``None`` if there is none to be had."""

    async def order_layers(
        self,
        address: str,
        target: str,
        layers: LayerRange,
        fencing_number: int,
        order_number: int,
    ) -> OrderAnswer:
        """Order an engine to hold these layers and no others."""
