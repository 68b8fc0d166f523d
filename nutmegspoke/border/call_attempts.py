"""Sends a call to one target after another until it has an outcome."""

from __future__ import annotations

import collections
import dataclasses
import logging
from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.border import service_client
from nutmegspoke.claims import steps
from nutmegspoke.routing.choices import TargetChoice

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.border.router import Router
    from nutmegspoke.requests import CallRequest
    from nutmegspoke.targets import Target, TargetDirectory

logger = logging.getLogger(__name__)

_MAX_ATTEMPTS = 3
_RETRY_AFTER_S = 1.0
_MIN_FAILURE_STATUS = 400


@dataclasses.dataclass(slots=True)
class _Run:
    """One call on its way over the targets."""

    request: CallRequest
    tried: list[str] = dataclasses.field(default_factory=list)
    refusal: outcomes.NotRun | None = None
    unknown: outcomes.Unknown | None = None

    def last_word(self, fallback: outcomes.RefusalReason) -> outcomes.Outcome:
        """Return what the caller is told when no target is left."""
        if self.unknown is not None:
            return self.unknown
        if self.refusal is not None:
            return self.refusal
        return outcomes.NotRun(fallback, _RETRY_AFTER_S)


class CallAttempts:
    """Picks targets and sends calls to them."""

    def __init__(
        self,
        clock: Clock,
        targets: TargetDirectory,
        client: service_client.ServiceClient,
        router: Router,
    ) -> None:
        """Create the sender.

        :param clock: the process's clock.
        :param targets: knows the targets of each pool.
        :param client: sends one call.
        :param router: chooses the targets.
        """
        self._clock = clock
        self._targets = targets
        self._client = client
        self._router = router
        self._in_flight: collections.Counter[str] = collections.Counter()

    async def run_once(
        self,
        request: CallRequest,
        dispatch: Callable[[], steps.Step],
    ) -> outcomes.Outcome:
        """Run a call that may not be repeated.

        Another target is tried only while no byte has left, or if a target
        refused the call.

        :param request: the call.
        :param dispatch: asked before the first byte of each attempt.
        """
        gate = _Gate(dispatch)
        run = _Run(request)
        while run.unknown is None and gate.refusal is None:
            attempt = await self._attempt(run, gate, is_fresh=True)
            if not isinstance(attempt, service_client.Attempt):
                return attempt
            answer = _judge(run, attempt)
            if answer is not None:
                return answer
        return gate.refusal or run.last_word(_NO_TARGET)

    async def run_repeatable(self, request: CallRequest) -> outcomes.Outcome:
        """Run a call that may run more than once.

        :param request: the call.
        """
        run = _Run(request)
        gate = _Gate(steps.Proceed)
        while True:
            attempt = await self._attempt(run, gate, is_fresh=False)
            if not isinstance(attempt, service_client.Attempt):
                return attempt
            answer = _judge(run, attempt)
            if answer is not None:
                return answer

    async def _attempt(
        self,
        run: _Run,
        gate: _Gate,
        *,
        is_fresh: bool,
    ) -> service_client.Attempt | outcomes.Outcome:
        request = run.request
        now_s = self._clock.now_s()
        if now_s >= request.deadline_s:
            return run.last_word(outcomes.RefusalReason.DEADLINE)
        target = self._pick(run, now_s)
        if target is None or len(run.tried) >= _MAX_ATTEMPTS:
            return run.last_word(_NO_TARGET)
        run.tried.append(target.name)
        logger.info(
            'calls: call sent request=%s target=%s attempt=%d',
            request.request_id,
            target.name,
            len(run.tried),
        )
        self._in_flight[target.name] += 1
        try:
            attempt = await self._client.send(
                request,
                target,
                request.deadline_s - now_s,
                gate.may_leave,
                is_fresh=is_fresh,
            )
        finally:
            self._in_flight[target.name] -= 1
        if _is_success(attempt):
            self._router.observe(
                target.name,
                self._clock.now_s() - now_s,
                self._in_flight[target.name] + 1,
                request.pool.max_in_flight,
            )
        return attempt

    def _pick(self, run: _Run, now_s: float) -> Target | None:
        usable = self._targets.usable(run.request.pool.name, now_s)
        counted = tuple(
            dataclasses.replace(
                target,
                own_in_flight=self._in_flight[target.name],
            )
            for target in usable
        )
        choice = self._router.choose_target(run.request, counted, run.tried)
        return choice.target if isinstance(choice, TargetChoice) else None


class _Gate:
    """Remembers why a call was kept from leaving."""

    def __init__(self, dispatch: Callable[[], steps.Step]) -> None:
        self._dispatch = dispatch
        self.refusal: outcomes.Outcome | None = None

    def may_leave(self) -> bool:
        """Ask whether the call may leave now."""
        step = self._dispatch()
        if isinstance(step, steps.Answer):
            self.refusal = step.outcome
        return self.refusal is None


_NO_TARGET = outcomes.RefusalReason.NO_TARGET


def _is_success(attempt: service_client.Attempt) -> bool:
    if not isinstance(attempt, service_client.Answered):
        return False
    return attempt.status < _MIN_FAILURE_STATUS


def _judge(
    run: _Run,
    attempt: service_client.Attempt,
) -> outcomes.Outcome | None:
    """Return the outcome of an attempt; ``None`` if another may follow."""
    match attempt:
        case service_client.Answered(status, body, content_type):
            failed = status >= _MIN_FAILURE_STATUS
            kind = outcomes.Failed if failed else outcomes.Completed
            return kind(status, body, content_type)
        case service_client.NotSent(reason):
            run.refusal = outcomes.NotRun(
                outcomes.RefusalReason.TARGET_UNREACHABLE,
                _RETRY_AFTER_S,
                reason,
            )
        case service_client.Declined(retry_after_s):
            run.refusal = outcomes.NotRun(
                outcomes.RefusalReason.TARGET_REFUSED,
                retry_after_s or _RETRY_AFTER_S,
            )
        case service_client.Lost(is_silent, reason):
            run.unknown = outcomes.Unknown(
                outcomes.UnknownReason.ANSWER_TIMEOUT
                if is_silent
                else outcomes.UnknownReason.ANSWER_LOST,
                detail=reason,
            )
        case service_client.Withheld():
            logger.info('calls: call held back reason=claim_stale')
    return None
