"""Outcomes of a request: a closed set of values with reasons."""

from __future__ import annotations

import dataclasses
import enum


class Executed(enum.StrEnum):
    """Whether a target ran the call, as told to the caller."""

    YES = 'yes'
    NO = 'no'
    UNKNOWN = 'unknown'


class RefusalReason(enum.StrEnum):
    """Why a call was not run."""

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
    """Why it is not known whether a call ran."""

    ANSWER_LOST = 'answer_lost'
    ANSWER_TIMEOUT = 'answer_timeout'
    HOLDER_GONE = 'holder_gone'
    STREAM_LOST = 'stream_lost'
    STOP_LIMIT = 'stop_limit'
    RESUME_MISMATCH = 'resume_mismatch'


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The call ran and its answer is whole.

    :param status: HTTP status of the target's answer.
    :param body: body of the answer in bytes; empty for a streamed answer.
    :param content_type: media type of the body.
    :param replayed: the answer was stored by an earlier run of the same key.
    """

    status: int
    body: bytes = b''
    content_type: str = 'application/json'
    replayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The call was not run.

    :param reason: why it was refused.
    :param retry_after_s: when to come back; ``None`` if coming back is useless.
    :param detail: a sentence for the caller.
    """

    reason: RefusalReason
    retry_after_s: float | None = None
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The call ran and the target answered with an error of its own.

    :param status: HTTP status of the target's answer.
    :param body: body of the answer in bytes.
    :param content_type: media type of the body.
    :param replayed: the answer was stored by an earlier run of the same key.
    """

    status: int
    body: bytes = b''
    content_type: str = 'application/json'
    replayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The call may have run; nobody can tell.

    :param reason: why it is not known.
    :param retry_after_s: when to ask again; ``None`` if it will not become known.
    :param detail: a sentence for the caller.
    """

    reason: UnknownReason
    retry_after_s: float | None = None
    detail: str = ''


Outcome = Completed | NotRun | Failed | Unknown


def executed(outcome: Outcome) -> Executed:
    """Tell whether the call of this outcome ran.

    A caller knows its call by its idempotency key. While the first request
    with a key has no outcome, a repeat was not run, but the call may run.

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
