"""Map outcomes to HTTP responses."""

from __future__ import annotations

import dataclasses
import math
import types

import msgspec

from nutmegspoke import outcomes

REQUEST_ID_HEADER = 'Nutmegspoke-Request-Id'
EXECUTED_HEADER = 'Nutmegspoke-Executed'
REASON_HEADER = 'Nutmegspoke-Reason'
REPLAYED_HEADER = 'Nutmegspoke-Replayed'
RETRY_AFTER_HEADER = 'Retry-After'
JSON_TYPE = 'application/json'

_REFUSAL_STATUS = types.MappingProxyType(
    {
        outcomes.RefusalReason.BAD_REQUEST: 400,
        outcomes.RefusalReason.BODY_TOO_LARGE: 413,
        outcomes.RefusalReason.HEADER_TOO_LARGE: 431,
        outcomes.RefusalReason.NO_ROUTE: 404,
        outcomes.RefusalReason.UNKNOWN_MODEL: 404,
        outcomes.RefusalReason.METHOD_NOT_ALLOWED: 405,
        outcomes.RefusalReason.UNKNOWN_TEAM: 403,
        outcomes.RefusalReason.KEY_REQUIRED: 400,
        outcomes.RefusalReason.KEY_REUSED: 409,
        outcomes.RefusalReason.KEY_RUNNING: 409,
        outcomes.RefusalReason.QUEUE_FULL: 429,
        outcomes.RefusalReason.TEAM_LIMIT: 429,
        outcomes.RefusalReason.DEADLINE: 503,
        outcomes.RefusalReason.NO_TARGET: 503,
        outcomes.RefusalReason.TARGET_REFUSED: 503,
        outcomes.RefusalReason.TARGET_UNREACHABLE: 503,
        outcomes.RefusalReason.RETRY_BUDGET: 503,
        outcomes.RefusalReason.QUARANTINED: 429,
        outcomes.RefusalReason.STORE_UNAVAILABLE: 503,
        outcomes.RefusalReason.CLAIM_STALE: 503,
        outcomes.RefusalReason.CLAIM_LIMIT: 429,
        outcomes.RefusalReason.NOT_READY: 503,
        outcomes.RefusalReason.STOPPING: 503,
    },
)
_UNKNOWN_STATUS = types.MappingProxyType(
    {
        outcomes.UnknownReason.ANSWER_LOST: 502,
        outcomes.UnknownReason.ANSWER_TIMEOUT: 504,
        outcomes.UnknownReason.HOLDER_GONE: 502,
        outcomes.UnknownReason.STREAM_LOST: 502,
        outcomes.UnknownReason.STOP_LIMIT: 502,
        outcomes.UnknownReason.RESUME_MISMATCH: 502,
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """An HTTP response ready to be sent.

    :param status: HTTP status.
    :param body: body in bytes.
    :param content_type: media type of the body.
    :param headers: names and values of further headers.
    """

    status: int
    body: bytes
    content_type: str
    headers: dict[str, str]


class ErrorBody(msgspec.Struct):
    """Error in the format that completion clients expect.

    :param message: description of the error for the caller.
    :param type: the reason.
    :param executed: ``yes``, ``no`` or ``unknown``.
    :param request_id: id of the request.
    :param retry_after_s: time after which to retry; absent if a retry cannot
        help.
    """

    message: str
    type: str
    executed: str
    request_id: str
    retry_after_s: float | None = None


class _ErrorEnvelope(msgspec.Struct):
    error: ErrorBody


def status_of(outcome: outcomes.Outcome) -> int:
    """Return the HTTP status of an outcome."""
    match outcome:
        case outcomes.Completed(status=status) | outcomes.Failed(status=status):
            return status
        case outcomes.NotRun(reason=reason):
            return _REFUSAL_STATUS[reason]
        case outcomes.Unknown(reason=reason):
            return _UNKNOWN_STATUS[reason]


def to_http_answer(outcome: outcomes.Outcome, request_id: str) -> HttpAnswer:
    """Return the HTTP response for an outcome."""
    headers = {
        REQUEST_ID_HEADER: request_id,
        EXECUTED_HEADER: outcomes.executed(outcome).value,
    }
    match outcome:
        case outcomes.Completed() | outcomes.Failed():
            if outcome.replayed:
                headers[REPLAYED_HEADER] = 'yes'
            return HttpAnswer(
                outcome.status,
                outcome.body,
                outcome.content_type,
                headers,
            )
        case outcomes.NotRun() | outcomes.Unknown():
            headers[REASON_HEADER] = outcome.reason.value
            if outcome.retry_after_s is not None:
                headers[RETRY_AFTER_HEADER] = _whole_seconds(
                    outcome.retry_after_s,
                )
            return HttpAnswer(
                status_of(outcome),
                error_body(outcome, request_id),
                JSON_TYPE,
                headers,
            )


def error_body(
    outcome: outcomes.NotRun | outcomes.Unknown,
    request_id: str,
) -> bytes:
    """Return the JSON body of a refusal or an unknown outcome."""
    envelope = _ErrorEnvelope(
        ErrorBody(
            message=outcome.detail or outcome.reason.replace('_', ' '),
            type=outcome.reason.value,
            executed=outcomes.executed(outcome).value,
            request_id=request_id,
            retry_after_s=outcome.retry_after_s,
        ),
    )
    return msgspec.json.encode(envelope)


def _whole_seconds(seconds_s: float) -> str:
    return str(max(1, math.ceil(seconds_s)))
