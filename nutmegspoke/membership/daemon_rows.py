"""Rows of the table service by which daemons discover each other."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.membership.gossip_types import PeerAddress
from nutmegspoke.metadata_store import Condition, Transaction, Write
from nutmegspoke.untrusted import UndecodableError, UntrustedDecoder

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from nutmegspoke.metadata_store import StoredRow

ROW_PREFIX = 'daemon/'
RENEW_AFTER_S = 600.0
READ_AFTER_S = 60.0
READ_AFTER_CUT_OFF_S = 5.0
_MISSED_RENEWALS = 3.0
_MAX_DELETIONS = 8


class DaemonRow(msgspec.Struct, frozen=True):
    """Body of a daemon's row.

    :param name: name of the daemon.
    :param start: random number that identifies this start of the daemon.
    :param address: ``IP:PORT`` of its peer port.
    :param availability_zone: availability zone of its host.
    """

    name: str
    start: int
    address: str
    availability_zone: str


_decoder = UntrustedDecoder.from_msgpack(DaemonRow)


@dataclasses.dataclass(slots=True)
class DaemonRows:
    """Decides when to write the own row, and which rows of others are stale.

    It does no I/O: the caller reads and commits.

    :param own: row of this daemon.
    """

    own: DaemonRow
    _written_s: float = -math.inf
    _read_s: float = -math.inf
    _row_versions: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict,
    )

    def due_write(self, now_s: float) -> Transaction | None:
        """Return the write of the own row; ``None`` if it is not due."""
        if now_s - self._written_s < RENEW_AFTER_S:
            return None
        body = msgspec.msgpack.encode(self.own)
        return Transaction((), (Write(self._key(), body),))

    def record_write(self, now_s: float) -> None:
        """Record that the own row was written, which delays the next write."""
        self._written_s = now_s

    def own_row_deletion(self) -> Transaction:
        """Return the write that deletes the own row when the daemon stops."""
        return Transaction((), (Write(self._key(), None),))

    def is_read_due(self, now_s: float, *, is_cut_off: bool) -> bool:
        """Return whether the rows should be read now.

        They are read more often while the daemon is cut off from its peers.
        """
        wait_s = READ_AFTER_CUT_OFF_S if is_cut_off else READ_AFTER_S
        return now_s - self._read_s >= wait_s

    def handle_rows(
        self,
        rows: Sequence[StoredRow],
        now_s: float,
    ) -> tuple[PeerAddress, ...]:
        """Update the state from all rows that were read.

        :returns: addresses of the other daemons. Unreadable rows are ignored.
        """
        self._read_s = now_s
        row_versions: dict[str, tuple[int, float]] = {}
        for row in rows:
            version, since_s = self._row_versions.get(row.key, (0, now_s))
            is_same = version == row.version
            row_versions[row.key] = (row.version, since_s if is_same else now_s)
        self._row_versions = row_versions
        decoded = [
            decode_daemon_row(row) for row in rows if row.key != self._key()
        ]
        return tuple(
            PeerAddress(row.address, row.name, row.start)
            for row in decoded
            if row is not None
        )

    def stale_row_deletions(
        self,
        live: Collection[str],
        now_s: float,
    ) -> tuple[Transaction, ...]:
        """Return the deletions of rows whose daemons no longer renew them.

        Each deletes the row only if its version is unchanged.

        :param live: names of live daemons, whose rows are kept.
        """
        limit_s = now_s - _MISSED_RENEWALS * RENEW_AFTER_S
        deletions = [
            Transaction((Condition(key, version),), (Write(key, None),))
            for key, (version, since_s) in self._row_versions.items()
            if since_s < limit_s and key.removeprefix(ROW_PREFIX) not in live
        ]
        return tuple(deletions[:_MAX_DELETIONS])

    def _key(self) -> str:
        return f'{ROW_PREFIX}{self.own.name}'


def decode_daemon_row(row: StoredRow) -> DaemonRow | None:
    """Return the content of a daemon's row; ``None`` if it can't be read."""
    try:
        return _decoder.decode(row.body)
    except UndecodableError:
        return None
