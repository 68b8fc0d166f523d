"""Sends final answers to callers: those of targets and the router's own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.edge.work import OwnAnswer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.attempts import CompleteAnswer
    from nutmegspoke.edge.caller_answer import Answer
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.edge_metrics import EdgeMetrics
    from nutmegspoke.edge.event_sender import SentStream
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.forwarded import HeaderCodec

# The caller may try another daemon at once.
_ERROR_RETRY_AFTER_S = 0.1


class AnswerSender:
    """Sender of final answers that logs and counts each request.

    It sends the router's own answers and forwards complete ones of targets.
    """

    def __init__(
        self,
        header_codec: HeaderCodec,
        log: DecisionLog,
        metrics: EdgeMetrics,
        view: View,
        clock: Clock,
    ) -> None:
        """Create a sender."""
        self._header_codec = header_codec
        self._log = log
        self._metrics = metrics
        self._view = view
        self._clock = clock

    async def send_without_route(
        self,
        answer: Answer,
        request_id: str,
        status: OwnAnswer,
        *,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Send a router's own answer to a request without a route."""
        self._log.decided(
            'request_ended',
            request=request_id,
            status=status.value,
            reason=reason,
            tables_version=self._view.version,
        )
        self._metrics.count_request('', status.name, 0.0)
        await self._write(answer, request_id, status, retry_after_s)

    async def send(
        self,
        context: RequestContext,
        status: OwnAnswer,
        *,
        reason: str,
        retry_after_s: float | None = None,
        log_fields: Mapping[str, object] | None = None,
    ) -> None:
        """Send a router's own answer to a request.

        :param log_fields: further fields of the log: values that led to the
            answer.
        """
        fields = dict(log_fields or {})
        if retry_after_s is not None:
            fields['retry_after_s'] = round(retry_after_s, 3)
        self.record_end(
            context, status.name.lower(), status.value, reason, fields
        )
        request_id = context.facts.request_id
        await self._write(context.answer, request_id, status, retry_after_s)

    async def send_error(
        self, context: RequestContext, error: Exception
    ) -> None:
        """Answer a request whose handler failed.

        An answer that has begun is aborted instead. The answer says that the
        request has not run only if no target was selected before.
        """
        if context.answer.has_begun:
            self.record_end(context, 'error', 0, repr(error))
            context.answer.abort()
            return
        status = OwnAnswer.FAILED
        retry_after_s = None
        if not context.has_target:
            status = OwnAnswer.NOT_RUN
            retry_after_s = _ERROR_RETRY_AFTER_S
        self.record_end(context, 'error', status.value, repr(error))
        await self._write(
            context.answer, context.facts.request_id, status, retry_after_s
        )

    async def forward(
        self, context: RequestContext, target_answer: CompleteAnswer
    ) -> None:
        """Forward the answer of a target to the caller, unchanged."""
        took_s = self._clock.now_s() - context.received_s
        self.record_end(
            context,
            'answered',
            target_answer.status,
            '',
            {'is_late': 0 < context.route.goal_s < took_s},
        )
        headers = self._header_codec.returned_headers(target_answer.headers)
        await context.answer.send_complete(
            target_answer.status, headers, target_answer.body
        )

    async def end_stream(
        self, context: RequestContext, stream: SentStream, status: int
    ) -> None:
        """Complete a stream whose events were sent."""
        self.record_end(
            context,
            'answered',
            status,
            '',
            {
                **stream.timing_fields(context.received_s),
                'is_late': stream.is_late(context.received_s, context.route),
            },
        )
        await context.answer.end()

    def cut_stream(
        self, context: RequestContext, stream: SentStream, reason: str
    ) -> None:
        """Abort a stream, so that the caller sees that it is incomplete."""
        listed = [
            name
            for name in context.targets
            if self._view.targets.find(name) is not None
        ]
        fields = {
            **stream.timing_fields(context.received_s),
            **stream.cut_fields(self._clock.now_s()),
            'targets_listed': listed,
        }
        self.record_end(context, 'cut', 0, reason, fields)
        context.answer.abort()

    def record_end(
        self,
        context: RequestContext,
        outcome: str,
        status: int,
        reason: str,
        log_fields: Mapping[str, object] | None = None,
    ) -> None:
        """Log and count the end of a request."""
        now_s = self._clock.now_s()
        took_s = now_s - context.received_s
        fields = dict(log_fields or {})
        if context.facts.prompt_tokens:
            fields['prompt_tokens'] = context.facts.prompt_tokens
            fields['max_answer_tokens'] = context.facts.max_answer_tokens
        if context.facts.shared_parts:
            fields['shared_parts'] = context.facts.shared_parts
        if outcome != 'answered':
            fields['tables_age_s'] = round(self._view.tables_age_s(now_s), 3)
            fields['fingerprint'] = context.fingerprint
        self._log.decided(
            'request_ended',
            request=context.facts.request_id,
            route=context.route.name,
            team=context.team,
            priority=context.priority,
            outcome=outcome,
            status=status,
            reason=reason,
            sends=context.sends,
            targets=context.targets,
            may_have_run=context.may_have_run,
            took_s=round(took_s, 4),
            left_s=round(context.left_s(now_s), 3),
            tables_version=self._view.version,
            **fields,
        )
        self._metrics.count_request(context.route.name, outcome, took_s)

    async def _write(
        self,
        answer: Answer,
        request_id: str,
        status: OwnAnswer,
        retry_after_s: float | None,
    ) -> None:
        headers = self._header_codec.own_answer_headers(request_id)
        if retry_after_s is not None:
            headers.append((b'Retry-After', b'%.3f' % retry_after_s))
        await answer.send_complete(status.value, headers, b'')
