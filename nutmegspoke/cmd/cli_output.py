"""What the command-line tool prints, and its exit codes."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Any, NoReturn

import msgspec
import typer

from nutmegspoke.border import apply as border_apply
from nutmegspoke.border import table_reads
from nutmegspoke.tables import apply, text
from nutmegspoke.tables.diff import section_changes
from nutmegspoke.tables.snapshot import UnreadableRow

if TYPE_CHECKING:
    from nutmegspoke.metadata_store import Unavailable
    from nutmegspoke.tables.faults import TableFaults
    from nutmegspoke.tables.changes import ChangeRecord
    from nutmegspoke.tables.rows import Tables


class ExitCode(enum.IntEnum):
    """Exit codes of the tool."""

    OK = 0
    FAILED = 1
    FAULTS = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6


class Printer:
    """Prints results as text or as one JSON document."""

    def __init__(self, as_json: bool) -> None:
        """Choose the form.

        :param as_json: print JSON instead of text.
        """
        self._as_json = as_json
        self._kept: dict[str, Any] = {}

    def keep(self, **fields: Any) -> None:
        """Add fields to the JSON document that is still to come."""
        self._kept.update(fields)

    def fail(self, code: ExitCode, detail: str, **fields: Any) -> NoReturn:
        """Print an error and end the program."""
        if self._as_json:
            self._json(result=code.name.lower(), detail=detail, **fields)
        else:
            typer.echo(detail, err=True)
        raise typer.Exit(code)

    def faults(self, source: str, found: TableFaults) -> NoReturn:
        """Print the faults of a file and end the program."""
        count = len(found.faults)
        total = '1 fault' if count == 1 else f'{count} faults'
        lines = [*map(str, found.faults), f'{source}: {total}']
        faults = [dataclasses.asdict(fault) for fault in found.faults]
        self.fail(ExitCode.FAULTS, '\n'.join(lines), faults=faults)

    def checked(self, source: str, tables: Tables) -> None:
        """Print that a file has no fault."""
        routes = len(tables.routes)
        pools = len(tables.pools)
        self.say(
            f'{source}: {routes} routes, {pools} pools, no fault',
            result='ok',
            routes=routes,
            pools=pools,
        )

    def tables(self, tables: Tables) -> None:
        """Print both tables."""
        self.say(text.tables_text(tables), tables=tables)

    def unreadable(self, problem: Unavailable | UnreadableRow) -> NoReturn:
        """Print that the platform can't be read and end the program."""
        if isinstance(problem, UnreadableRow):
            self.fail(
                ExitCode.FAILED,
                f'row {problem.key} can not be read; is this tool too old?',
            )
        self.fail(
            ExitCode.UNAVAILABLE,
            f'the table service can not be read: {problem.reason}',
        )

    def say(self, shown: str, **fields: Any) -> None:
        """Print text, or fields as JSON."""
        if self._as_json:
            self._json(**fields)
        else:
            typer.echo(shown)

    def applied(
        self,
        told: border_apply.ApplyResult,
        platform: str,
        *,
        is_last: bool = True,
    ) -> int:
        """Print what became of a change; end the program if it failed.

        :param told: what became of it.
        :param platform: URL of the platform, for the command to ask again.
        :param is_last: nothing is printed afterwards.
        :returns: the revision that has what the operator wants.
        """
        match told:
            case table_reads.Accepted():
                self.accepted(told.record, is_last=is_last)
                return told.record.revision
            case apply.NoChange():
                self._unchanged(told.revision, is_last=is_last)
                return told.revision
            case apply.RowConflict():
                self._conflict(told)
            case border_apply.AcceptanceUnknown():
                self._unknown(told, platform)
            case table_reads.NotAccepted():
                self.fail(
                    ExitCode.UNAVAILABLE,
                    f'not accepted: {told.detail}',
                )

    def accepted(self, record: ChangeRecord, *, is_last: bool = True) -> None:
        """Print an accepted change."""
        self._tell(
            is_last,
            f'{change_text(record)}\naccepted: revision {record.revision}',
            result='accepted',
            change=change_fields(record),
        )

    def _unchanged(self, revision: int, *, is_last: bool) -> None:
        self._tell(
            is_last,
            f'nothing to change: revision {revision} has it already',
            result='unchanged',
            revision=revision,
        )

    def _tell(self, is_last: bool, shown: str, **fields: Any) -> None:
        if self._as_json and not is_last:
            self.keep(**fields)
        else:
            self.say(shown, **fields)

    def _conflict(self, told: apply.RowConflict) -> NoReturn:
        lines = [
            f'not accepted: {", ".join(told.keys)} changed '
            f'after revision {told.base_revision}:',
            *map(change_text, told.others),
            'merge it into your file and apply again with --base',
        ]
        self.fail(
            ExitCode.CONFLICT,
            '\n'.join(lines),
            rows=told.keys,
            others=[change_fields(record) for record in told.others],
        )

    def _unknown(
        self,
        told: border_apply.AcceptanceUnknown,
        platform: str,
    ) -> NoReturn:
        record = told.record
        command = (
            f'nutmegspoke outcome {record.change_id} '
            f'--revision {record.revision} --platform {platform}'
        )
        self.fail(
            ExitCode.UNKNOWN,
            f'unknown whether accepted: {told.detail}\nask again: {command}',
            change_id=record.change_id,
            revision=record.revision,
            ask=command,
        )

    def _json(self, **fields: Any) -> None:
        document = {**self._kept, **fields}
        typer.echo(msgspec.json.encode(document).decode())


def change_text(record: ChangeRecord) -> str:
    """Return a change as lines of text."""
    lines = [
        f'revision {record.revision} by {record.operator}, '
        f'change {record.change_id}, from revision {record.base_revision}',
        *map(str, section_changes(record.rows)),
    ]
    return '\n  '.join('\n'.join(lines).split('\n'))


def change_fields(record: ChangeRecord) -> dict[str, Any]:
    """Return a change as fields of a JSON document."""
    return {
        'revision': record.revision,
        'change_id': record.change_id,
        'operator': record.operator,
        'at_wall_s': record.at_wall_s,
        'base_revision': record.base_revision,
        'sections': section_changes(record.rows),
    }
