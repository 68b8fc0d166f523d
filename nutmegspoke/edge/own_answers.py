"""Ends requests: with a target's answer, or with one of the router's own."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.attempts import WholeAnswer
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.edge_metrics import EdgeMetrics
    from nutmegspoke.edge.http_server import Answer
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import OwnAnswer, Work
    from nutmegspoke.forwarded import HeaderCodec


class OwnAnswers:
    """Writes final answers, and a line and a count for each."""

    def __init__(
        self,
        dialect: HeaderCodec,
        log: DecisionLog,
        metrics: EdgeMetrics,
        view: View,
        clock: Clock,
    ) -> None:
        """Use the log."""
        self._dialect = dialect
        self._log = log
        self._metrics = metrics
        self._view = view
        self._clock = clock

    async def bare(
        self,
        answer: Answer,
        request_id: str,
        status: OwnAnswer,
        *,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        """End a request that matched no route."""
        self._log.decided(
            'request_ended',
            request=request_id,
            status=status.value,
            reason=reason,
            tables_version=self._view.version,
        )
        self._metrics.request_ended('', status.name, 0.0)
        await self._write(answer, request_id, status, retry_after_s)

    async def send(
        self,
        work: Work,
        status: OwnAnswer,
        *,
        reason: str,
        retry_after_s: float | None = None,
        inputs: Mapping[str, object] | None = None,
    ) -> None:
        """End a request with an answer of the router's own.

        :param inputs: what else decided it, for the log.
        """
        seen = dict(inputs or {})
        if retry_after_s is not None:
            seen['retry_after_s'] = round(retry_after_s, 3)
        self.record(work, status.name.lower(), status.value, reason, seen)
        request_id = work.facts.request_id
        await self._write(work.answer, request_id, status, retry_after_s)

    async def pass_on(self, work: Work, found: WholeAnswer) -> None:
        """End a request with a target's answer, unchanged."""
        self.record(work, 'answered', found.status, '')
        headers = self._dialect.returned_headers(found.headers)
        await work.answer.whole(found.status, headers, found.body)

    def record(
        self,
        work: Work,
        outcome: str,
        status: int,
        reason: str,
        inputs: Mapping[str, object] | None = None,
    ) -> None:
        """Log and count the end of a request."""
        now_s = self._clock.now_s()
        took_s = now_s - work.arrived_s
        self._log.decided(
            'request_ended',
            request=work.facts.request_id,
            route=work.route.name,
            team=work.team,
            outcome=outcome,
            status=status,
            reason=reason,
            sends=work.sends,
            targets=work.targets,
            may_have_run=work.may_have_run,
            took_s=round(took_s, 4),
            left_s=round(work.left_s(now_s), 3),
            tables_version=self._view.version,
            **(inputs or {}),
        )
        self._metrics.request_ended(work.route.name, outcome, took_s)

    async def _write(
        self,
        answer: Answer,
        request_id: str,
        status: OwnAnswer,
        retry_after_s: float | None,
    ) -> None:
        headers = self._dialect.own_answer_headers(request_id)
        if retry_after_s is not None:
            headers.append((b'Retry-After', b'%.3f' % retry_after_s))
        await answer.whole(status.value, headers, b'')
