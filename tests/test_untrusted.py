"""Property-based tests of all that is decoded from what others have written."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from nutmegspoke.edge.listeners import DaemonsListener
from nutmegspoke.edge.quarantine_rows import QuarantineRow
from nutmegspoke.membership import daemon_rows
from nutmegspoke.membership.load_news import EventUpdate, LoadUpdate
from nutmegspoke.membership.table_news import TableUpdate
from nutmegspoke.metadata_store import StoredRow, TableChanges
from nutmegspoke.placement import lease, orders
from nutmegspoke.platform import configuration, discovery, engine_calls
from nutmegspoke.platform import store_client
from nutmegspoke.untrusted import UndecodableError, UntrustedDecoder
from tests import builders_edge as build
from tests.builders_odd_rows import odd_daemon_rows, odd_target_rows

if TYPE_CHECKING:
    from collections.abc import Callable

_VALID = (
    build.wire_configuration(),
    build.wire_server(),
    msgspec.json.encode({'ip': '127.0.0.1', 'port': 1, 'zone': 'a'}),
    msgspec.json.encode({'rows': [{'table': 't', 'key': 'k', 'ver': 1}]}),
    msgspec.json.encode({'layers': {'from': 0, 'to': 4}, 'stalled': []}),
    msgspec.msgpack.encode(LoadUpdate('host-2', 1, 1, {}, era=2)),
)
# Nested beyond the limits of both formats.
_DEEP = (b'[' * 100_000, b'\x91' * 100_000, b'\x81\xa1a' * 100_000)


def _decode_daemon(raw: bytes) -> None:
    listener = DaemonsListener('host-1')
    rows = (
        StoredRow('daemons/odd', 1, raw),
        StoredRow('daemons/b', 1, _VALID[2]),
    )
    listener.changed(TableChanges(1, rows), 0.0)
    if 'b' not in listener.addresses:
        raise AssertionError('an odd row costs a sound one')


def _decode_target(raw: bytes) -> None:
    discovery.decode_target('t', raw)


def _row_decoder(
    decode: Callable[[StoredRow], object],
) -> Callable[[bytes], None]:
    def decode_row(raw: bytes) -> None:
        decode(StoredRow('t/k', 1, raw))

    return decode_row


def _refusing(decode: Callable[[bytes], object]) -> Callable[[bytes], None]:
    """Return a decoder whose documented error is no failure."""

    def decode_or_refuse(raw: bytes) -> None:
        try:
            decode(raw)
        except (UndecodableError, configuration.ConfigurationError):
            return

    return decode_or_refuse


_UPDATES = UntrustedDecoder.from_msgpack(LoadUpdate | EventUpdate | TableUpdate)
_DECODERS = (
    _decode_daemon,
    _decode_target,
    _refusing(configuration.decode_configuration),
    _refusing(UntrustedDecoder.from_json(QuarantineRow).decode),
    _refusing(engine_calls._decoder.decode),  # noqa: SLF001 -- not exported
    _refusing(store_client._rows_decoder.decode),  # noqa: SLF001
    _refusing(_UPDATES.decode),
    _row_decoder(lease._decode_lease),  # noqa: SLF001 -- not exported
    _row_decoder(orders.decode_order),
    _row_decoder(daemon_rows.decode_daemon_row),
)


@st.composite
def _changed_bytes(draw: st.DrawFn) -> bytes:
    """Draw valid bytes with a part replaced."""
    valid = draw(st.sampled_from(_VALID))
    start = draw(st.integers(0, len(valid)))
    stop = draw(st.integers(start, len(valid)))
    return valid[:start] + draw(st.binary(max_size=12)) + valid[stop:]


class UntrustedTest(unittest.TestCase):
    """No bytes raise an error that a decoder does not document."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.one_of(st.binary(max_size=80), _changed_bytes()))
    def test_drawn_bytes(self, raw: bytes) -> None:
        """Guards against bytes that end what reads a table or datagrams."""
        for decode in _DECODERS:
            decode(raw)

    def test_odd_rows_name_no_address(self) -> None:
        """Guards against updates to addresses that can't be sent to.

        An event loop may raise an error for them, and the daemons behind would
        get no update.
        """
        listener = DaemonsListener('host-1')
        for name, raw in odd_daemon_rows().items():
            rows = (StoredRow(f'daemons/{name}', 1, raw),)
            listener.changed(TableChanges(1, rows), 0.0)
            self.assertEqual(listener.addresses, {}, name)

    def test_odd_rows_and_deep_nesting(self) -> None:
        """Guards against RecursionError, in each decoder."""
        rows = (odd_daemon_rows() | odd_target_rows()).values()
        for raw in (*_DEEP, *rows):
            for decode in _DECODERS:
                decode(raw)
