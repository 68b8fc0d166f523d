"""Commands for changes: ``diff``, ``history`` and ``outcome``."""

from __future__ import annotations

from typing import Annotated

import typer

from nutmegspoke.border import table_reads
from nutmegspoke.cmd.cli_options import (
    FileArgument,
    JsonOption,
    PlatformOption,
    read_file,
)
from nutmegspoke.cmd.cli_output import ExitCode, Printer, change_fields
from nutmegspoke.cmd.cli_output import change_text as format_change
from nutmegspoke.cmd.cli_platform import PlatformClient, run
from nutmegspoke.metadata_store import Unavailable
from nutmegspoke.tables import changes, diff as table_diff
from nutmegspoke.tables.snapshot import (
    TablesSnapshot,
    UnreadableRow,
    encode_bodies,
)


def diff(
    file: FileArgument,
    platform: PlatformOption,
    json: JsonOption = False,
) -> None:
    """Show what a tables file would change, without applying it."""
    printer = Printer(json)
    wanted_tables = read_file(file, printer)

    async def read(client: PlatformClient) -> table_reads.SnapshotResult:
        return await table_reads.read_snapshot(client.tables)

    found = run(platform, read)
    if not isinstance(found, TablesSnapshot):
        printer.fail_unreadable(found)
    rows = changes.row_changes(found.bodies(), encode_bodies(wanted_tables))
    sections = table_diff.section_changes(rows)
    revision = found.tables.revision
    section_text = '\n'.join(map(str, sections)) or 'no difference'
    printer.print_result(
        f'to revision {revision}:\n{section_text}',
        revision=revision,
        sections=sections,
    )


def history(
    platform: PlatformOption,
    limit: Annotated[
        int,
        typer.Option(help='Number of latest changes to list.', min=1),
    ] = 20,
    json: JsonOption = False,
) -> None:
    """List the latest accepted changes, newest first."""
    printer = Printer(json)

    async def read(
        client: PlatformClient,
    ) -> tuple[changes.ChangeRecord, ...] | UnreadableRow | Unavailable:
        snapshot = await table_reads.read_snapshot(client.tables)
        if not isinstance(snapshot, TablesSnapshot):
            return snapshot
        last = snapshot.tables.revision
        first = max(1, last - limit + 1)
        return await table_reads.read_changes(client.tables, first, last)

    found = run(platform, read)
    if not isinstance(found, tuple):
        printer.fail_unreadable(found)
    newest_first = tuple(reversed(found))
    printer.print_result(
        '\n'.join(map(format_change, newest_first)) or 'no change yet',
        changes=list(map(change_fields, newest_first)),
    )


def outcome(
    change_id: Annotated[
        str,
        typer.Argument(help='Id of the change.', metavar='CHANGE'),
    ],
    revision: Annotated[
        int,
        typer.Option(
            help='Revision that the change would have created.',
            min=1,
        ),
    ],
    platform: PlatformOption,
    json: JsonOption = False,
) -> None:
    """Show whether a change with an unknown result was accepted."""
    printer = Printer(json)

    async def read_outcome(
        client: PlatformClient,
    ) -> table_reads.Accepted | table_reads.NotAccepted | Unavailable | None:
        return await table_reads.ask_outcome(
            client.tables,
            change_id,
            revision,
        )

    match run(platform, read_outcome):
        case table_reads.Accepted(record):
            printer.print_accepted(record)
        case table_reads.NotAccepted(detail):
            printer.fail(ExitCode.FAILED, f'not accepted: {detail}')
        case Unavailable() as problem:
            printer.fail_unreadable(problem)
        case _:
            printer.fail(
                ExitCode.UNKNOWN,
                f'revision {revision} does not exist yet: the change is not '
                'accepted so far, but its write may still be in progress; '
                'apply the file again to get a definite result',
            )
