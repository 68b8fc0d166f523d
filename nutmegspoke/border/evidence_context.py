"""The evidence of the request that the present task works for."""

from __future__ import annotations

import contextlib
import contextvars
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.evidence.records import (
    ClaimStep,
    Event,
    Matched,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from nutmegspoke.border import matching
    from nutmegspoke.border.evidence_log import EvidenceLog


@dataclasses.dataclass(frozen=True, slots=True)
class _Trail:
    """Where the events of a request go."""

    log: EvidenceLog
    request_id: str


_trail: contextvars.ContextVar[_Trail | None] = contextvars.ContextVar(
    'nutmegspoke_evidence',
    default=None,
)


@contextlib.contextmanager
def open_trail(log: EvidenceLog, request_id: str) -> Iterator[None]:
    """Send the events of this task, and of those it starts, to a request.

    If the block ends before the request has, its caller is gone.

    :param log: the evidence log.
    :param request_id: id of the request.
    """
    log.begin(request_id)
    token = _trail.set(_Trail(log, request_id))
    try:
        yield
    finally:
        _trail.reset(token)
        log.abandon(request_id)


def note(event: Event) -> None:
    """Add an event to the evidence of the present request, if there is one."""
    trail = _trail.get()
    if trail is not None:
        trail.log.note(trail.request_id, event)


def note_matched(matched: matching.Matched) -> None:
    """Add the row that the present request was matched to."""
    note(
        Matched(
            matched.route.name,
            matched.pool.name,
            matched.team,
            matched.revision,
            matched.route.repeatable,
        ),
    )


def note_claim(step: str, key: str) -> None:
    """Add what happened to the claim of a call that may not be repeated."""
    note(ClaimStep(step, key))
