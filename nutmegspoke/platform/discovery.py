"""Decodes the rows with which targets register for discovery."""

from __future__ import annotations

import logging
from types import MappingProxyType
from typing import Annotated, Literal

import msgspec

from nutmegspoke.entry_host import TargetEntry
from nutmegspoke.layers import LayerRange
from nutmegspoke.targets import TargetState

logger = logging.getLogger(__name__)

# Table that holds a row for each registered target.
TABLE = 'servers'


class HeldLayers(msgspec.Struct, rename={'start': 'from', 'stop': 'to'}):
    """Layers that an engine holds.

    :param start: first layer; ``from`` in JSON.
    :param stop: layer after the last one; ``to`` in JSON.
    """

    start: int
    stop: int

    def to_range(self) -> LayerRange | None:
        """Return the layer range; ``None`` if it is empty."""
        if self.start >= self.stop:
            return None
        return LayerRange(self.start, self.stop)


class _Server(msgspec.Struct):
    # Name of the pool; the platform calls pools services.
    service: str
    address: Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:\d+$')]
    zone: str
    state: Literal['ready', 'draining']
    slots: int = 1
    # Kind of accelerator; in the configuration row, this field name describes
    # routes.
    route_kind: str = ''
    layers: HeldLayers | None = None
    born: int = 0


_decoder = msgspec.json.Decoder(_Server)
_STATES = MappingProxyType(
    {'ready': TargetState.LIVE, 'draining': TargetState.LEAVING},
)


def decode_target(name: str, body: bytes) -> TargetEntry | None:
    """Return the target described by a row; ``None`` if the row is invalid.

    :param name: key of the row, which is the id of the target.
    :param body: content of the row, as JSON.
    """
    try:
        server = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        logger.warning('discovery: row %s skipped: %s', name, error)
        return None
    return TargetEntry(
        name=name,
        address=server.address,
        pool=server.service,
        availability_zone=server.zone,
        state=_STATES[server.state],
        slots=max(1, server.slots),
        kind=server.route_kind,
        layers=server.layers.to_range() if server.layers else None,
        started_ms=server.born,
    )
