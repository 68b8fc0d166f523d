"""Serves requests to plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.edge.attempts import (
    Broken,
    NotSent,
    Refused,
    Sending,
    WholeAnswer,
    failure_reason,
)
from nutmegspoke.edge.repeats import Repeats
from nutmegspoke.edge.work import OwnAnswer
from nutmegspoke.forwarded import AnswerKind, Dispatch
from nutmegspoke.retries.target_faults import Fault
from nutmegspoke.routing.least_loaded import LeastLoaded

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.attempts import Attempts, WholeResult
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.own_answers import OwnAnswers
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import Work
    from nutmegspoke.entry_host import TargetEntry

# Part of the time left that a first attempt gets if a second may follow.
_FIRST_ATTEMPT_SHARE = 0.45
# Time in which a target that refused has room again: a few calls' work.
_FULL_RETRY_AFTER_S = 0.2
# Time in which new targets are listed if none is left.
_NONE_RETRY_AFTER_S = 0.8


class PlainCalls:
    """Sends plain requests, and again where that is allowed."""

    def __init__(
        self,
        view: View,
        attempts: Attempts,
        own: OwnAnswers,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        """Use the view and the connections."""
        self._repeats = Repeats(view, log, clock)
        self._view = view
        self._attempts = attempts
        self._own = own
        self._clock = clock
        self._loads = LeastLoaded(view.host.availability_zone)

    async def serve(self, work: Work) -> None:
        """Answer a request."""
        last: WholeResult = NotSent('no target')
        is_allowed = work.left_s(self._clock.now_s()) > 0
        while is_allowed:
            target = self._choose(work, self._clock.now_s())
            if target is None:
                break
            last = await self._send(work, target)
            if _is_answered(last):
                break
            is_allowed = self._repeats.allows(
                work,
                _cause(last),
                max_targets=work.route.max_targets,
            )
        await self._answer(work, last)

    def _choose(self, work: Work, now_s: float) -> TargetEntry | None:
        live = self._view.targets.live(work.pool.name)
        usable = [
            entry
            for entry in live
            if not self._view.faults.is_left_out(entry.name, now_s)
        ]
        return self._loads.choose(usable or live, work.avoided, now_s)

    async def _send(self, work: Work, target: TargetEntry) -> WholeResult:
        now_s = self._clock.now_s()
        left_s = work.left_s(now_s)
        dispatch = Dispatch(target.name, work.team, left_s)
        may_retry = work.route.retry_rule.may_retry
        has_next = may_retry and work.route.max_targets > work.sends + 1
        self._loads.sent(target.name)
        try:
            result = await self._attempts.whole(
                Sending(
                    address=target.address,
                    request_id=work.facts.request_id,
                    request=self._attempts.dialect.write_request(
                        work.request,
                        dispatch,
                    ),
                    fresh=not may_retry,
                    limit_s=left_s * (_FIRST_ATTEMPT_SHARE if has_next else 1),
                    max_connections=self._view.connection_share(
                        work.pool, now_s
                    ),
                ),
            )
        finally:
            self._loads.ended(target.name)
        self._learn(work, target, result)
        return result

    def _learn(
        self,
        work: Work,
        target: TargetEntry,
        result: WholeResult,
    ) -> None:
        now_s = self._clock.now_s()
        name = target.name
        work.avoided.add(name)
        if isinstance(result, NotSent):
            fault = Fault.FULL if result.is_full else Fault.UNREACHABLE
            self._view.faults.failed(name, fault, now_s)
            return
        work.sends += 1
        work.targets.append(name)
        if isinstance(result, Refused):
            self._told(target, result.facts.load, now_s)
            fault = Fault.FULL if result.facts.load else Fault.OTHER_TARGET
            self._view.faults.failed(name, fault, now_s)
            return
        work.may_have_run = True
        if _is_error(result):
            self._loads.failed(name, now_s)
        if isinstance(result, WholeAnswer):
            self._told(target, result.facts.load, now_s)
            self._view.faults.succeeded(name, now_s)

    def _told(
        self,
        target: TargetEntry,
        load: tuple[int, int, int] | None,
        now_s: float,
    ) -> None:
        if load is not None:
            running, waiting, _ = load
            self._loads.reported(target.name, running + waiting, now_s)

    async def _answer(self, work: Work, last: WholeResult) -> None:
        if isinstance(last, WholeAnswer):
            await self._own.pass_on(work, last)
        elif work.may_have_run:
            is_late = work.is_out_of_time(self._clock.now_s())
            status = OwnAnswer.TIMEOUT if is_late else OwnAnswer.FAILED
            await self._own.send(work, status, reason=failure_reason(last))
        else:
            retry_after_s = _NONE_RETRY_AFTER_S
            if isinstance(last, Refused):
                retry_after_s = _FULL_RETRY_AFTER_S
            await self._own.send(
                work,
                OwnAnswer.NOT_RUN,
                reason=failure_reason(last),
                retry_after_s=retry_after_s,
                inputs=self._inputs(work),
            )

    def _inputs(self, work: Work) -> dict[str, object]:
        """Return what made a refusal, for the log."""
        now_s = self._clock.now_s()
        live = self._view.targets.live(work.pool.name)
        return {
            'targets_live': len(live),
            'targets_left_out': sum(
                self._view.faults.is_left_out(entry.name, now_s)
                for entry in live
            ),
            'targets_failed': sorted(work.avoided),
            'targets_version': self._view.targets_version,
        }


def _is_answered(result: WholeResult) -> bool:
    return isinstance(result, WholeAnswer) and not _is_error(result)


def _cause(result: WholeResult) -> str:
    if isinstance(result, WholeAnswer):
        return f'answered {result.status}'
    return failure_reason(result)


def _is_error(result: WholeResult) -> bool:
    """Tell whether a target answered with an error of its own, or not."""
    if isinstance(result, WholeAnswer):
        return result.facts.kind == AnswerKind.FAILURE
    return isinstance(result, Broken)
