"""Run the measurements; print a JSON document and a summary."""

from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING, Annotated, Protocol

import msgspec
import typer

from nutmegspoke.bench import (
    carrier_cost,
    changes_cost,
    daemon_loss,
    draft_policies,
    idle_cost,
    policies,
    request_cost,
    stage_loss,
    stream_cost,
    throughput,
)

if TYPE_CHECKING:
    from nutmegspoke.bench.results import Section

_MEASUREMENTS = (
    policies,
    draft_policies,
    throughput,
    request_cost,
    carrier_cost,
    stage_loss,
    stream_cost,
    changes_cost,
    daemon_loss,
    idle_cost,
)
_QUICK_MEASUREMENTS = (
    policies,
    draft_policies,
    request_cost,
    carrier_cost,
    stage_loss,
    changes_cost,
    idle_cost,
)


class Measurement(Protocol):
    """A module with a ``measure`` function."""

    def measure(self, *, is_quick: bool) -> Section:
        """Run the measurement and return its results.

        :param is_quick: run a smaller, faster version.
        """


def main(
    quick: Annotated[
        bool,
        typer.Option(help='Smaller runs, under a minute in all.'),
    ] = False,
    output: Annotated[
        pathlib.Path | None,
        typer.Option(help='Write the JSON document here as well.'),
    ] = None,
    only: Annotated[
        list[str] | None,
        typer.Option(help='Name of a measurement; may be repeated.'),
    ] = None,
) -> None:
    """Measure against the targets; the JSON document goes to stdout."""
    default_measurements = _QUICK_MEASUREMENTS if quick else _MEASUREMENTS
    sections = [
        _run_measurement(measurement, is_quick=quick)
        for measurement in _MEASUREMENTS
        if _module_name(measurement)
        in (only or [_module_name(each) for each in default_measurements])
    ]
    document = msgspec.json.format(msgspec.json.encode(sections), indent=1)
    sys.stdout.buffer.write(document)
    sys.stdout.write('\n')
    if output is not None:
        output.write_bytes(document)


def _run_measurement(measurement: Measurement, *, is_quick: bool) -> Section:
    section = measurement.measure(is_quick=is_quick)
    typer.echo(f'{section.name}:', err=True)
    for result in section.results:
        typer.echo(f'  {result.format_line()}', err=True)
    return section


def _module_name(measurement: Measurement) -> str:
    return measurement.__name__.rpartition('.')[2]


if __name__ == '__main__':
    typer.run(main)
