"""Commands about changes: ``diff``, ``history`` and ``outcome``."""

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
from nutmegspoke.cmd.cli_output import change_text as text_of
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
    """Show what a tables file would change, and change nothing."""
    printer = Printer(json)
    wanted = read_file(file, printer)

    async def read(client: PlatformClient) -> table_reads.SnapshotResult:
        return await table_reads.read_snapshot(client.tables)

    found = run(platform, read)
    if not isinstance(found, TablesSnapshot):
        printer.unreadable(found)
    rows = changes.row_changes(found.bodies(), encode_bodies(wanted))
    sections = table_diff.section_changes(rows)
    revision = found.tables.revision
    shown = '\n'.join(map(str, sections)) or 'no difference'
    printer.say(
        f'to revision {revision}:\n{shown}',
        revision=revision,
        sections=sections,
    )


def history(
    platform: PlatformOption,
    limit: Annotated[
        int,
        typer.Option(help='Number of changes, the latest ones.', min=1),
    ] = 20,
    json: JsonOption = False,
) -> None:
    """List the latest accepted changes, the newest first."""
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
        printer.unreadable(found)
    newest_first = tuple(reversed(found))
    printer.say(
        '\n'.join(map(text_of, newest_first)) or 'no change yet',
        changes=list(map(change_fields, newest_first)),
    )


def outcome(
    change_id: Annotated[
        str,
        typer.Argument(help='Id of the change.', metavar='CHANGE'),
    ],
    revision: Annotated[
        int,
        typer.Option(help='Revision that it would have made.', min=1),
    ],
    platform: PlatformOption,
    json: JsonOption = False,
) -> None:
    """Tell whether a change in doubt was accepted."""
    printer = Printer(json)

    async def ask(
        client: PlatformClient,
    ) -> table_reads.Accepted | table_reads.NotAccepted | Unavailable | None:
        return await table_reads.ask_outcome(
            client.tables,
            change_id,
            revision,
        )

    match run(platform, ask):
        case table_reads.Accepted(record):
            printer.accepted(record)
        case table_reads.NotAccepted(detail):
            printer.fail(ExitCode.FAILED, f'not accepted: {detail}')
        case Unavailable() as problem:
            printer.unreadable(problem)
        case _:
            printer.fail(
                ExitCode.UNKNOWN,
                f'no change has made revision {revision} yet: not accepted so '
                'far, but a write still under way may be; apply the file '
                'again, which settles it',
            )
