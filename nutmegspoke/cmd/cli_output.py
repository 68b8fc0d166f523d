"""Output and exit codes of the command-line tool."""

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
    """Exit codes of the tool; in JSON, ``result`` is the lower-case name."""

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
        """Select the output format.

        :param as_json: print JSON instead of text.
        """
        self._as_json = as_json
        self._pending_fields: dict[str, Any] = {}

    def add_fields(self, **fields: Any) -> None:
        """Add fields to the JSON document that is printed later."""
        self._pending_fields.update(fields)

    def fail(self, code: ExitCode, detail: str, **fields: Any) -> NoReturn:
        """Print an error and exit.

        :param code: exit code.
        :param detail: error message.
        :param fields: further fields of the JSON document.
        :raises Exit: always.
        """
        if self._as_json:
            self._print_json(result=code.name.lower(), detail=detail, **fields)
        else:
            typer.echo(detail, err=True)
        raise typer.Exit(code)

    def fail_with_faults(
        self, source: str, table_faults: TableFaults
    ) -> NoReturn:
        """Print the faults of a file and exit."""
        count = len(table_faults.faults)
        total = '1 fault' if count == 1 else f'{count} faults'
        lines = [*map(str, table_faults.faults), f'{source}: {total}']
        faults = [dataclasses.asdict(fault) for fault in table_faults.faults]
        self.fail(ExitCode.FAULTS, '\n'.join(lines), faults=faults)

    def print_checked(self, source: str, tables: Tables) -> None:
        """Print that a file has no fault, and its number of rows."""
        routes = len(tables.routes)
        pools = len(tables.pools)
        self.print_result(
            f'{source}: {routes} routes, {pools} pools, no fault',
            result='ok',
            routes=routes,
            pools=pools,
        )

    def print_tables(self, tables: Tables) -> None:
        """Print the routes and pools in the format of a tables file."""
        self.print_result(text.tables_text(tables), tables=tables)

    def fail_unreadable(self, problem: Unavailable | UnreadableRow) -> NoReturn:
        """Print why the tables can not be read and exit."""
        if isinstance(problem, UnreadableRow):
            self.fail(
                ExitCode.FAILED,
                f'row {problem.key} can not be read; '
                'was it written by a newer version?',
            )
        self.fail(
            ExitCode.UNAVAILABLE,
            f'the table service can not be read: {problem.reason}',
        )

    def print_result(self, message: str, **fields: Any) -> None:
        """Print a message, or the fields as a JSON document."""
        if self._as_json:
            self._print_json(**fields)
        else:
            typer.echo(message)

    def print_apply_result(
        self,
        result: border_apply.ApplyResult,
        platform: str,
        *,
        is_last: bool = True,
    ) -> int:
        """Print the result of a change; exit if it was not accepted.

        :param result: result of applying the change.
        :param platform: URL of the platform, for the ``outcome`` command that
            is printed if the result is unknown.
        :param is_last: whether nothing is printed afterwards; otherwise JSON
            fields are kept for the document that is printed later.
        :returns: the revision that contains the wanted tables.
        """
        match result:
            case table_reads.Accepted():
                self.print_accepted(result.record, is_last=is_last)
                return result.record.revision
            case apply.NoChange():
                self._print_unchanged(result.revision, is_last=is_last)
                return result.revision
            case apply.RowConflict():
                self._fail_with_conflict(result)
            case border_apply.AcceptanceUnknown():
                self._fail_with_unknown(result, platform)
            case table_reads.NotAccepted():
                self.fail(
                    ExitCode.UNAVAILABLE,
                    f'not accepted: {result.detail}',
                )

    def print_accepted(
        self, record: ChangeRecord, *, is_last: bool = True
    ) -> None:
        """Print an accepted change and its revision."""
        self._print_change(
            is_last,
            f'{change_text(record)}\naccepted: revision {record.revision}',
            result='accepted',
            change=change_fields(record),
        )

    def _print_unchanged(self, revision: int, *, is_last: bool) -> None:
        self._print_change(
            is_last,
            f'nothing to change: revision {revision} already has this change',
            result='unchanged',
            revision=revision,
        )

    def _print_change(self, is_last: bool, message: str, **fields: Any) -> None:
        if self._as_json and not is_last:
            self.add_fields(**fields)
        else:
            self.print_result(message, **fields)

    def _fail_with_conflict(self, result: apply.RowConflict) -> NoReturn:
        lines = [
            f'not accepted: {", ".join(result.keys)} changed '
            f'after revision {result.base_revision}:',
            *map(change_text, result.others),
            'merge these changes into your file and apply again with --base',
        ]
        self.fail(
            ExitCode.CONFLICT,
            '\n'.join(lines),
            rows=result.keys,
            others=[change_fields(record) for record in result.others],
        )

    def _fail_with_unknown(
        self,
        result: border_apply.AcceptanceUnknown,
        platform: str,
    ) -> NoReturn:
        record = result.record
        command = (
            f'nutmegspoke outcome {record.change_id} '
            f'--revision {record.revision} --platform {platform}'
        )
        self.fail(
            ExitCode.UNKNOWN,
            f'unknown whether accepted: {result.detail}\nask again: {command}',
            change_id=record.change_id,
            revision=record.revision,
            ask=command,
        )

    def _print_json(self, **fields: Any) -> None:
        document = {**self._pending_fields, **fields}
        typer.echo(msgspec.json.encode(document).decode())


def change_text(record: ChangeRecord) -> str:
    """Return a change as text: a summary line and its changed sections."""
    lines = [
        f'revision {record.revision} by {record.operator}, '
        f'change {record.change_id}, from revision {record.base_revision}',
        *map(str, section_changes(record.rows)),
    ]
    return '\n  '.join('\n'.join(lines).split('\n'))


def change_fields(record: ChangeRecord) -> dict[str, Any]:
    """Return the fields that describe a change in a JSON document."""
    return {
        'revision': record.revision,
        'change_id': record.change_id,
        'operator': record.operator,
        'at_wall_s': record.at_wall_s,
        'base_revision': record.base_revision,
        'sections': section_changes(record.rows),
    }
