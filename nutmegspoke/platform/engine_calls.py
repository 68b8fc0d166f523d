"""Control calls to engines: reading reports and sending layer orders."""

from __future__ import annotations

import asyncio
import logging
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import msgspec

from nutmegspoke.engine_orders import EngineReport, OrderAnswer
from nutmegspoke.http_calls import NotSentError
from nutmegspoke.platform.discovery import HeldLayers
from nutmegspoke.platform.headers import SERVER_LEAVING
from nutmegspoke.untrusted import UndecodableError, UntrustedDecoder

if TYPE_CHECKING:
    from nutmegspoke.http_calls import HttpCalls
    from nutmegspoke.layers import LayerRange

logger = logging.getLogger(__name__)

# Engines answer from memory, so a few round trips are enough.
_REPORT_TIMEOUT_S = 0.5
_ORDER_TIMEOUT_S = 1.0
# A report names each request that waits for a lost engine.
MAX_ENGINE_ANSWER_BYTES = 262_144
_LEAVING_HEADER = SERVER_LEAVING.decode()
_ERRORS = (TimeoutError, OSError)
_REPORT_ERRORS = (*_ERRORS, UndecodableError)


_ANSWER_BY_STATUS = MappingProxyType(
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
    # In tokens times layers, like kv_total.
    kv_used: float = 0
    kv_total: float = 0
    pace: float = 1
    stalled: list[_Stalled] = msgspec.field(default_factory=list)


_decoder = UntrustedDecoder.from_json(_Report)


class EngineClient:
    """Client that reads reports of engines and sends them layer orders.

    :param http: HTTP client used for all calls.
    """

    def __init__(self, http: HttpCalls) -> None:
        """Store the HTTP client, which the caller must close."""
        self._http = http

    async def report(self, address: str) -> EngineReport | None:
        """Return an engine's report; ``None`` if it can't be fetched."""
        try:
            async with asyncio.timeout(_REPORT_TIMEOUT_S):
                answer = await self._http.call('GET', address, '/v1/report')
            wire_report = _decoder.decode(answer.body)
        except _REPORT_ERRORS as error:
            logger.info(
                'engines: report from %s not received: %r', address, error
            )
            return None
        return EngineReport(
            layers=wire_report.layers.to_range()
            if wire_report.layers
            else None,
            is_busy=wire_report.busy,
            order_number=wire_report.seq_no,
            used_token_layers=wire_report.kv_used,
            total_token_layers=wire_report.kv_total,
            slowness=wire_report.pace,
            stalled=tuple((row.id, row.address) for row in wire_report.stalled),
            is_leaving=answer.headers.get(_LEAVING_HEADER, '').strip() == '1',
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

        :param address: ``IP:PORT`` of the engine.
        :param target: name of the engine; it must refuse the order if it has
            another name, for example after a restart.
        :param layers: layers to hold.
        :param fencing_number: fencing number of the sender's lease.
        :param order_number: number of orders that the engine is known to have
            accepted, sent as the precondition of this one.
        :returns: the engine's answer, or how the call failed.
        """
        order = {
            'op': 'place',
            'from': layers.start,
            'to': layers.stop,
            'drain_mode': 'wait',
            'fence': fencing_number,
            'precondition': order_number,
        }
        return await self._send_order(address, target, order)

    async def _send_order(
        self,
        address: str,
        target: str,
        order: dict[str, Any],
    ) -> OrderAnswer:
        try:
            async with asyncio.timeout(_ORDER_TIMEOUT_S):
                answer = await self._http.call(
                    'POST',
                    address,
                    '/v1/order',
                    msgspec.json.encode(order),
                    {
                        'Content-Type': 'application/json',
                        'Expect-Instance': target,
                    },
                )
        except NotSentError as error:
            logger.info('engines: connection to %s failed: %r', address, error)
            return OrderAnswer.UNREACHABLE
        except _ERRORS as error:
            logger.info(
                'engines: no answer from %s to an order: %r', address, error
            )
            return OrderAnswer.IN_DOUBT
        return _ANSWER_BY_STATUS.get(answer.status, OrderAnswer.UNFIT)
