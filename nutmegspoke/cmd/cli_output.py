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
    from nutmegspoke.platform import Unavailable
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

    def applied(self, told: border_apply.ApplyResult, platform: str) -> int:
        """Print what became of a change; end the program if it failed.

        :returns: the revision that has what the operator wants.
        """
        match told:
            case table_reads.Accepted():
                self.accepted(told.record)
                return told.record.revision
            case apply.NoChange():
                self._unchanged(told.revision)
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

    def accepted(self, record: ChangeRecord) -> None:
        """Print an accepted change."""
        self.say(
            f'{change_text(record)}\naccepted: revision {record.revision}',
            result='accepted',
            change=change_fields(record),
        )

    def _unchanged(self, revision: int) -> None:
        self.say(
            f'nothing to change: revision {revision} has it already',
            result='unchanged',
            revision=revision,
        )

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
