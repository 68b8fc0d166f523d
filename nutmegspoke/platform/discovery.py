"""Decodes the rows in which targets register themselves."""

from __future__ import annotations

import logging
from types import MappingProxyType
from typing import Annotated, Literal

import msgspec

from nutmegspoke.entry_host import TargetEntry
from nutmegspoke.layers import LayerRange
from nutmegspoke.targets import TargetState

logger = logging.getLogger(__name__)

# Where targets register themselves.
TABLE = 'servers'


class HeldLayers(msgspec.Struct, rename={'start': 'from', 'stop': 'to'}):
    """Layers that an engine holds; ``stop`` is the one after the last."""

    start: int
    stop: int

    def to_range(self) -> LayerRange | None:
        """Return the range; ``None`` if it is empty."""
        if self.start >= self.stop:
            return None
        return LayerRange(self.start, self.stop)


class _Server(msgspec.Struct):
    # The pool; "service" is the platform's word for it.
    service: str
    address: Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:\d+$')]
    zone: str
    state: Literal['ready', 'draining']
    slots: int = 1
    # The kind of accelerator: the field serves routes elsewhere.
    route_kind: str = ''
    layers: HeldLayers | None = None
    born: int = 0


_decoder = msgspec.json.Decoder(_Server)
_STATES = MappingProxyType(
    {'ready': TargetState.LIVE, 'draining': TargetState.LEAVING},
)


def decode_target(name: str, body: bytes) -> TargetEntry | None:
    """Return the target of a row; ``None`` if the row names no target.

    :param name: key of the row, the target's id.
    :param body: content of the row.
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
