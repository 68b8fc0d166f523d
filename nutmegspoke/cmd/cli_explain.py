"""Commands that show state and evidence: ``status`` and ``explain``."""

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
        answers = runner.run(daemon_client.fetch_statuses(daemons, token))
    printer.print_result(
        '\n'.join(map(_status_text, answers)),
        daemons=[
            {'url': answer.url, 'status': answer.status} for answer in answers
        ],
    )
    if any(
        isinstance(answer.status, daemon_client.StatusUnavailable)
        for answer in answers
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
    """Show from the evidence what happened to a request or a change."""
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

    evidence = run(platform, read)
    if isinstance(evidence, evidence_reads.NoEvidence):
        printer.fail(_no_evidence_code(evidence), evidence.reason)
    printer.print_result(story.describe_request(evidence), record=evidence)


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

    evidence = run(platform, read)
    if isinstance(evidence, evidence_reads.NoEvidence):
        printer.fail(_no_evidence_code(evidence), evidence.reason)
    sections = table_diff.section_changes(evidence.record.rows)
    printer.print_result(
        story.describe_change(evidence.record, sections, evidence.adoptions),
        revision=evidence.record.revision,
        change_id=evidence.record.change_id,
        operator=evidence.record.operator,
        at_wall_s=evidence.record.at_wall_s,
        base_revision=evidence.record.base_revision,
        sections=sections,
        adoptions=evidence.adoptions,
    )


def _no_evidence_code(evidence: evidence_reads.NoEvidence) -> ExitCode:
    return ExitCode.UNAVAILABLE if evidence.is_store_down else ExitCode.FAILED


def _status_text(answer: daemon_client.DaemonReply) -> str:
    if isinstance(answer.status, daemon_client.StatusUnavailable):
        return f'{answer.url}: no status: {answer.status.reason}'
    report = answer.status
    state = 'ready' if report.is_ready else 'not ready'
    if report.is_stopping:
        state = 'stopping'
    return (
        f'{answer.url}: {report.daemon} in {report.availability_zone}, '
        f'{state}, revision {report.revision}, {report.in_flight} in flight'
    )
