"""Outcomes of a request, with their reasons."""

from __future__ import annotations

import dataclasses
import enum


class Executed(enum.StrEnum):
    """Whether a target ran the call, as reported to the caller."""

    YES = 'yes'
    NO = 'no'
    UNKNOWN = 'unknown'


class RefusalReason(enum.StrEnum):
    """Reason why a call was not run."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    HEADER_TOO_LARGE = 'header_too_large'
    NO_ROUTE = 'no_route'
    UNKNOWN_MODEL = 'unknown_model'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    UNKNOWN_TEAM = 'unknown_team'
    KEY_REQUIRED = 'key_required'
    KEY_REUSED = 'key_reused'
    KEY_RUNNING = 'key_running'
    QUEUE_FULL = 'queue_full'
    TEAM_LIMIT = 'team_limit'
    DEADLINE = 'deadline'
    NO_TARGET = 'no_target'
    TARGET_REFUSED = 'target_refused'
    TARGET_UNREACHABLE = 'target_unreachable'
    RETRY_BUDGET = 'retry_budget'
    QUARANTINED = 'quarantined'
    STORE_UNAVAILABLE = 'store_unavailable'
    CLAIM_STALE = 'claim_stale'
    CLAIM_LIMIT = 'claim_limit'
    NOT_READY = 'not_ready'
    STOPPING = 'stopping'


class UnknownReason(enum.StrEnum):
    """Reason why it is unknown whether a call ran."""

    ANSWER_LOST = 'answer_lost'
    ANSWER_TIMEOUT = 'answer_timeout'
    HOLDER_GONE = 'holder_gone'
    STREAM_LOST = 'stream_lost'
    STOP_LIMIT = 'stop_limit'
    RESUME_MISMATCH = 'resume_mismatch'


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The call ran, and its answer is complete.

    :param status: HTTP status of the target's answer.
    :param body: body of the answer in bytes; empty for a streamed answer.
    :param content_type: media type of the body.
    :param replayed: whether the answer was stored by an earlier call with the
        same key.
    """

    status: int
    body: bytes = b''
    content_type: str = 'application/json'
    replayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The call was not run.

    :param reason: reason of the refusal.
    :param retry_after_s: time after which the caller may retry; ``None`` if a
        retry can't succeed.
    :param detail: explanation for the caller.
    """

    reason: RefusalReason
    retry_after_s: float | None = None
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The call ran, and the target answered with an error.

    :param status: HTTP status of the target's answer.
    :param body: body of the answer in bytes.
    :param content_type: media type of the body.
    :param replayed: whether the answer was stored by an earlier call with the
        same key.
    """

    status: int
    body: bytes = b''
    content_type: str = 'application/json'
    replayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """It is unknown whether the call ran.

    :param reason: reason why it is unknown.
    :param retry_after_s: time after which the outcome may be known; ``None`` if
        it never will be.
    :param detail: explanation for the caller.
    """

    reason: UnknownReason
    retry_after_s: float | None = None
    detail: str = ''


Outcome = Completed | NotRun | Failed | Unknown


def executed(outcome: Outcome) -> Executed:
    """Return whether the call with this outcome ran.

    Callers identify a call by its idempotency key. A retry with a key that is
    still in use was not run itself, but the first request with the key may
    run, so the result is ``UNKNOWN``.

    :param outcome: any outcome.
    """
    match outcome:
        case Completed() | Failed():
            return Executed.YES
        case NotRun(reason=RefusalReason.KEY_RUNNING):
            return Executed.UNKNOWN
        case NotRun():
            return Executed.NO
        case Unknown():
            return Executed.UNKNOWN
