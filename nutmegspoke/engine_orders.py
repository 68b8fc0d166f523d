"""Reports of engines, and orders to hold layers."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from nutmegspoke.layers import LayerRange


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """The state an engine reports; some hundred milliseconds old.

    :param layers: layers that the engine holds; ``None`` for none.
    :param is_busy: whether an order is in progress.
    :param order_number: number of orders accepted since the engine's start.
    :param used_token_layers: memory in use by requests, in tokens times
        layers.
    :param total_token_layers: total memory for requests, in tokens times
        layers.
    :param slowness: multiplier of the usual step time; 1 is usual speed.
    :param stalled: ids of requests that wait for a lost engine, each with the
        address of that engine.
    :param is_leaving: whether the engine says that it leaves.
    """

    layers: LayerRange | None
    is_busy: bool
    order_number: int
    used_token_layers: float
    total_token_layers: float
    slowness: float
    stalled: tuple[tuple[str, str], ...] = ()
    is_leaving: bool = False


class OrderAnswer(enum.StrEnum):
    """Answer of an engine to an order, or how the call failed.

    ``IN_DOUBT`` means that no answer came and the order may be in progress.
    """

    BEGUN = 'begun'
    DONE = 'done'
    UNFIT = 'unfit'
    OLD_FENCING_NUMBER = 'old_fencing_number'
    NOT_FOUND = 'not_found'
    OTHER_TARGET = 'other_target'
    UNREACHABLE = 'unreachable'
    IN_DOUBT = 'in_doubt'


class EngineCalls(Protocol):
    """Reads reports of engines and sends them layer orders."""

    async def report(self, address: str) -> EngineReport | None:
        """Return an engine's report; ``None`` if it can't be fetched."""

    async def order_layers(
        self,
        address: str,
        target: str,
        layers: LayerRange,
        fencing_number: int,
        order_number: int,
    ) -> OrderAnswer:
        """Order an engine to hold these layers and no others."""
