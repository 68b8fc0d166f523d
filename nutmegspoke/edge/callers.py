"""Answers callers: finds route, team and pool, and hands the request on."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from nutmegspoke.edge.work import OwnAnswer, Work
from nutmegspoke.routing.entry_routes import pick_pool

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.drafts import Drafts
    from nutmegspoke.edge.http_server import Answer
    from nutmegspoke.edge.own_answers import OwnAnswers
    from nutmegspoke.edge.plain_calls import PlainCalls
    from nutmegspoke.edge.view import View
    from nutmegspoke.entry_host import (
        EntryPool,
        EntryRoute,
        EntryTables,
        Team,
    )
    from nutmegspoke.forwarded import CallerRequest, HeaderCodec, RequestFacts

# A daemon that has just started reads the tables within some round trips.
_FIRST_TABLES_S = 0.2
# One that has not is cut off from the store, for longer than that.
_NO_TABLES_RETRY_AFTER_S = 0.5
# Answers leave this long before a route's timeout.
_ANSWER_MARGIN_S = 0.02
_ANYONE = 9


class Callers:
    """Handles the requests of callers."""

    def __init__(
        self,
        view: View,
        dialect: HeaderCodec,
        plain: PlainCalls,
        drafts: Drafts,
        own: OwnAnswers,
        clock: Clock,
    ) -> None:
        """Use the services of both kinds."""
        self._view = view
        self._dialect = dialect
        self._plain = plain
        self._drafts = drafts
        self._own = own
        self._clock = clock

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answer a request; cancelled when the caller leaves."""
        facts = self._dialect.read_request(request)
        if self._view.tables is None:
            await self._view.first_tables(_FIRST_TABLES_S)
        tables = self._view.tables
        if tables is None:
            await self._own.bare(
                answer,
                facts.request_id,
                OwnAnswer.NOT_RUN,
                reason='no tables yet',
                retry_after_s=_NO_TABLES_RETRY_AFTER_S,
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
        await self._serve(self._work(request, facts, route, team, answer))

    async def _refuse(
        self,
        answer: Answer,
        facts: RequestFacts,
        status: OwnAnswer,
    ) -> None:
        await self._own.bare(
            answer,
            facts.request_id,
            status,
            reason=status.name.lower(),
        )

    def _work(
        self,
        request: CallerRequest,
        facts: RequestFacts,
        route: EntryRoute,
        team: Team | None,
        answer: Answer,
    ) -> Work:
        now_s = self._clock.now_s()
        limit_s = max(0.0, route.timeout_s - _ANSWER_MARGIN_S)
        if facts.deadline_s is not None:
            limit_s = min(limit_s, facts.deadline_s)
        tables = self._view.tables
        pool_name = pick_pool(route.pools, random.random())  # noqa: S311
        return Work(
            request=request,
            facts=facts,
            route=route,
            pool=_pool(tables, pool_name),
            team=team.name if team else '',
            priority=(team.priority if team else _ANYONE, route.priority),
            answer=answer,
            arrived_s=now_s,
            deadline_s=now_s + limit_s,
        )

    async def _serve(self, work: Work) -> None:
        try:
            if work.pool is None:
                await self._own.send(
                    work,
                    OwnAnswer.NOT_RUN,
                    reason='route without pool',
                )
                return
            now_s = self._clock.now_s()
            self._view.budgets.for_pool(work.pool.name).count_request(now_s)
            if work.pool.profile is None:
                await self._plain.serve(work)
            else:
                await self._drafts.serve(work, work.pool.profile)
        except BaseException as error:
            self._own.record(work, 'caller_left', 0, repr(error))
            raise


def _pool(tables: EntryTables | None, name: str | None) -> EntryPool | None:
    if tables is None or name is None:
        return None
    return tables.pools.get(name)
