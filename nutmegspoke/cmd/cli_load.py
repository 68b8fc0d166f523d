"""Command ``load``: send drafts and measure throughput and latencies."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from nutmegspoke.bench import load_tool
from nutmegspoke.bench.arrivals import Pattern

_EXIT_INCOMPLETE = 1


def load_command(
    urls: Annotated[
        list[str],
        typer.Argument(
            help='URLs of callers ports, used in turn.', metavar='URL...'
        ),
    ],
    duration_s: Annotated[float, typer.Option(min=0.1)] = 10.0,
    rate_per_s: Annotated[
        float,
        typer.Option(help='Rate of an open loop; 0 for a closed loop.'),
    ] = 0.0,
    concurrency: Annotated[
        int,
        typer.Option(help='Concurrent callers of a closed loop.', min=1),
    ] = 8,
    pattern: Annotated[
        Pattern,
        typer.Option(help='Arrival pattern of an open loop.'),
    ] = Pattern.POISSON,
    model: Annotated[str, typer.Option()] = 'fanletter',
    team: Annotated[
        list[str] | None,
        typer.Option(help='Team and share as NAME=SHARE; may be repeated.'),
    ] = None,
    seed: Annotated[int, typer.Option()] = 1,
    comes_back: Annotated[
        bool,
        typer.Option(help='Refused callers retry after the returned time.'),
    ] = False,
    plot: Annotated[
        Path | None,
        typer.Option(help='Write a plot of the latencies to this file.'),
    ] = None,
    json: Annotated[
        bool,
        typer.Option('--json', help='Print one JSON document.'),
    ] = False,
) -> None:
    """Send drafts to daemons and report throughput and latencies.

    The exit code is 1 if an answer was incomplete.
    """
    plan = load_tool.LoadPlan(
        urls=tuple(urls),
        duration_s=duration_s,
        rate_per_s=rate_per_s,
        concurrency=concurrency,
        pattern=pattern,
        model=model,
        teams=_parse_teams(team or []),
        seed=seed,
        comes_back=comes_back,
    )
    report = load_tool.run_load(plan, _show_progress)
    if json:
        typer.echo(msgspec.json.encode(report).decode())
    else:
        typer.echo('\n'.join(load_tool.format_report(report)))
    if plot is not None:
        _write_plot(report, plot)
    if report.incomplete:
        raise typer.Exit(_EXIT_INCOMPLETE)


def _show_progress(elapsed_s: float, tally: load_tool.LoadTally) -> None:
    if sys.stderr.isatty():
        typer.echo(
            f'{elapsed_s:.0f} s: sent {tally.sent}, complete {tally.complete}',
            err=True,
        )


def _parse_teams(options: list[str]) -> tuple[str, ...]:
    names: list[str] = []
    for option in options:
        name, _, share = option.partition('=')
        if not share.isdecimal():
            raise typer.BadParameter(f'{option}: expected NAME=SHARE')
        names.extend(name for _ in range(int(share)))
    return tuple(names) or ('',)


def _write_plot(report: load_tool.LoadReport, path: Path) -> None:
    from nutmegspoke.bench import plots  # noqa: PLC0415 -- slow to import

    plots.plot_latencies(report, path)
