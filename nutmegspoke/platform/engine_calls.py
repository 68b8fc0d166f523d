"""Calls to engines beside requests: reports and orders."""

from __future__ import annotations

import asyncio
import logging
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from nutmegspoke.engine_orders import EngineReport, OrderAnswer
from nutmegspoke.platform.discovery import HeldLayers

if TYPE_CHECKING:
    from nutmegspoke.layers import LayerRange

logger = logging.getLogger(__name__)

# Engines answer from memory, within a few round trips.
_REPORT_TIMEOUT_S = 0.5
_ORDER_TIMEOUT_S = 1.0
_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)
_REPORT_ERRORS = (*_ERRORS, msgspec.MsgspecError)


_ANSWERS = MappingProxyType(
    {
        202: OrderAnswer.BEGUN,
        200: OrderAnswer.DONE,
        409: OrderAnswer.UNFIT,
        412: OrderAnswer.OLD_FENCING_NUMBER,
        404: OrderAnswer.NOT_FOUND,
        421: OrderAnswer.OTHER_TARGET,
        503: OrderAnswer.UNREACHABLE,
    }
)


class _Stalled(msgspec.Struct):
    id: str
    address: str


class _Report(msgspec.Struct):
    layers: HeldLayers | None = None
    busy: bool = False
    seq_no: int = 0
    # Tokens times layers, as is the total.
    kv_used: float = 0
    kv_total: float = 0
    pace: float = 1
    stalled: list[_Stalled] = msgspec.field(default_factory=list)


_decoder = msgspec.json.Decoder(_Report)


class EngineClient:
    """Asks engines for reports and gives them orders.

    :param session: session for all calls.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Use a session."""
        self._session = session

    async def report(self, address: str) -> EngineReport | None:
        """Return an engine's report; ``None`` if there is none to be had."""
        try:
            async with asyncio.timeout(_REPORT_TIMEOUT_S):
                async with self._session.get(
                    f'http://{address}/v1/report',
                ) as response:
                    found = _decoder.decode(await response.read())
        except _REPORT_ERRORS as error:
            logger.info('engines: no report of %s: %r', address, error)
            return None
        return EngineReport(
            layers=found.layers.to_range() if found.layers else None,
            is_busy=found.busy,
            order_number=found.seq_no,
            used_token_layers=found.kv_used,
            total_token_layers=found.kv_total,
            slowness=found.pace,
            stalled=tuple((row.id, row.address) for row in found.stalled),
        )

    async def order_layers(
        self,
        address: str,
        target: str,
        layers: LayerRange,
        fencing_number: int,
        order_number: int,
    ) -> OrderAnswer:
        """Order an engine to hold these layers and no others.

        :param target: name of the engine; another start must refuse.
        :param fencing_number: number of the lease under which it is ordered.
        :param order_number: orders that the engine is known to have accepted.
        """
        order = {
            'op': 'place',
            'from': layers.start,
            'to': layers.stop,
            'drain_mode': 'wait',
            'fence': fencing_number,
            'precondition': order_number,
        }
        return await self._order(address, target, order)

    async def _order(
        self,
        address: str,
        target: str,
        order: dict[str, Any],
    ) -> OrderAnswer:
        try:
            async with asyncio.timeout(_ORDER_TIMEOUT_S):
                async with self._session.post(
                    f'http://{address}/v1/order',
                    json=order,
                    headers={'Expect-Instance': target},
                ) as response:
                    return _ANSWERS.get(response.status, OrderAnswer.UNFIT)
        except aiohttp.ClientConnectorError as error:
            logger.info('engines: %s not reached: %r', address, error)
            return OrderAnswer.UNREACHABLE
        except _ERRORS as error:
            logger.info('engines: no answer of %s: %r', address, error)
            return OrderAnswer.IN_DOUBT
