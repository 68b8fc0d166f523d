"""Arguments and options that several commands share."""

from __future__ import annotations

import getpass
import pathlib
from typing import Annotated

import typer

from nutmegspoke.border import table_files
from nutmegspoke.cmd.cli_output import ExitCode, Printer
from nutmegspoke.tables.checks import check_tables
from nutmegspoke.tables.faults import TableFaults
from nutmegspoke.tables.rows import Tables

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
        metavar='NAME',
        default_factory=getpass.getuser,
    ),
]
DaemonsOption = Annotated[
    list[str],
    typer.Option(
        '--daemon',
        envvar='NUTMEGSPOKE_DAEMONS',
        help="URL of a daemon's operators' port; may be given several times.",
        metavar='URL',
        default_factory=list,
    ),
]
TokenOption = Annotated[
    str,
    typer.Option(
        '--token',
        envvar='NUTMEGSPOKE_OPERATORS_TOKEN',
        help="The operators' token of the daemons.",
        metavar='TOKEN',
        show_default=False,
    ),
]


def read_file(file: pathlib.Path, printer: Printer) -> Tables:
    """Read and check a tables file; exit if it is unreadable or has faults."""
    try:
        text = file.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        printer.fail(ExitCode.FAULTS, f'{file}: can not be read: {error}')
    tables = table_files.read_tables(text, str(file))
    if isinstance(tables, TableFaults):
        printer.fail_with_faults(str(file), tables)
    faults = check_tables(tables, str(file))
    if faults is not None:
        printer.fail_with_faults(str(file), faults)
    return tables
