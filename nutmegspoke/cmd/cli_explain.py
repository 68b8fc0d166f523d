"""Commands that show what happened: ``status`` and ``explain``."""

from __future__ import annotations

from typing import Annotated

import typer

from nutmegspoke.border import daemon_client, evidence_reads, loop
from nutmegspoke.cmd.cli_options import (
    DaemonsOption,
    JsonOption,
    PlatformOption,
    TokenOption,
)
from nutmegspoke.cmd.cli_output import ExitCode, Printer
from nutmegspoke.cmd.cli_platform import PlatformClient, run
from nutmegspoke.evidence import story
from nutmegspoke.tables import diff as table_diff


def status(
    daemons: DaemonsOption,
    token: TokenOption = '',
    json: JsonOption = False,
) -> None:
    """Show the daemons and the revision that each has in force."""
    printer = Printer(json)
    if not daemons:
        printer.fail(ExitCode.FAULTS, 'status needs at least one --daemon')
    with loop.new_runner() as runner:
        told = runner.run(daemon_client.fetch_statuses(daemons, token))
    printer.say(
        '\n'.join(map(_status_text, told)),
        daemons=[{'url': one.url, 'status': one.status} for one in told],
    )
    if any(
        isinstance(one.status, daemon_client.StatusUnavailable) for one in told
    ):
        raise typer.Exit(ExitCode.UNAVAILABLE)


def explain(
    subject: Annotated[
        str,
        typer.Argument(
            help='Id of a request, or number of a revision.',
            metavar='REQUEST|REVISION',
        ),
    ],
    platform: PlatformOption,
    json: JsonOption = False,
) -> None:
    """Tell what happened to a request or a change, from the evidence."""
    printer = Printer(json)
    if subject.isdecimal():
        _explain_revision(int(subject), platform, printer)
    else:
        _explain_request(subject, platform, printer)


def _explain_request(request_id: str, platform: str, printer: Printer) -> None:
    async def read(
        client: PlatformClient,
    ) -> evidence_reads.RequestEvidence:
        return await evidence_reads.find_request(client.objects, request_id)

    found = run(platform, read)
    if isinstance(found, evidence_reads.NoEvidence):
        printer.fail(_no_evidence_code(found), found.reason)
    printer.say(story.describe_request(found), record=found)


def _explain_revision(
    revision: int,
    platform: str,
    printer: Printer,
) -> None:
    async def read(
        client: PlatformClient,
    ) -> evidence_reads.ChangeEvidence | evidence_reads.NoEvidence:
        return await evidence_reads.find_change(
            client.tables,
            client.objects,
            revision,
        )

    found = run(platform, read)
    if isinstance(found, evidence_reads.NoEvidence):
        printer.fail(_no_evidence_code(found), found.reason)
    sections = table_diff.section_changes(found.record.rows)
    printer.say(
        story.describe_change(found.record, sections, found.adoptions),
        revision=found.record.revision,
        change_id=found.record.change_id,
        operator=found.record.operator,
        at_wall_s=found.record.at_wall_s,
        base_revision=found.record.base_revision,
        sections=sections,
        adoptions=found.adoptions,
    )


def _no_evidence_code(found: evidence_reads.NoEvidence) -> ExitCode:
    return ExitCode.UNAVAILABLE if found.is_store_down else ExitCode.FAILED


def _status_text(told: daemon_client.DaemonReply) -> str:
    if isinstance(told.status, daemon_client.StatusUnavailable):
        return f'{told.url}: no status: {told.status.reason}'
    found = told.status
    state = 'ready' if found.is_ready else 'not ready'
    if found.is_stopping:
        state = 'stopping'
    return (
        f'{told.url}: {found.daemon} in {found.availability_zone}, {state}, '
        f'revision {found.revision}, {found.in_flight} in flight'
    )
