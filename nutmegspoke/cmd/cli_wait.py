"""Waiting until daemons have a revision in force."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import typer

from nutmegspoke.border import daemon_client, loop
from nutmegspoke.cmd.cli_output import ExitCode, Printer

if TYPE_CHECKING:
    from collections.abc import Sequence

_POLL_INTERVAL_S = 0.2


def wait_in_force(
    printer: Printer,
    revision: int,
    urls: Sequence[str],
    token: str,
    limit_s: float,
) -> None:
    """Wait until all daemons have a revision in force; exit if one has not.

    Each daemon is reported on standard error when it has the revision.

    :param revision: the revision to wait for.
    :param urls: URLs of the daemons' operators' ports.
    :param token: the operators' token.
    :param limit_s: timeout in seconds.
    """
    if not urls:
        printer.fail(
            ExitCode.FAULTS,
            f'revision {revision} is accepted, '
            'but --wait needs at least one --daemon',
        )
    with loop.new_runner() as runner:
        lagging = runner.run(_poll_daemons(revision, urls, token, limit_s))
    if lagging:
        printer.fail(
            ExitCode.NOT_IN_FORCE,
            '\n'.join(
                (
                    f'revision {revision} is accepted, but after '
                    f'{limit_s:g} s these daemons do not have it:',
                    *(_lagging_text(answer) for answer in lagging),
                ),
            ),
            revision=revision,
            daemons=[answer.url for answer in lagging],
        )
    printer.print_result(
        f'in force at {len(urls)} of {len(urls)} daemons',
        result='in_force',
        revision=revision,
        daemons=list(urls),
    )


async def _poll_daemons(
    revision: int,
    urls: Sequence[str],
    token: str,
    limit_s: float,
) -> list[daemon_client.DaemonReply]:
    started_s = time.monotonic()
    lagging: list[daemon_client.DaemonReply] = []
    pending_urls = list(urls)
    while pending_urls:
        answers = await daemon_client.fetch_statuses(pending_urls, token)
        waited_s = time.monotonic() - started_s
        for answer in answers:
            if answer.has_revision(revision):
                typer.echo(f'{answer.url}: after {waited_s:.1f} s', err=True)
        lagging = [
            answer for answer in answers if not answer.has_revision(revision)
        ]
        if waited_s >= limit_s:
            return lagging
        pending_urls = [answer.url for answer in lagging]
        if pending_urls:
            await asyncio.sleep(_POLL_INTERVAL_S)
    return []


def _lagging_text(answer: daemon_client.DaemonReply) -> str:
    if isinstance(answer.status, daemon_client.StatusUnavailable):
        return f'{answer.url}: {answer.status.reason}'
    return f'{answer.url}: revision {answer.status.revision}'
