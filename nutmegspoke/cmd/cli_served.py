"""Command ``served``: who was served, late, refused or failed."""

from __future__ import annotations

import dataclasses
import itertools
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from nutmegspoke.cmd.cli_output import ExitCode, Printer
from nutmegspoke.evidence import served_table


def served(
    logs: Annotated[
        list[Path],
        typer.Argument(help='Logs of entry hosts.', metavar='LOG...'),
    ],
    json: Annotated[
        bool,
        typer.Option('--json', help='Print one JSON document.'),
    ] = False,
) -> None:
    """Count ended requests by second, route, team, zone, size and reason.

    The logs of all hosts are needed, from the start of each process on: a line
    there names the availability zone of its host.
    """
    try:
        texts = [path.read_text('utf-8', 'replace') for path in logs]
    except OSError as error:
        Printer(json).fail(ExitCode.FAULTS, f'served: {error}')
    lines = itertools.chain.from_iterable(text.splitlines() for text in texts)
    table = served_table.build_table(served_table.read_lines(lines))
    if json:
        by_grouping = {
            grouping: {
                name: dataclasses.asdict(each) for name, each in rows.items()
            }
            for grouping, rows in table.items()
        }
        typer.echo(msgspec.json.encode(by_grouping).decode())
    else:
        typer.echo('\n'.join(served_table.format_table(table)))
