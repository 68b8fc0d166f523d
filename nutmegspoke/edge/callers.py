"""Handles callers' requests: finds route, team and pool and dispatches."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from nutmegspoke.admission.answer_memory import HeldAnswer
from nutmegspoke.admission.opening import opening_wait_s
from nutmegspoke.edge.caller_answer import CallerGoneError
from nutmegspoke.edge.work import OwnAnswer, RequestContext
from nutmegspoke.entry_host import DEFAULT_TEAM_PRIORITY
from nutmegspoke.retries.suspects import request_fingerprint
from nutmegspoke.routing.entry_routes import pick_pool

if TYPE_CHECKING:
    from nutmegspoke.admission.answer_memory import AnswerMemory
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.caller_answer import Answer
    from nutmegspoke.edge.drafts import DraftHandler
    from nutmegspoke.edge.own_answers import AnswerSender
    from nutmegspoke.edge.plain_calls import PlainCalls
    from nutmegspoke.edge.view import View
    from nutmegspoke.entry_host import (
        EntryPool,
        EntryRoute,
        EntryTables,
        Team,
    )
    from nutmegspoke.forwarded import CallerRequest, HeaderCodec, RequestFacts

logger = logging.getLogger(__name__)

# A daemon that has just started receives the tables within some round trips.
_FIRST_TABLES_S = 0.2
# Answers are sent this long before the timeout of the route.
_ANSWER_MARGIN_S = 0.02
# A handler is cancelled when its caller disconnects.
_CALLER_GONE_ERRORS = (asyncio.CancelledError, CallerGoneError)


class CallerHandler:
    """Handler of callers' requests."""

    def __init__(
        self,
        view: View,
        header_codec: HeaderCodec,
        plain_calls: PlainCalls,
        drafts: DraftHandler,
        answer_sender: AnswerSender,
        answer_memory: AnswerMemory,
        clock: Clock,
    ) -> None:
        """Create a handler that dispatches to plain calls and drafts."""
        self._view = view
        self._header_codec = header_codec
        self._plain_calls = plain_calls
        self._drafts = drafts
        self._answer_sender = answer_sender
        self._answer_memory = answer_memory
        self._clock = clock
        self._started_s = clock.now_s()

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answer a request; the task is cancelled if the caller disconnects."""
        facts = self._header_codec.read_request(request)
        if self._view.tables is None:
            await self._view.wait_for_tables(_FIRST_TABLES_S)
        tables = self._view.tables
        if tables is None:
            await self._answer_sender.send_without_route(
                answer,
                facts.request_id,
                OwnAnswer.NOT_RUN,
                reason='no tables yet',
                retry_after_s=self._opening_wait_s(facts),
            )
            return
        route = self._view.routes.match(facts.host_name, facts.path)
        if route is None:
            await self._refuse(answer, facts, OwnAnswer.NO_ROUTE)
            return
        team = tables.team_by_key.get(facts.team_key)
        if tables.has_teams and team is None and not route.is_public:
            await self._refuse(answer, facts, OwnAnswer.UNKNOWN_KEY)
            return
        await self._serve(
            self._new_context(request, facts, route, team, answer)
        )

    def _opening_wait_s(self, facts: RequestFacts) -> float:
        """Return when a caller may return to a daemon without tables."""
        closed_s = self._clock.now_s() - self._started_s
        return opening_wait_s(closed_s, facts.deadline_s, facts.request_id)

    async def _refuse(
        self,
        answer: Answer,
        facts: RequestFacts,
        own_answer: OwnAnswer,
    ) -> None:
        await self._answer_sender.send_without_route(
            answer,
            facts.request_id,
            own_answer,
            reason=own_answer.name.lower(),
        )

    def _new_context(
        self,
        request: CallerRequest,
        facts: RequestFacts,
        route: EntryRoute,
        team: Team | None,
        answer: Answer,
    ) -> RequestContext:
        now_s = self._clock.now_s()
        remaining_s = max(0.0, route.timeout_s - _ANSWER_MARGIN_S)
        if facts.deadline_s is not None:
            remaining_s = min(remaining_s, facts.deadline_s)
        tables = self._view.tables
        pool_name = pick_pool(route.pools, random.random())  # noqa: S311
        team_name = team.name if team else ''
        return RequestContext(
            request=request,
            facts=facts,
            route=route,
            pool=_pool(tables, pool_name),
            team=team_name,
            priority=(
                team.priority if team else DEFAULT_TEAM_PRIORITY,
                route.priority,
            ),
            answer=answer,
            received_s=now_s,
            deadline_s=now_s + remaining_s,
            fingerprint=_fingerprint(request, facts, team_name),
            held=HeldAnswer(self._answer_memory),
        )

    async def _serve(self, context: RequestContext) -> None:
        try:
            if context.pool is None:
                await self._answer_sender.send(
                    context,
                    OwnAnswer.NOT_RUN,
                    reason='route without pool',
                )
                return
            now_s = self._clock.now_s()
            self._view.retry_budgets.for_pool(context.pool.name).count_request(
                now_s
            )
            if context.pool.profile is None:
                await self._plain_calls.serve(context)
            else:
                await self._drafts.serve(context, context.pool.profile)
        except _CALLER_GONE_ERRORS as error:
            self._answer_sender.record_end(
                context, 'caller_left', 0, repr(error)
            )
            raise
        except Exception as error:
            logger.exception('callers: request failed')
            await self._answer_sender.send_error(context, error)
        finally:
            context.held.release()


def _fingerprint(request: CallerRequest, facts: RequestFacts, team: str) -> str:
    method = request.method.decode('latin-1')
    url = request.url.decode('latin-1')
    return request_fingerprint(
        team, f'{method} {facts.host_name}{url}', request.body
    )


def _pool(tables: EntryTables | None, name: str | None) -> EntryPool | None:
    if tables is None or name is None:
        return None
    return tables.pools.get(name)
