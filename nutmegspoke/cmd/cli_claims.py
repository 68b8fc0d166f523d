"""Commands about claims of non-repeatable calls."""

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
    help='Shows and settles claims whose outcome nobody knows.',
    no_args_is_help=True,
)


@app.command(name='list')
def list_open(platform: PlatformOption, json: JsonOption = False) -> None:
    """List the claims whose outcome is not known."""
    printer = Printer(json)

    async def read(
        client: PlatformClient,
    ) -> tuple[claim_reads.OpenClaim, ...] | Unavailable:
        return await claim_reads.list_open_claims(client.tables)

    found = run(platform, read)
    if isinstance(found, Unavailable):
        printer.unreadable(found)
    printer.say(
        '\n'.join(map(_claim_text, found)) or 'no claim is open',
        claims=[
            {
                'key': claim.key,
                'daemon': claim.row.daemon,
                'request_id': claim.row.request_id,
                'state': claim.row.state,
                'wall_s': claim.row.wall_s,
            }
            for claim in found
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
            help='Whether the call ran, as you found out at the service.',
        ),
    ],
    holder_is_gone: Annotated[
        bool,
        typer.Option(
            '--holder-is-gone',
            help='You made sure that the daemon that holds it has ended.',
        ),
    ] = False,
    json: JsonOption = False,
) -> None:
    """Settle a claim whose outcome is not known.

    A claim of a daemon that has a row in the platform is not settled, since
    its call may still be running, unless you say that the daemon has ended.

    With --not-run the next call under the same key runs. If the call did run
    after all, it then runs twice: look at the service's own journal first.
    """
    printer = Printer(json)

    async def settle(client: PlatformClient) -> claim_reads.SettleResult:
        live: tuple[str, ...] | Unavailable = ()
        if not holder_is_gone:
            live = await claim_reads.list_holders(client.tables)
        if isinstance(live, Unavailable):
            return live
        return await claim_reads.settle(
            client.tables,
            key,
            operator,
            Verdict.RAN if ran else Verdict.NOT_RUN,
            live,
        )

    told = run(platform, settle)
    match told:
        case claim_reads.Settled():
            printer.say(
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
                'list the claims again to see',
            )
        case Unavailable():
            printer.unreadable(told)


def _claim_text(claim: claim_reads.OpenClaim) -> str:
    row = claim.row
    stage = 'running or its holder is gone'
    if row.state is ClaimState.DONE:
        stage = 'done, outcome unknown'
    return f'{claim.key} daemon={row.daemon} request={row.request_id} {stage}'
