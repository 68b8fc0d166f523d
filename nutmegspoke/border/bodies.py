"""Reads the body of a caller's request within a limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.border import completions

if TYPE_CHECKING:
    from sanic import Request

_DRAFT_PATHS = frozenset((completions.COMPLETIONS_PATH, completions.CHAT_PATH))


async def read_body(
    request: Request, limit_bytes: int
) -> bytes | outcomes.NotRun:
    """Read a body.

    Of a body over the limit no more than the limit is kept; the server reads
    the rest and drops it, so that the caller gets the refusal.

    :param request: request with a streamed body.
    :param limit_bytes: the largest body.
    """
    chunks: list[bytes] = []
    left_bytes = limit_bytes
    while True:
        chunk = await request.stream.read()
        if not chunk:
            return b''.join(chunks)
        left_bytes -= len(chunk)
        if left_bytes < 0:
            return outcomes.NotRun(
                outcomes.RefusalReason.BODY_TOO_LARGE,
                detail=f'the body has more than {limit_bytes} bytes',
            )
        chunks.append(chunk)


def read_named_model(request: Request) -> str | outcomes.NotRun:
    """Return the model that a request names; empty if its path names none."""
    if request.path not in _DRAFT_PATHS:
        return ''
    if request.method != 'POST':
        return outcomes.NotRun(
            outcomes.RefusalReason.METHOD_NOT_ALLOWED,
            detail='completions are asked for with POST',
        )
    return completions.read_model(request.body)
