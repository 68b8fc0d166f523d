"""Sends layer orders to engines over HTTP."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from nutmegspoke.engine_protocol import ORDERS_PATH, LayerOrder
from nutmegspoke.placement.orders import SendResult

if TYPE_CHECKING:
    from nutmegspoke.placement.orders import SendOrder

logger = logging.getLogger(__name__)
_HTTP_ACCEPTED = frozenset((200, 202, 204))
_HTTP_CONFLICT = 409


class OrderClient:
    """Sends each order over a new connection.

    :param session: opens a new connection for each call.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Create a client that uses a session."""
        self._session = session

    async def send(self, step: SendOrder) -> SendResult:
        """Send an order and return its result."""
        row = step.row
        order = LayerOrder(
            order_id=row.order_id,
            pool=row.pool,
            fencing_number=row.fencing_number,
            model=row.model,
            version=row.version,
            first_layer=row.first_layer,
            stop_layer=row.stop_layer,
        )
        try:
            status = await self._post(row.address, order, step.timeout_s)
        except aiohttp.ClientConnectorError as error:
            logger.warning('placement: engine unreachable error=%s', error)
            return SendResult.UNREACHABLE
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            logger.warning('placement: order outcome unknown error=%r', error)
            return SendResult.IN_DOUBT
        if status in _HTTP_ACCEPTED:
            return SendResult.ACCEPTED
        if status == _HTTP_CONFLICT:
            return SendResult.REFUSED
        return SendResult.IN_DOUBT

    async def _post(
        self,
        address: str,
        order: LayerOrder,
        timeout_s: float,
    ) -> int:
        async with self._session.post(
            f'http://{address}{ORDERS_PATH}',
            data=msgspec.json.encode(order),
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            return response.status
