"""Turns rows of the store into beliefs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.view import View
    from nutmegspoke.entry_host import EntryTables, TargetEntry
    from nutmegspoke.metadata_store import StoredRow, TableChanges


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

    def changed(self, changes: TableChanges, now_s: float) -> None:
        """Take the newest version, if there is one."""
        for row in changes.rows:
            if row.key.endswith(f'/{self._row_name}'):
                self._take(row)

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

    def changed(self, changes: TableChanges, now_s: float) -> None:
        """Take changed rows."""
        for row in changes.rows:
            self._put(row, now_s)
        for name in changes.removed:
            is_dropped = self._view.targets.remove(name, now_s)
            self.changed_s = now_s
            self._log.decided(
                'target_gone',
                target=name,
                may_have_lapsed=not is_dropped,
                version=changes.version,
            )

    def failed(self, reason: str, now_s: float) -> None:
        """Remember that entries may lapse now."""
        self._is_lost = True
        self._view.targets.store_failed(now_s)

    def answered(self, now_s: float) -> None:
        """Let entries that are still missing go after a while."""
        self._is_lost = False
        self._view.targets.store_answered(now_s)

    def _put(self, row: StoredRow, now_s: float) -> None:
        name = row.key.partition('/')[2]
        entry = self._decode(name, row.body)
        if entry is None:
            self._view.targets.remove(name, now_s)
            return
        known = self._view.targets.find(name)
        if known is not None and entry.started_ms < known.started_ms:
            return
        self._view.targets.put(entry)
        if known is None or known != entry:
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

    def count(self) -> int:
        """Return the number of other daemons that have written a row."""
        return len(self.addresses)

    def listed(self, table: TableChanges, now_s: float) -> None:
        """Take all rows."""
        self.addresses.clear()
        self.changed(table, now_s)

    def changed(self, changes: TableChanges, now_s: float) -> None:
        """Take changed rows."""
        for row in changes.rows:
            name = row.key.partition('/')[2]
            if name == self._own_host:
                continue
            try:
                daemon = msgspec.json.decode(row.body, type=DaemonRow)
            except msgspec.MsgspecError:
                self.addresses.pop(name, None)
                continue
            self.addresses[name] = (daemon.ip, daemon.port)
        for name in changes.removed:
            self.addresses.pop(name, None)

    def failed(self, reason: str, now_s: float) -> None:
        """Keep the addresses known."""

    def answered(self, now_s: float) -> None:
        """Do nothing."""
