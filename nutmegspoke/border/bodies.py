"""Read the body of a caller's request up to a limit."""

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
    """Read the body of a request.

    At most ``limit_bytes`` are kept in memory. The server reads and drops the
    rest of a larger body, so that the caller receives the refusal.

    :param request: request with a streamed body.
    :param limit_bytes: size limit of the body.
    :returns: the body, or a refusal if the body is over the limit.
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
    """Return the model named by a request.

    :returns: name of the model; empty if requests to the path name none; a
        refusal if the method or the body is invalid.
    """
    if request.path not in _DRAFT_PATHS:
        return ''
    if request.method != 'POST':
        return outcomes.NotRun(
            outcomes.RefusalReason.METHOD_NOT_ALLOWED,
            detail='completions are asked for with POST',
        )
    return completions.read_model(request.body)
