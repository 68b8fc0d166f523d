"""Entry point of the command-line tool, ``nutmegspoke``."""

from __future__ import annotations

from nutmegspoke.border import loop  # isort: skip  # noqa: F401 -- for uvloop

import secrets
import time
from typing import Annotated

import typer

from nutmegspoke.border import apply as border_apply
from nutmegspoke.border import table_reads
from nutmegspoke.cmd import (
    cli_changes,
    cli_claims,
    cli_explain,
    cli_load,
    cli_served,
    cli_wait,
)
from nutmegspoke.cmd.cli_options import (
    DaemonsOption,
    FileArgument,
    JsonOption,
    OperatorOption,
    PlatformOption,
    TokenOption,
    read_file,
)
from nutmegspoke.cmd.cli_output import Printer
from nutmegspoke.cmd.cli_platform import PlatformClient, run
from nutmegspoke.tables import apply
from nutmegspoke.tables.snapshot import TablesSnapshot

_HELP = """Checks, applies, shows and explains the tables of routes and pools.

Exit codes: 0 done; 1 failed or not found; 2 the file or the command is
wrong; 3 another operator changed the same row; 4 unknown whether accepted;
5 the platform gives no answer; 6 accepted, but not yet in force at every
daemon.
"""
_CHANGE_ID_BYTES = 8

app = typer.Typer(
    help=_HELP,
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
app.add_typer(cli_claims.app, name='claims')


@app.command()
def check(file: FileArgument, json: JsonOption = False) -> None:
    """Check a tables file and print every fault in it."""
    printer = Printer(json)
    tables = read_file(file, printer)
    printer.print_checked(str(file), tables)


@app.command(name='apply')
def apply_command(
    file: FileArgument,
    platform: PlatformOption,
    operator: OperatorOption,
    daemons: DaemonsOption,
    token: TokenOption = '',
    base: Annotated[
        int | None,
        typer.Option(
            help='Revision that the file was made from. Rows that others '
            'changed since then are kept; a row that you changed too '
            'is a conflict.',
            min=0,
            metavar='REVISION',
            show_default='the one in force',
        ),
    ] = None,
    wait: Annotated[
        bool,
        typer.Option(
            '--wait',
            help='Wait until every --daemon has the revision in force.',
        ),
    ] = False,
    wait_limit_s: Annotated[
        float,
        typer.Option(help='The longest wait, in seconds.', min=0),
    ] = 30.0,
    json: JsonOption = False,
) -> None:
    """Apply a tables file in one transaction."""
    printer = Printer(json)
    wanted_tables = read_file(file, printer)
    author = apply.Author(
        operator=operator,
        change_id=secrets.token_hex(_CHANGE_ID_BYTES),
        at_wall_s=time.time(),
    )

    async def apply_file(client: PlatformClient) -> border_apply.ApplyResult:
        return await border_apply.apply_tables(
            client.tables,
            wanted_tables,
            author,
            base,
        )

    result = run(platform, apply_file)
    revision = printer.print_apply_result(result, platform, is_last=not wait)
    if wait:
        cli_wait.wait_in_force(printer, revision, daemons, token, wait_limit_s)


@app.command()
def show(platform: PlatformOption, json: JsonOption = False) -> None:
    """Print the tables of the platform as a tables file."""
    printer = Printer(json)

    async def read(client: PlatformClient) -> table_reads.SnapshotResult:
        return await table_reads.read_snapshot(client.tables)

    snapshot = run(platform, read)
    if not isinstance(snapshot, TablesSnapshot):
        printer.fail_unreadable(snapshot)
    printer.print_tables(snapshot.tables)


app.command()(cli_changes.diff)
app.command()(cli_changes.history)
app.command()(cli_changes.outcome)
app.command()(cli_explain.status)
app.command()(cli_explain.explain)
app.command(name='load')(cli_load.load_command)
app.command()(cli_served.served)


def main() -> None:
    """Run the command-line tool."""
    app()


if __name__ == '__main__':
    main()
