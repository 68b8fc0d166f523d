"""Run calls of plain services."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.border import evidence_context, service_client
from nutmegspoke.border.call_attempts import CallAttempts, ServiceTargets
from nutmegspoke.border.claim_holders import PeerLiveness, holder_name
from nutmegspoke.border.claim_keeper import ClaimKeeper
from nutmegspoke.border.call_parts import CallServices
from nutmegspoke.border.call_run import call_fingerprint
from nutmegspoke.border.http_sessions import NAME as SESSIONS
from nutmegspoke.border.http_sessions import HttpSessions
from nutmegspoke.border.peers import NAME as PEERS
from nutmegspoke.border.peers import Peers
from nutmegspoke.border.target_watch import NAME as TARGETS
from nutmegspoke.border.target_watch import TargetWatch
from nutmegspoke.claims import steps
from nutmegspoke.claims.decider import ClaimDecider, ClaimLimits

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.metadata_store import TableService
    from nutmegspoke.requests import CallRequest

logger = logging.getLogger(__name__)

NAME = 'calls'
_STOP_LIMIT_S = 10.0


class CallService:
    """Service that runs calls.

    Calls of routes that are not repeatable run at most once.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        tables: TableService,
        targets: ServiceTargets,
        daemon: str,
        liveness: steps.DaemonLiveness | None = None,
        limits: ClaimLimits | None = None,
        call_services: CallServices | None = None,
    ) -> None:
        """Create the service.

        :param clock: the process's clock.
        :param tables: the platform's table service.
        :param targets: the targets of each pool.
        :param daemon: name of this process, not used by any earlier one.
        :param liveness: reports which daemons are alive.
        :param limits: limits of the claims.
        :param call_services: services that decide on calls; new ones by default.
        """
        call_services = call_services or CallServices.new(clock, targets)
        self._gate = call_services.gate
        self._quarantine = call_services.quarantine
        decider = ClaimDecider(
            daemon,
            liveness or steps.UnknownLiveness(),
            limits or ClaimLimits(),
        )
        self._claims = ClaimKeeper(clock, tables, decider)
        self._client = service_client.ServiceClient()
        self._attempts = CallAttempts(
            clock, targets, self._client, call_services
        )
        self._running: set[asyncio.Task[outcomes.Outcome]] = set()

    async def start(self) -> None:
        """Start the HTTP client and the writer of outcomes."""
        await self._client.start()
        await self._claims.start()

    async def stop(self) -> None:
        """Finish the calls in flight and write their outcomes.

        A call that is still running after ``_STOP_LIMIT_S`` is cancelled and
        its outcome is stored as unknown.
        """
        if self._running:
            await asyncio.wait(tuple(self._running), timeout=_STOP_LIMIT_S)
        unfinished = tuple(self._running)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)
        await self._claims.stop(_STOP_LIMIT_S)
        await self._client.stop()

    async def call(self, request: CallRequest) -> outcomes.Outcome:
        """Run a call.

        The call continues if its caller disconnects, so that its outcome is
        still stored.

        :param request: the call.
        """
        task = asyncio.create_task(self._run(request))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return await asyncio.shield(task)

    async def _run(self, request: CallRequest) -> outcomes.Outcome:
        if not (request.route.repeatable or request.idempotency_key):
            return outcomes.NotRun(
                outcomes.RefusalReason.KEY_REQUIRED,
                detail='the route needs an Idempotency-Key header',
            )
        decision = self._quarantine.check(call_fingerprint(request))
        if isinstance(decision, outcomes.NotRun):
            return decision
        refusal = await self._gate.enter(request)
        if refusal is not None:
            return refusal
        is_served = False
        try:
            outcome = await self._run_admitted(request)
            is_served = isinstance(outcome, outcomes.Completed)
        finally:
            self._gate.leave(request, is_served=is_served)
        return outcome

    async def _run_admitted(self, request: CallRequest) -> outcomes.Outcome:
        if request.route.repeatable:
            return await self._attempts.run(request)
        claim = await self._claims.acquire(request)
        if not isinstance(claim, str):
            return claim
        evidence_context.note_claim('inserted', claim)
        outcome = await self._run_claimed(request, claim)
        self._claims.finish(claim, outcome)
        evidence_context.note_claim('finished', claim)
        return outcome

    async def _run_claimed(
        self,
        request: CallRequest,
        key: str,
    ) -> outcomes.Outcome:
        try:
            return await self._attempts.run(
                request,
                lambda: self._claims.dispatch(key),
            )
        except asyncio.CancelledError:
            logger.warning(
                'calls: call cancelled at stop request=%s', request.request_id
            )
            return outcomes.Unknown(outcomes.UnknownReason.STOP_LIMIT)


def setup(app: Application) -> None:
    """Register the call service."""
    peers = app.kernel.find(PEERS, Peers)
    service = CallService(
        clock=app.clock,
        tables=app.kernel.find(SESSIONS, HttpSessions).platform.tables,
        targets=app.kernel.find(TARGETS, TargetWatch),
        daemon=holder_name(peers.name, peers.start_number),
        liveness=PeerLiveness(peers),
        call_services=CallServices.from_kernel(app.kernel),
    )
    app.kernel.register(NAME, service)
