"""The command-line tool, ``nutmegspoke``."""

from __future__ import annotations

from nutmegspoke.border import loop  # noqa: F401, I001 -- must come first
import getpass
import pathlib
import secrets
import time
from typing import Annotated

import typer

from nutmegspoke.border import apply as border_apply
from nutmegspoke.border import table_files, table_reads
from nutmegspoke.cmd import cli_load, cli_platform
from nutmegspoke.cmd.cli_output import ExitCode, Printer
from nutmegspoke.tables import apply
from nutmegspoke.tables.checks import check_tables
from nutmegspoke.tables.faults import TableFaults
from nutmegspoke.tables.rows import Tables
from nutmegspoke.tables.snapshot import TablesSnapshot

app = typer.Typer(
    help='Checks, applies and shows the tables of routes and pools.',
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)

_CHANGE_ID_BYTES = 8

FileArgument = Annotated[
    pathlib.Path,
    typer.Argument(help='The tables file.', metavar='FILE'),
]
PlatformOption = Annotated[
    str,
    typer.Option(
        envvar='NUTMEGSPOKE_PLATFORM',
        help='URL of the platform.',
        metavar='URL',
    ),
]
JsonOption = Annotated[
    bool,
    typer.Option('--json', help='Print one JSON document.'),
]
OperatorOption = Annotated[
    str,
    typer.Option(
        envvar='NUTMEGSPOKE_OPERATOR',
        help='Your name, for the record of the change.',
        default_factory=getpass.getuser,
    ),
]


@app.command()
def check(file: FileArgument, json: JsonOption = False) -> None:
    """Check a tables file and name every fault in it."""
    printer = Printer(json)
    tables = _read_file(file, printer)
    printer.checked(str(file), tables)


@app.command(name='apply')
def apply_command(
    file: FileArgument,
    platform: PlatformOption,
    operator: OperatorOption,
    base: Annotated[
        int | None,
        typer.Option(help='Revision that the file was made from.', min=0),
    ] = None,
    json: JsonOption = False,
) -> None:
    """Bring a tables file into force, in one transaction."""
    printer = Printer(json)
    wanted = _read_file(file, printer)
    author = apply.Author(
        operator=operator,
        change_id=secrets.token_hex(_CHANGE_ID_BYTES),
        at_wall_s=time.time(),
    )

    async def carry_out(
        client: cli_platform.PlatformClient,
    ) -> border_apply.ApplyResult:
        return await border_apply.apply_tables(
            client.tables,
            wanted,
            author,
            base,
        )

    printer.applied(cli_platform.run(platform, carry_out), platform)


@app.command()
def show(platform: PlatformOption, json: JsonOption = False) -> None:
    """Print the tables of the platform as a tables file."""
    printer = Printer(json)

    async def read(
        client: cli_platform.PlatformClient,
    ) -> table_reads.SnapshotResult:
        return await table_reads.read_snapshot(client.tables)

    found = cli_platform.run(platform, read)
    if not isinstance(found, TablesSnapshot):
        printer.unreadable(found)
    printer.tables(found.tables)


def _read_file(file: pathlib.Path, printer: Printer) -> Tables:
    try:
        text = file.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        printer.fail(ExitCode.FAULTS, f'{file}: can not be read: {error}')
    tables = table_files.read_tables(text, str(file))
    if isinstance(tables, TableFaults):
        printer.faults(str(file), tables)
    faults = check_tables(tables, str(file))
    if faults is not None:
        printer.faults(str(file), faults)
    return tables


app.command(name='load')(cli_load.load_command)


def main() -> None:
    """Run the tool."""
    app()


if __name__ == '__main__':
    main()
