"""Listeners that apply changes of the store's tables to the view."""

from __future__ import annotations

import ipaddress
import logging
from typing import TYPE_CHECKING, Annotated

import msgspec

from nutmegspoke.targets import TargetState
from nutmegspoke.untrusted import UntrustedDecoder

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.view import View
    from nutmegspoke.entry_host import EntryTables, TargetEntry
    from nutmegspoke.metadata_store import StoredRow, TableChanges

logger = logging.getLogger(__name__)

_MAX_PORT = 65_535


class TablesListener:
    """Listener for new versions of the operator's tables.

    :param row_name: name of the row that holds the tables.
    :param decode: decodes the body of that row; raises :exc:`ValueError`.
    :param view: view to which the tables are applied.
    :param log: log of decisions.
    :param on_change: called with each version that is applied.
    """

    def __init__(
        self,
        row_name: str,
        decode: Callable[[bytes], EntryTables],
        view: View,
        log: DecisionLog,
        on_change: Callable[[EntryTables], None],
    ) -> None:
        """Create a listener for a row."""
        self._row_name = row_name
        self._decode = decode
        self._view = view
        self._log = log
        self._on_change = on_change

    def listed(self, table: TableChanges, now_s: float) -> None:
        """Apply the tables if the row is present."""
        self.changed(table, now_s)

    def changed(self, changes: TableChanges, now_s: float) -> frozenset[str]:
        """Apply the changed row of tables, if there is one.

        :returns: no names, as daemons don't forward these rows.
        """
        for row in changes.rows:
            if row.key.partition('/')[2] == self._row_name:
                self._apply_row(row, changes.era, now_s)
        return frozenset()

    def failed_elsewhere(self, failed_s: float) -> None:
        """Ignore this: the known rows stay in use."""

    def failed(self, reason: str, now_s: float) -> None:
        """Ignore this: the known tables stay in force."""

    def answered(self, answered_s: float, now_s: float) -> None:
        """Ignore this: there is no failure state to reset."""

    def confirmed(self, confirmed_s: float) -> None:
        """Ignore this: tables stay in force until there are others."""

    def _apply_row(self, row: StoredRow, era: int, now_s: float) -> None:
        try:
            tables = self._decode(row.body)
        except ValueError as error:
            self._log.decided('tables_unreadable', reason=str(error))
            return
        if self._view.apply_tables(tables, now_s):
            self._on_change(tables)
            self._log.decided(
                'tables_in_force',
                version=tables.version,
                routes=len(tables.routes),
                pools=len(tables.pools),
                row_version=row.version,
                era=era,
            )


class TargetsListener:
    """Listener for the targets that discovery lists.

    :param decode: decodes the body of a row; ``None`` if it lists no target.
    :ivar planned_departures_s: times, by availability zone, at which a target
        last left that had not failed before and so is not expected back.
    :ivar changed_s: time at which a target was last added or removed.
    :ivar is_listed: whether the whole table has been read.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], TargetEntry | None],
        view: View,
        log: DecisionLog,
    ) -> None:
        """Start without targets."""
        self._decode = decode
        self._view = view
        self._log = log
        self.changed_s = float('-inf')
        self.planned_departures_s: dict[str, float] = {}
        self.is_listed = False
        self._is_lost = False

    @property
    def is_current(self) -> bool:
        """Return whether the list was read and the store still answers."""
        return self.is_listed and not self._is_lost

    def listed(self, table: TableChanges, now_s: float) -> None:
        """Replace all targets by those of the table."""
        self.is_listed = True
        names = [row.key.partition('/')[2] for row in table.rows]
        self._view.targets.keep_only(names, now_s)
        self.changed(table, now_s)

    def changed(self, changes: TableChanges, now_s: float) -> frozenset[str]:
        """Apply changed rows.

        :returns: names of the targets that changed; a heartbeat alone is not
            a change.
        """
        self._view.targets_version = changes.version
        changed_names = {
            row.key.partition('/')[2]
            for row in changes.rows
            if self._update_row(row, now_s)
        }
        for name in changes.removed:
            if self._remove_target(name, now_s):
                changed_names.add(name)
        return frozenset(changed_names)

    def failed_elsewhere(self, failed_s: float) -> None:
        """Record that entries may have expired during that failure."""
        self._view.targets.record_failure_elsewhere(failed_s)

    def failed(self, reason: str, now_s: float) -> None:
        """Record that entries may expire while the store fails."""
        self._is_lost = True
        self._view.targets.store_failed(now_s)

    def answered(self, answered_s: float, now_s: float) -> None:
        """Record the recovery; entries still missing expire later."""
        self._is_lost = False
        self._view.targets.store_answered(answered_s, now_s)

    def confirmed(self, confirmed_s: float) -> None:
        """Record that the targets are those of the store."""
        self._view.targets.confirmed(confirmed_s)

    def _remove_target(self, name: str, now_s: float) -> bool:
        """Remove a target; ``False`` if it was not known."""
        if self._view.targets.find(name) is None:
            return False
        self._record_departure(name, now_s)
        is_dropped = self._view.targets.remove(name, now_s)
        self.changed_s = now_s
        self._log.decided(
            'target_gone',
            target=name,
            may_have_lapsed=not is_dropped,
            version=self._view.targets_version,
        )
        return True

    def _record_departure(self, name: str, now_s: float) -> None:
        """Record the departure of a target unless it failed recently."""
        entry = self._view.targets.find(name)
        if entry is None or self._view.faults.failed_recently(name, now_s):
            return
        self.planned_departures_s[entry.availability_zone] = now_s

    def _update_row(self, row: StoredRow, now_s: float) -> bool:
        """Apply a row; ``False`` if it changes nothing."""
        name = row.key.partition('/')[2]
        entry = self._decode(name, row.body)
        if entry is None:
            return self._remove_target(name, now_s)
        known = self._view.targets.find(name)
        if known is not None and _is_outdated(entry, known):
            return False
        # Others may have dropped an entry that is kept here.
        has_returned = self._view.targets.has_lapsed(name)
        if not self._view.targets.put(entry, row.version):
            self._log.decided(
                'target_replaced',
                target=name,
                address=entry.address,
                row_version=row.version,
            )
            return known is not None
        if known == entry:
            return has_returned
        if entry.state == TargetState.LEAVING:
            self._record_departure(name, now_s)
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


def _is_outdated(entry: TargetEntry, known: TargetEntry) -> bool:
    """Return whether an entry was written before the known one.

    A target that is leaving does not return before its next start; only a
    store that came back from an older copy lists it as live again.
    """
    if entry.started_ms != known.started_ms:
        return entry.started_ms < known.started_ms
    return (
        known.state == TargetState.LEAVING and entry.state == TargetState.LIVE
    )


class DaemonRow(msgspec.Struct, frozen=True):
    """Address at which a daemon receives updates.

    :param ip: IP address of its host.
    :param port: UDP port for updates.
    :param zone: availability zone; empty if the row names none.
    """

    ip: str
    port: Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]
    zone: str = ''


_daemon_decoder = UntrustedDecoder.from_json(DaemonRow)


def _decode_daemon(body: bytes) -> DaemonRow:
    """Return a daemon to whose address updates can be sent.

    :raises ValueError: if the row names none.
    """
    daemon = _daemon_decoder.decode(body)
    ipaddress.IPv4Address(daemon.ip)
    return daemon


class DaemonsListener:
    """Listener for the addresses of the other daemons.

    :param own_host: name of this host.
    :ivar addresses: IP address and port by the name of the host.
    :ivar zones: availability zone by the name of the host.
    :ivar is_listed: whether the whole table has been read.
    :ivar own_row: body of this daemon's row; empty without one.
    """

    def __init__(self, own_host: str) -> None:
        """Start without addresses."""
        self._own_host = own_host
        self.addresses: dict[str, tuple[str, int]] = {}
        self.zones: dict[str, str] = {}
        self.is_listed = False
        self.own_row = b''

    def count(self) -> int:
        """Return the number of other daemons that have written a row."""
        return len(self.addresses)

    def listed(self, table: TableChanges, now_s: float) -> None:
        """Replace all addresses by those of the table."""
        self.is_listed = True
        self.own_row = b''
        self.addresses.clear()
        self.zones.clear()
        self.changed(table, now_s)

    def changed(self, changes: TableChanges, now_s: float) -> frozenset[str]:
        """Apply changed rows.

        :returns: names of the daemons whose rows changed.
        """
        for row in changes.rows:
            self._update_row(row.key.partition('/')[2], row.body)
        for name in changes.removed:
            self._remove(name)
        names = (row.key.partition('/')[2] for row in changes.rows)
        return frozenset((*names, *changes.removed))

    def failed_elsewhere(self, failed_s: float) -> None:
        """Ignore this: the known rows stay in use."""

    def _update_row(self, name: str, body: bytes) -> None:
        if name == self._own_host:
            self.own_row = body
            return
        try:
            daemon = _decode_daemon(body)
        except ValueError as error:
            logger.info('daemons: row of %s not decoded: %s', name, error)
            self._remove(name)
            return
        self.addresses[name] = (daemon.ip, daemon.port)
        self.zones[name] = daemon.zone

    def _remove(self, name: str) -> None:
        self.addresses.pop(name, None)
        self.zones.pop(name, None)

    def failed(self, reason: str, now_s: float) -> None:
        """Ignore this: the known addresses stay in use."""

    def answered(self, answered_s: float, now_s: float) -> None:
        """Ignore this: there is no failure state to reset."""

    def confirmed(self, confirmed_s: float) -> None:
        """Ignore this: the known addresses stay in use."""
