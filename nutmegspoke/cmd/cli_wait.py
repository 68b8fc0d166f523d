"""Waits until daemons have a revision in force."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import typer

from nutmegspoke.border import daemon_client, loop
from nutmegspoke.cmd.cli_output import ExitCode, Printer

if TYPE_CHECKING:
    from collections.abc import Sequence

_POLL_PAUSE_S = 0.2


def wait_in_force(
    printer: Printer,
    revision: int,
    urls: Sequence[str],
    token: str,
    limit_s: float,
) -> None:
    """Report each daemon that has a revision; end the program if one hasn't.

    :param revision: the revision to wait for.
    :param urls: URLs of the daemons' operators' ports.
    :param token: the operators' token.
    :param limit_s: the longest wait.
    """
    if not urls:
        printer.fail(
            ExitCode.FAULTS,
            f'revision {revision} is accepted, '
            'but --wait needs at least one --daemon',
        )
    with loop.new_runner() as runner:
        lagging = runner.run(_wait(revision, urls, token, limit_s))
    if lagging:
        printer.fail(
            ExitCode.NOT_IN_FORCE,
            '\n'.join(
                (
                    f'revision {revision} is accepted, but after '
                    f'{limit_s:g} s these daemons do not have it:',
                    *(_lagging_text(told) for told in lagging),
                ),
            ),
            revision=revision,
            daemons=[told.url for told in lagging],
        )
    printer.say(
        f'in force at {len(urls)} of {len(urls)} daemons',
        result='in_force',
        revision=revision,
        daemons=list(urls),
    )


async def _wait(
    revision: int,
    urls: Sequence[str],
    token: str,
    limit_s: float,
) -> list[daemon_client.DaemonReply]:
    started_s = time.monotonic()
    lagging: list[daemon_client.DaemonReply] = []
    waiting = list(urls)
    while waiting:
        told = await daemon_client.fetch_statuses(waiting, token)
        waited_s = time.monotonic() - started_s
        for answer in told:
            if answer.has_revision(revision):
                typer.echo(f'{answer.url}: after {waited_s:.1f} s', err=True)
        lagging = [
            answer for answer in told if not answer.has_revision(revision)
        ]
        if waited_s >= limit_s:
            return lagging
        waiting = [answer.url for answer in lagging]
        if waiting:
            await asyncio.sleep(_POLL_PAUSE_S)
    return []


def _lagging_text(told: daemon_client.DaemonReply) -> str:
    if isinstance(told.status, daemon_client.StatusUnavailable):
        return f'{told.url}: {told.status.reason}'
    return f'{told.url}: revision {told.status.revision}'
