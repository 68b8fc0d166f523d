"""Turns rows of the store into beliefs."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.targets import TargetState

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.view import View
    from nutmegspoke.entry_host import EntryTables, TargetEntry
    from nutmegspoke.metadata_store import StoredRow, TableChanges
logger = logging.getLogger(__name__)


class TablesListener:
    """Takes new versions of the operator's tables.

    :param row_name: row that holds the tables.
    :param decode: reads its body.
    :param took: called with each version that is now in force.
    """

    def __init__(
        self,
        row_name: str,
        decode: Callable[[bytes], EntryTables],
        view: View,
        log: DecisionLog,
        took: Callable[[EntryTables], None],
    ) -> None:
        """Wait for the first version."""
        self._row_name = row_name
        self._decode = decode
        self._view = view
        self._log = log
        self._took = took

    def listed(self, table: TableChanges, now_s: float) -> None:
        """Take the whole table."""
        self.changed(table, now_s)

    def changed(self, changes: TableChanges, now_s: float) -> frozenset[str]:
        """Take the newest version, if there is one."""
        for row in changes.rows:
            if row.key.endswith(f'/{self._row_name}'):
                self._take(row)
        return frozenset()

    def heard_of_trouble(self, trouble_s: float) -> None:
        """Do nothing: every daemon reads this table itself."""

    def failed(self, reason: str, now_s: float) -> None:
        """Serve on by the tables known."""

    def answered(self, now_s: float) -> None:
        """Do nothing."""

    def _take(self, row: StoredRow) -> None:
        try:
            tables = self._decode(row.body)
        except ValueError as error:
            self._log.decided('tables_unreadable', reason=str(error))
            return
        if self._view.take_tables(tables):
            self._took(tables)
            self._log.decided(
                'tables_in_force',
                version=tables.version,
                routes=len(tables.routes),
                pools=len(tables.pools),
                row_version=row.version,
            )


class TargetsListener:
    """Takes changes of the targets that discovery lists.

    ``quiet_leaves_s`` tells by availability zone when a target last left that
    had worked until then, and so is not expected back.

    :param decode: reads the body of a row.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], TargetEntry | None],
        view: View,
        log: DecisionLog,
    ) -> None:
        """Wait for the list."""
        self._decode = decode
        self._view = view
        self._log = log
        self.changed_s = float('-inf')
        self.quiet_leaves_s: dict[str, float] = {}
        self.is_listed = False
        self._is_lost = False

    @property
    def is_current(self) -> bool:
        """Tell whether the list was read and the store still answers."""
        return self.is_listed and not self._is_lost

    def listed(self, table: TableChanges, now_s: float) -> None:
        """Take the whole list."""
        self.is_listed = True
        names = [row.key.partition('/')[2] for row in table.rows]
        self._view.targets.keep_only(names, now_s)
        self.changed(table, now_s)

    def changed(self, changes: TableChanges, now_s: float) -> frozenset[str]:
        """Take changed rows; heartbeats mean nothing."""
        self._view.targets_version = changes.version
        told = {
            row.key.partition('/')[2]
            for row in changes.rows
            if self._put(row, now_s)
        }
        for name in changes.removed:
            if self._remove(name, now_s):
                told.add(name)
        return frozenset(told)

    def heard_of_trouble(self, trouble_s: float) -> None:
        """Take that entries may have lapsed then."""
        self._view.targets.heard_of_trouble(trouble_s)

    def failed(self, reason: str, now_s: float) -> None:
        """Remember that entries may lapse now."""
        self._is_lost = True
        self._view.targets.store_failed(now_s)

    def answered(self, now_s: float) -> None:
        """Let entries that are still missing go after a while."""
        self._is_lost = False
        self._view.targets.store_answered(now_s)

    def _remove(self, name: str, now_s: float) -> bool:
        """Take that a row is gone; tell whether it was known."""
        if self._view.targets.find(name) is None:
            return False
        self._note_leave(name, now_s)
        is_dropped = self._view.targets.remove(name, now_s)
        self.changed_s = now_s
        self._log.decided(
            'target_gone',
            target=name,
            may_have_lapsed=not is_dropped,
            version=self._view.targets_version,
        )
        return True

    def _note_leave(self, name: str, now_s: float) -> None:
        """Note when a zone last lost a target that worked to the end."""
        entry = self._view.targets.find(name)
        if entry is None or self._view.faults.failed_recently(name, now_s):
            return
        self.quiet_leaves_s[entry.availability_zone] = now_s

    def _put(self, row: StoredRow, now_s: float) -> bool:
        """Take a row; tell whether it says anything new."""
        name = row.key.partition('/')[2]
        entry = self._decode(name, row.body)
        if entry is None:
            return self._remove(name, now_s)
        known = self._view.targets.find(name)
        if known is not None and entry.started_ms < known.started_ms:
            return False
        if not self._view.targets.put(entry, row.version):
            self._log.decided(
                'target_replaced',
                target=name,
                address=entry.address,
                row_version=row.version,
            )
            return known is not None
        if known == entry:
            return False
        if entry.state == TargetState.LEAVING:
            self._note_leave(name, now_s)
        self.changed_s = now_s if known is None else self.changed_s
        self._log.decided(
            'target_listed',
            target=name,
            address=entry.address,
            pool=entry.pool,
            zone=entry.availability_zone,
            state=entry.state.value,
            layers=str(entry.layers),
            kind=entry.kind,
            row_version=row.version,
        )
        return True


class DaemonRow(msgspec.Struct, frozen=True):
    """Where a daemon hears news.

    :param ip: address of its host.
    :param port: port for news.
    """

    ip: str
    port: int


class DaemonsListener:
    """Takes the addresses of the other daemons.

    :param own_host: name of this host.
    """

    def __init__(self, own_host: str) -> None:
        """Know no other daemon."""
        self._own_host = own_host
        self.addresses: dict[str, tuple[str, int]] = {}
        self.is_listed = False
        self.own_row = b''

    def count(self) -> int:
        """Return the number of other daemons that have written a row."""
        return len(self.addresses)

    def listed(self, table: TableChanges, now_s: float) -> None:
        """Take all rows."""
        self.is_listed = True
        self.own_row = b''
        self.addresses.clear()
        self.changed(table, now_s)

    def changed(self, changes: TableChanges, now_s: float) -> frozenset[str]:
        """Take changed rows."""
        for row in changes.rows:
            self._put(row.key.partition('/')[2], row.body)
        for name in changes.removed:
            self.addresses.pop(name, None)
        return frozenset()

    def heard_of_trouble(self, trouble_s: float) -> None:
        """Do nothing: every daemon reads this table itself."""

    def _put(self, name: str, body: bytes) -> None:
        if name == self._own_host:
            self.own_row = body
            return
        try:
            daemon = msgspec.json.decode(body, type=DaemonRow)
        except msgspec.MsgspecError as error:
            logger.info('daemons: row of %s not read: %s', name, error)
            self.addresses.pop(name, None)
            return
        self.addresses[name] = (daemon.ip, daemon.port)

    def failed(self, reason: str, now_s: float) -> None:
        """Keep the addresses known."""

    def answered(self, now_s: float) -> None:
        """Do nothing."""
