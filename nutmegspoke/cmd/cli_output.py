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
from nutmegspoke.tables.snapshot import UnreadableRow

if TYPE_CHECKING:
    from nutmegspoke.platform import Unavailable
    from nutmegspoke.tables.faults import TableFaults
    from nutmegspoke.tables.changes import ChangeRecord, RowChange
    from nutmegspoke.tables.rows import Tables


class ExitCode(enum.IntEnum):
    """Exit codes of the tool."""

    OK = 0
    FAILED = 1
    FAULTS = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNAVAILABLE = 5


class Printer:
    """Prints results as text or as one JSON document."""

    def __init__(self, as_json: bool) -> None:
        """Choose the form.

        :param as_json: print JSON instead of text.
        """
        self._as_json = as_json

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
        lines = [*map(str, found.faults), f'{source}: {count} faults']
        faults = [dataclasses.asdict(fault) for fault in found.faults]
        self.fail(ExitCode.FAULTS, '\n'.join(lines), faults=faults)

    def checked(self, source: str, tables: Tables) -> None:
        """Print that a file has no fault."""
        routes = len(tables.routes)
        pools = len(tables.pools)
        if self._as_json:
            self._json(result='ok', routes=routes, pools=pools)
        else:
            typer.echo(f'{source}: {routes} routes, {pools} pools, no fault')

    def tables(self, tables: Tables) -> None:
        """Print both tables."""
        if self._as_json:
            self._json(tables=tables)
        else:
            typer.echo(text.tables_text(tables))

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

    def applied(self, told: border_apply.ApplyResult, platform: str) -> None:
        """Print what became of a change; end the program if it failed."""
        match told:
            case table_reads.Accepted():
                self._accepted(told.record)
            case apply.NoChange():
                self._unchanged(told.revision)
            case apply.RowConflict():
                self._conflict(told)
            case border_apply.AcceptanceUnknown():
                self._unknown(told, platform)
            case table_reads.NotAccepted():
                self.fail(
                    ExitCode.UNAVAILABLE,
                    f'not accepted: {told.detail}',
                )

    def _accepted(self, record: ChangeRecord) -> None:
        if self._as_json:
            self._json(result='accepted', change=change_fields(record))
        else:
            typer.echo(change_text(record))
            typer.echo(f'accepted: revision {record.revision}')

    def _unchanged(self, revision: int) -> None:
        if self._as_json:
            self._json(result='unchanged', revision=revision)
        else:
            typer.echo(f'nothing to change: revision {revision} has it already')

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
        typer.echo(msgspec.json.encode(fields).decode())


def change_text(record: ChangeRecord) -> str:
    """Return a change as lines of text."""
    lines = [
        f'revision {record.revision} by {record.operator}, '
        f'change {record.change_id}, from revision {record.base_revision}',
        *(f'  {row.kind} {row.key}' for row in record.rows),
    ]
    return '\n'.join(lines)


def change_fields(record: ChangeRecord) -> dict[str, Any]:
    """Return a change as fields of a JSON document."""
    return {
        'revision': record.revision,
        'change_id': record.change_id,
        'operator': record.operator,
        'at_wall_s': record.at_wall_s,
        'base_revision': record.base_revision,
        'rows': [_row_fields(row) for row in record.rows],
    }


def _row_fields(row: RowChange) -> dict[str, str]:
    return {'key': row.key, 'kind': row.kind}
