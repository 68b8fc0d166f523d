"""Commands for claims of non-repeatable calls."""

from __future__ import annotations

from typing import Annotated

import typer

from nutmegspoke.border import claim_reads
from nutmegspoke.claims.rows import ClaimState
from nutmegspoke.claims.settlement import Verdict
from nutmegspoke.cmd.cli_options import (
    JsonOption,
    OperatorOption,
    PlatformOption,
)
from nutmegspoke.cmd.cli_output import ExitCode, Printer
from nutmegspoke.cmd.cli_platform import PlatformClient, run
from nutmegspoke.metadata_store import Unavailable

app = typer.Typer(
    help='Shows and settles claims whose outcome is unknown.',
    no_args_is_help=True,
)


@app.command(name='list')
def list_open(platform: PlatformOption, json: JsonOption = False) -> None:
    """List the claims whose outcome is unknown."""
    printer = Printer(json)

    async def read(
        client: PlatformClient,
    ) -> tuple[claim_reads.UnresolvedClaim, ...] | Unavailable:
        return await claim_reads.list_open_claims(client.tables)

    claims = run(platform, read)
    if isinstance(claims, Unavailable):
        printer.fail_unreadable(claims)
    printer.print_result(
        '\n'.join(map(_claim_text, claims)) or 'no claim is open',
        claims=[
            {
                'key': claim.key,
                'daemon': claim.row.daemon,
                'request_id': claim.row.request_id,
                'state': claim.row.state,
                'wall_s': claim.row.wall_s,
            }
            for claim in claims
        ],
    )


@app.command()
def resolve(
    key: Annotated[
        str,
        typer.Argument(help='Key of the claim.', metavar='KEY'),
    ],
    platform: PlatformOption,
    operator: OperatorOption,
    ran: Annotated[
        bool,
        typer.Option(
            '--ran/--not-run',
            help='Whether the call ran, according to the service.',
        ),
    ],
    holder_is_gone: Annotated[
        bool,
        typer.Option(
            '--holder-is-gone',
            help='Confirm that the daemon that holds the claim has ended.',
        ),
    ] = False,
    json: JsonOption = False,
) -> None:
    """Settle a claim whose outcome is unknown.

    A claim without an outcome is not settled while its daemon has a row in the
    table service, because its call may still be running, unless you confirm
    that the daemon has ended.

    With --not-run the next call with the same key runs. If the first call did
    run, it then runs twice: check the journal of the service first.
    """
    printer = Printer(json)

    async def settle(client: PlatformClient) -> claim_reads.SettleResult:
        live_holders: tuple[str, ...] | Unavailable = ()
        if not holder_is_gone:
            live_holders = await claim_reads.list_holders(client.tables)
        if isinstance(live_holders, Unavailable):
            return live_holders
        return await claim_reads.settle(
            client.tables,
            key,
            operator,
            Verdict.RAN if ran else Verdict.NOT_RUN,
            live_holders,
        )

    result = run(platform, settle)
    match result:
        case claim_reads.Settled():
            printer.print_result(
                f'settled: {key} by {operator}',
                result='settled',
                key=key,
                operator=operator,
            )
        case claim_reads.NotSettled(reason):
            printer.fail(ExitCode.FAILED, f'not settled: {reason}')
        case claim_reads.SettleInDoubt(reason):
            printer.fail(
                ExitCode.UNKNOWN,
                f'unknown whether settled: {reason}\n'
                'list the claims again to check',
            )
        case Unavailable():
            printer.fail_unreadable(result)


def _claim_text(claim: claim_reads.UnresolvedClaim) -> str:
    row = claim.row
    state = 'running, or its holder has ended'
    if row.state is ClaimState.DONE:
        state = 'done, outcome unknown'
    return f'{claim.key} daemon={row.daemon} request={row.request_id} {state}'
