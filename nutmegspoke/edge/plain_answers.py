"""Sends the final answers to requests of plain services."""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING

from nutmegspoke.edge.attempts import (
    CompleteAnswer,
    NotSent,
    Refused,
    SentAnswer,
    failure_reason,
)
from nutmegspoke.edge.target_notices import (
    closed_by_limits,
    limit_wait_s,
    open_targets,
    pause_left_s,
)
from nutmegspoke.edge.work import OwnAnswer

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.attempts import FetchResult
    from nutmegspoke.edge.own_answers import AnswerSender
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext

# Time until a target that refused has capacity again: that of a few calls.
_REFUSED_RETRY_AFTER_S = 0.2
# Time until new targets are listed if none is left.
_NO_TARGET_RETRY_AFTER_S = 0.8
# Callers return over this time after the first pause has ended.
_PAUSE_SPREAD_S = 1.0
_CHECKSUMS = 2**32


class PlainAnswers:
    """Sender of final answers: a target's, or the router's own."""

    def __init__(
        self, view: View, answer_sender: AnswerSender, clock: Clock
    ) -> None:
        """Create a sender."""
        self._view = view
        self._answer_sender = answer_sender
        self._clock = clock

    async def send(
        self, context: RequestContext, last_result: FetchResult
    ) -> None:
        """Answer a request with the result of its last attempt."""
        stream = context.stream
        if stream is not None and isinstance(last_result, SentAnswer):
            await self._answer_sender.end_stream(
                context, stream, last_result.status
            )
        elif stream is not None and stream.has_head:
            self._answer_sender.cut_stream(
                context, stream, failure_reason(last_result)
            )
        elif isinstance(last_result, CompleteAnswer):
            await self._answer_sender.forward(context, last_result)
        else:
            await self._send_own_answer(context, last_result)

    async def _send_own_answer(
        self, context: RequestContext, last_result: FetchResult
    ) -> None:
        if context.may_have_run:
            is_late = context.is_out_of_time(self._clock.now_s())
            status = OwnAnswer.TIMEOUT if is_late else OwnAnswer.FAILED
            await self._answer_sender.send(
                context, status, reason=failure_reason(last_result)
            )
        else:
            retry_after_s = self._retry_after_s(context, last_result)
            await self._answer_sender.send(
                context,
                OwnAnswer.NOT_RUN,
                reason=failure_reason(last_result),
                retry_after_s=retry_after_s,
                log_fields=self._refusal_log_fields(context),
            )

    def _refusal_log_fields(self, context: RequestContext) -> dict[str, object]:
        """Return the values that led to a refusal, for the log."""
        now_s = self._clock.now_s()
        live = self._view.targets.live(context.pool.name)
        return {
            'targets_live': len(live),
            'targets_left_out': sum(
                self._view.faults.is_left_out(entry.name, now_s)
                for entry in live
            ),
            'targets_paused': sum(
                self._view.conditions.pauses.is_closed(entry.name, now_s)
                for entry in live
            ),
            'closed_by_limits': len(
                closed_by_limits(self._view, context, now_s)
            ),
            'targets_failed': sorted(context.avoided),
            'targets_version': self._view.targets_version,
        }

    def _retry_after_s(
        self, context: RequestContext, result: FetchResult
    ) -> float:
        """Return when a request that has not run may be sent again."""
        now_s = self._clock.now_s()
        pool = context.pool.name
        left_s = pause_left_s(self._view, pool, now_s)
        if open_targets(self._view, pool, now_s):
            left_s = limit_wait_s(self._view, context, now_s)
        if math.isfinite(left_s):
            return left_s + _spread_s(context.facts.request_id)
        return _usual_retry_after_s(result)


def _spread_s(request_id: str) -> float:
    """Return a delay by which the callers that wait for a pause differ."""
    return zlib.crc32(request_id.encode()) / _CHECKSUMS * _PAUSE_SPREAD_S


def _usual_retry_after_s(result: FetchResult) -> float:
    """Return when a request that has not run may be sent again."""
    if isinstance(result, Refused):
        return _REFUSED_RETRY_AFTER_S
    if isinstance(result, NotSent) and result.retry_after_s is not None:
        return result.retry_after_s
    return _NO_TARGET_RETRY_AFTER_S
