"""Directory of the targets of each pool, and which may be sent new work."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.membership.records import TargetRecord
from nutmegspoke.membership.selection import PoolSelection
from nutmegspoke.membership.states import LeavingNote, Source, StateChange
from nutmegspoke.metadata_store import HostState
from nutmegspoke.tables.rows import PoolKind
from nutmegspoke.targets import Target, TargetState

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from nutmegspoke.engine_protocol import LoadReport
    from nutmegspoke.metadata_store import HostEntry
    from nutmegspoke.tables.rows import PoolRow, Tables

MAX_REPORT_AGE_S = 2.5
NOTE_LIFETIME_S = 10.0
_FORGET_AFTER_S = 60.0


@dataclasses.dataclass(slots=True)
class Directory:
    """Combines the host list, pool rows, load reports and results of calls.

    A target that any source reported as leaving stays in that state until it
    has evidently restarted: it was missing from the host list afterwards and
    is listed as live again, its load report has a different start id, or its
    address refused a connection and then answered.

    A target is sent new work only if its last load report was requested within
    ``max_report_age_s``. A daemon that was frozen or cut off thus sends no
    work based on outdated reports.

    :param max_report_age_s: age from which a load report is ignored.
    :param hosts_read_s: when the last reading of the host list was requested.
    """

    max_report_age_s: float = MAX_REPORT_AGE_S
    hosts_read_s: float | None = None
    _pools: PoolSelection = dataclasses.field(default_factory=PoolSelection)
    _records: dict[str, TargetRecord] = dataclasses.field(default_factory=dict)

    def apply_tables(self, tables: Tables) -> None:
        """Replace the pool rows by those of another revision."""
        self._pools.apply_tables(tables)

    def apply_hosts(
        self,
        entries: Sequence[HostEntry],
        read_s: float,
    ) -> tuple[StateChange, ...]:
        """Replace the host list.

        :param entries: all entries.
        :param read_s: when the reading was requested. A reading older than
            the last one is ignored.
        :returns: the targets that changed their states.
        """
        if self.hosts_read_s is not None and read_s < self.hosts_read_s:
            return ()
        self.hosts_read_s = read_s
        self._pools.apply_hosts(entries)
        changes = tuple(self._compare_with_hosts(read_s))
        self._forget_absent(read_s)
        return changes

    def load_reported(
        self,
        address: str,
        report: LoadReport,
        asked_s: float,
        now_s: float,
    ) -> StateChange | None:
        """Record a load report.

        :param address: ``IP:PORT`` of the target.
        :param asked_s: when it was requested. A report requested before the
            last one is ignored.
        :param now_s: when it was received.
        :returns: the change of the target's state, if any.
        """
        record = self._record(address)
        if record.report is not None and asked_s < record.asked_s:
            return None
        before = record.state(now_s, self.max_report_age_s)
        if _has_restarted(record, report, asked_s):
            record.reset_after_restart(asked_s)
        record.store_report(report, asked_s, now_s)
        if _has_answered_since(record.gone_since_s, asked_s):
            record.gone_since_s = None
        if _has_answered_since(record.silent_since_s, asked_s):
            record.silent_since_s = None
        if report.leaving:
            record.mark_leaving(Source.LOAD_REPORT, now_s)
        after = record.state(now_s, self.max_report_age_s)
        if after == before:
            return None
        return _state_change(record, after, Source.LOAD_REPORT)

    def work_started(self, address: str, now_s: float) -> None:
        """Count a request that is sent to a target."""
        record = self._record(address)
        record.own_in_flight += 1
        record.sent_s.append(now_s)

    def work_finished(self, address: str) -> None:
        """Count a request that ended, whether it succeeded or failed."""
        record = self._record(address)
        record.own_in_flight = max(0, record.own_in_flight - 1)

    def refused_as_leaving(
        self,
        address: str,
        now_s: float,
    ) -> StateChange | None:
        """Record that a target refused work because it is leaving."""
        return _mark_leaving(self._record(address), Source.REFUSAL, now_s)

    def connection_failed(
        self,
        address: str,
        now_s: float,
        *,
        refused: bool,
    ) -> StateChange | None:
        """Record a connection that was refused or reset.

        :param refused: whether it was refused: nothing listens at the address,
            so that the process has ended.
        """
        record = self._record(address)
        is_first = record.gone_since_s is None
        record.gone_since_s = now_s
        if refused:
            record.refused_s = now_s
        if is_first and record.leaving is None:
            return StateChange(address, TargetState.GONE, Source.CONNECTION)
        return None

    def connection_silent(
        self,
        address: str,
        now_s: float,
        *,
        is_new: bool,
    ) -> StateChange | None:
        """Record a connection on which no answer arrived before the timeout.

        :param is_new: whether it was opened for this call. A reused connection
            may have been dropped on the path, so that its silence does not
            make the target suspect.
        """
        record = self._record(address)
        if not is_new or record.silent_since_s is not None:
            return None
        record.silent_since_s = now_s
        return StateChange(address, TargetState.SUSPECT, Source.CONNECTION)

    def peer_reported_leaving(
        self,
        note: LeavingNote,
        now_s: float,
    ) -> StateChange | None:
        """Mark a target as leaving because another daemon reported it.

        A note about an earlier start of the target is ignored.
        """
        record = self._record(note.address)
        noted_s = now_s - note.age_s
        if _is_from_earlier_start(record, note, noted_s):
            return None
        if not record.mark_leaving(Source.PEER, noted_s, note.start_id):
            return None
        return _state_change(record, TargetState.LEAVING, Source.PEER)

    def leaving_notes(self, now_s: float) -> tuple[LeavingNote, ...]:
        """Return the leaving targets to report to peers, newest first."""
        notes = [
            LeavingNote(
                record.address,
                record.leaving.start_id,
                now_s - record.leaving.since_s,
            )
            for record in self._records.values()
            if record.leaving is not None
        ]
        notes.sort(key=_note_age_s)
        return tuple(note for note in notes if note.age_s <= NOTE_LIFETIME_S)

    def usable(self, pool: str, now_s: float) -> tuple[Target, ...]:
        """Return the targets of a pool that may be sent new work.

        Engines must hold the pool's model and version.
        """
        row = self._pools.row(pool)
        if row is None:
            return ()
        found: list[Target] = []
        for address in self._pools.addresses(pool):
            record = self._record(address)
            state = self._state(row, record, now_s)
            if state == TargetState.LIVE:
                found.append(record.target(pool, state))
        return tuple(target for target in found if _serves(row, target))

    def members(self, pool: str, now_s: float) -> tuple[Target, ...]:
        """Return all targets of a pool, in any state."""
        row = self._pools.row(pool)
        if row is None:
            return ()
        records = map(self._record, self._pools.addresses(pool))
        return tuple(
            record.target(pool, self._state(row, record, now_s))
            for record in records
        )

    def polled_addresses(self, now_s: float) -> tuple[str, ...]:
        """Return the addresses to poll for load reports, sorted."""
        return self._pools.all_addresses()

    def _record(self, address: str) -> TargetRecord:
        record = self._records.get(address)
        if record is None:
            record = TargetRecord(address)
            self._records[address] = record
        return record

    def _state(
        self,
        row: PoolRow,
        record: TargetRecord,
        now_s: float,
    ) -> TargetState:
        name = record.entry.name if record.entry else record.address
        if name in row.leaving or record.address in row.leaving:
            return TargetState.LEAVING
        return record.state(now_s, self.max_report_age_s)

    def _compare_with_hosts(self, read_s: float) -> Iterator[StateChange]:
        for address, entry in self._pools.hosts.items():
            change = self._apply_entry(self._record(address), entry, read_s)
            if change is not None:
                yield change
        for record in self._records.values():
            if record.address not in self._pools.hosts and record.entry:
                record.entry = None
                record.absent_since_s = read_s

    def _apply_entry(
        self,
        record: TargetRecord,
        entry: HostEntry,
        read_s: float,
    ) -> StateChange | None:
        record.entry = entry
        absent_since_s = record.absent_since_s
        record.absent_since_s = None
        if entry.state == HostState.LEAVING:
            return _mark_leaving(record, Source.HOST_LIST, read_s)
        if not record.has_restarted(absent_since_s):
            return None
        record.reset_after_restart(read_s)
        return StateChange(
            record.address,
            TargetState.SUSPECT,
            Source.HOST_LIST,
        )

    def _forget_absent(self, now_s: float) -> None:
        forgotten = [
            record.address
            for record in self._records.values()
            if record.is_idle_since(now_s - _FORGET_AFTER_S)
            and not self._pools.is_listed_in_pool(record.address)
        ]
        for address in forgotten:
            self._records.pop(address)


def _mark_leaving(
    record: TargetRecord,
    source: Source,
    now_s: float,
) -> StateChange | None:
    if not record.mark_leaving(source, now_s):
        return None
    return _state_change(record, TargetState.LEAVING, source)


def _state_change(
    record: TargetRecord,
    state: TargetState,
    source: Source,
) -> StateChange:
    start_id = record.leaving.start_id if record.leaving else ''
    return StateChange(record.address, state, source, start_id)


def _has_restarted(
    record: TargetRecord,
    report: LoadReport,
    asked_s: float,
) -> bool:
    if record.leaving is None:
        return False
    leaving_start_id = record.leaving.start_id or record.start_id
    if leaving_start_id and report.start_id:
        return report.start_id != leaving_start_id
    if record.refused_s is None:
        return False
    return record.leaving.since_s <= record.refused_s <= asked_s


def _is_from_earlier_start(
    record: TargetRecord,
    note: LeavingNote,
    noted_s: float,
) -> bool:
    if record.start_id and note.start_id:
        return note.start_id != record.start_id
    return (
        record.restart_noticed_s is not None
        and noted_s <= record.restart_noticed_s
    )


def _has_answered_since(since_s: float | None, asked_s: float) -> bool:
    return since_s is not None and since_s <= asked_s


def _serves(row: PoolRow, target: Target) -> bool:
    if row.kind == PoolKind.SERVICE:
        return True
    has_pool_version = row.version in {'', target.version}
    return (
        target.layers is not None
        and target.model == row.model
        and has_pool_version
    )


def _note_age_s(note: LeavingNote) -> float:
    return note.age_s
