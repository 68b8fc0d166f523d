"""Records evidence for the request of the current task."""

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
    """Log and request id for the events of the current task."""

    log: EvidenceLog
    request_id: str


_trail: contextvars.ContextVar[_Trail | None] = contextvars.ContextVar(
    'nutmegspoke_evidence',
    default=None,
)


@contextlib.contextmanager
def open_trail(log: EvidenceLog, request_id: str) -> Iterator[None]:
    """Record events of this task and of its child tasks for a request.

    If the block ends before the request has ended, the request is recorded
    as abandoned by its caller.

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
    """Add an event to the evidence of the current request, if any."""
    trail = _trail.get()
    if trail is not None:
        trail.log.note(trail.request_id, event)


def note_matched(matched: matching.Matched) -> None:
    """Record the route and pool that the current request matched."""
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
    """Record a step of the claim of a non-repeatable call."""
    note(ClaimStep(step, key))
