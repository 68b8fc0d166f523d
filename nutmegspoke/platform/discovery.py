"""Decodes the rows with which targets register for discovery."""

from __future__ import annotations

import ipaddress
import logging
from types import MappingProxyType
from typing import Annotated, Literal

import msgspec

from nutmegspoke.entry_host import TargetEntry
from nutmegspoke.layers import LayerRange
from nutmegspoke.targets import TargetState
from nutmegspoke.untrusted import UndecodableError, UntrustedDecoder

logger = logging.getLogger(__name__)

# Table that holds a row for each registered target.
TABLE = 'servers'


# Models have far fewer layers.
_MAX_LAYERS = 100_000
_MAX_PORT = 65_535
_LayerIndex = Annotated[int, msgspec.Meta(ge=0, le=_MAX_LAYERS)]


class HeldLayers(msgspec.Struct, rename={'start': 'from', 'stop': 'to'}):
    """Layers that an engine holds.

    :param start: first layer; ``from`` in JSON.
    :param stop: layer after the last one; ``to`` in JSON.
    """

    start: _LayerIndex
    stop: _LayerIndex

    def to_range(self) -> LayerRange | None:
        """Return the layer range; ``None`` if it is empty."""
        if self.start >= self.stop:
            return None
        return LayerRange(self.start, self.stop)


class _Server(msgspec.Struct):
    # Name of the pool; the platform calls pools services.
    service: str
    address: str
    zone: str
    state: Literal['ready', 'draining']
    slots: int = 1
    # Kind of accelerator; in the configuration row, this field name describes
    # routes.
    route_kind: str = ''
    layers: HeldLayers | None = None
    born: int = 0


_decoder = UntrustedDecoder.from_json(_Server)
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
    except UndecodableError as error:
        logger.warning('discovery: row %s skipped: %s', name, error)
        return None
    if not (_is_header_text(name) and _is_address(server.address)):
        logger.warning(
            'discovery: row %r skipped: address %r', name, server.address
        )
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


def _is_header_text(text: str) -> bool:
    """Return whether a text can be sent in a header."""
    return text.isascii() and text.isprintable()


def _is_address(address: str) -> bool:
    """Return whether a text is ``IP:PORT``, so that it can be connected to."""
    ip, _, port = address.partition(':')
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    return is_number and 0 < int(port) <= _MAX_PORT
