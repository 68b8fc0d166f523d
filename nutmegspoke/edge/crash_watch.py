"""Finds out which requests run on targets that crash, and refuses them."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.retries.notices import RunAtRisk
from nutmegspoke.retries.quarantine import Clear, SendAlone

if TYPE_CHECKING:
    from collections.abc import Iterable

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.target_connections import TargetConnections
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.entry_host import TargetEntry

# A process that ends may reset its connections some milliseconds before it
# closes its port.
_PORT_CLOSE_S = 0.05
# A request that may be sent again waits at most this long for the check whether
# its last target has crashed.
_CHECK_TIMEOUT_S = 0.1
_Checks = dict[str, set[asyncio.Task[None]]]
# Time for which a run must write until it is at risk no more, and proves the
# parts of its prompt sound.
_PROOF_S = 0.5
# Runs that the log line of a crash contains.
_MAX_LOGGED_RUNS = 16


@dataclasses.dataclass(eq=False, slots=True)
class WatchedRun:
    """A request in flight on targets.

    :param fingerprint: digest of the request.
    :param first: target to which it was sent.
    :param targets: starts of all targets that run it.
    :param shared_parts: ids of the parts of its prompt that others may share.
    :param first_event_s: time of its first event; ``None`` before it.
    :param is_at_risk: whether it may be the cause if a target crashes now.
    """

    fingerprint: str
    first: TargetEntry | None
    targets: tuple[str, ...]
    shared_parts: tuple[str, ...] = ()
    first_event_s: float | None = None
    is_at_risk: bool = True


class CrashWatch:
    """Watch over the targets that run requests, for calls and drafts."""

    def __init__(
        self,
        view: View,
        connections: TargetConnections,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        """Start without requests in flight."""
        self._view = view
        self._connections = connections
        self._log = log
        self._clock = clock
        # Runs in flight, by the start of each target that runs them.
        self._runs: dict[str, set[WatchedRun]] = {}
        # Checks in progress, by the fingerprint of the request.
        self._checks: _Checks = {}
        self._later_checks: _Checks = {}

    async def find_refusal(
        self, context: RequestContext, *, has_answer: bool = False
    ) -> outcomes.NotRun | None:
        """Return why a request must not be sent to a target now.

        :param has_answer: whether the caller has a part of the answer.
        :returns: ``None`` if it may be sent.
        """
        await _wait_for_checks(self._checks, context.fingerprint)
        if self._is_suspect(context):
            await _wait_for_checks(self._later_checks, context.fingerprint)
        now_s = self._clock.now_s()
        quarantine = self._view.crashes.quarantine
        decision = quarantine.check(context.fingerprint, now_s)
        is_refused = isinstance(decision, outcomes.NotRun)
        if is_refused and has_answer:
            is_refused = quarantine.must_stop(context.fingerprint, now_s)
        if is_refused:
            return decision
        return self._view.crashes.parts.check(context.facts.shared_parts, now_s)

    def _is_suspect(self, context: RequestContext) -> bool:
        now_s = self._clock.now_s()
        crashes = self._view.crashes
        decision = crashes.quarantine.check(context.fingerprint, now_s)
        if isinstance(decision, SendAlone):
            return True
        return crashes.parts.has_suspect(context.facts.shared_parts, now_s)

    def may_crash(self, context: RequestContext) -> bool:
        """Return whether a request may have crashed a target.

        It is so while a target that ran it is being checked, too.
        """
        fingerprint = context.fingerprint
        if fingerprint in self._checks or fingerprint in self._later_checks:
            return True
        now_s = self._clock.now_s()
        decision = self._view.crashes.quarantine.check(fingerprint, now_s)
        if not isinstance(decision, Clear):
            return True
        return self._is_suspect(context)

    def started(
        self, context: RequestContext, targets: Iterable[str]
    ) -> WatchedRun:
        """Record that a request was sent to the first of some targets."""
        entries = [self._view.targets.find(name) for name in targets]
        run = WatchedRun(
            context.fingerprint,
            entries[0],
            tuple(_start_name(entry) for entry in entries if entry),
            context.facts.shared_parts,
        )
        for target in run.targets:
            self._runs.setdefault(target, set()).add(run)
        self._view.crashes.quarantine.started(run.fingerprint, run.targets)
        return run

    def wrote(self, run: WatchedRun) -> None:
        """Record that events of a run were received."""
        now_s = self._clock.now_s()
        if run.first_event_s is None:
            run.first_event_s = now_s
        elif run.is_at_risk and now_s - run.first_event_s >= _PROOF_S:
            self._prove_sound(run, now_s)

    def _prove_sound(self, run: WatchedRun, now_s: float) -> None:
        if run.is_at_risk:
            run.is_at_risk = False
            self._view.crashes.quarantine.completed(
                run.fingerprint, run.targets, now_s
            )
        self._view.crashes.parts.proved_sound(run.shared_parts, now_s)
        self._view.crashes.collect(now_s)

    def ended(self, run: WatchedRun, *, is_broken_off: bool) -> None:
        """Record that a request is no longer in flight.

        :param is_broken_off: whether the first target ended the connection
            without a complete answer; then it is checked for a crash.
        """
        if not is_broken_off or run.first is None:
            self._forget(run)
            return
        check = asyncio.create_task(self._check(run, run.first))
        _add_check(self._checks, run.fingerprint, check)

    def completed(self, run: WatchedRun) -> None:
        """Record that targets completed a request."""
        now_s = self._clock.now_s()
        self._drop(run)
        self._prove_sound(run, now_s)

    def engine_ended(self, name: str) -> None:
        """Record that an engine was found to have ended."""
        entry = self._view.targets.find(name)
        if entry is not None:
            self._crashed(entry)

    async def _check(self, run: WatchedRun, target: TargetEntry) -> None:
        """Check whether a target has crashed; if not, check it once more."""
        if await self._connections.is_refused(target.address):
            self._crashed(target)
            self._forget(run)
            return
        later = asyncio.create_task(self._check_later(run, target))
        _add_check(self._later_checks, run.fingerprint, later)

    async def _check_later(self, run: WatchedRun, target: TargetEntry) -> None:
        await asyncio.sleep(_PORT_CLOSE_S)
        if await self._connections.is_refused(target.address):
            self._crashed(target)
        self._forget(run)

    def _forget(self, run: WatchedRun) -> None:
        self._drop(run)
        if run.is_at_risk:
            self._view.crashes.quarantine.ended(run.fingerprint, run.targets)

    def _drop(self, run: WatchedRun) -> None:
        for target in run.targets:
            runs = self._runs.get(target, set())
            runs.discard(run)
            if not runs:
                self._runs.pop(target, None)

    def _crashed(self, target: TargetEntry) -> None:
        """Record a crash; a target that is leaving ends as announced."""
        listed = self._view.targets.find(target.name)
        if listed is not None and self._view.targets.is_leaving(listed):
            return
        now_s = self._clock.now_s()
        start = _start_name(target)
        runs = self._runs.pop(start, set())
        if runs:
            self._log_crash(start, runs, now_s)
        at_risk = {
            RunAtRisk(
                run.fingerprint,
                run.shared_parts,
                run.first_event_s is not None,
            )
            for run in runs
            if run.is_at_risk
        }
        self._view.crashes.crashed(start, sorted(at_risk), now_s)

    def _log_crash(
        self, start: str, runs: set[WatchedRun], now_s: float
    ) -> None:
        """Log the runs in flight at a crash, those without events first."""
        by_progress = sorted(runs, key=lambda run: _wrote_for_s(run, now_s))
        self._log.decided(
            'target_crashed',
            target=start,
            runs=len(runs),
            runs_in_flight=[
                {
                    'fingerprint': run.fingerprint,
                    'shared_parts': run.shared_parts,
                    'wrote_for_s': round(_wrote_for_s(run, now_s), 3),
                }
                for run in by_progress[:_MAX_LOGGED_RUNS]
            ],
        )


def _add_check(
    checks: _Checks, fingerprint: str, check: asyncio.Task[None]
) -> None:
    """Add a check, which is removed when it is done."""
    running = checks.setdefault(fingerprint, set())
    running.add(check)

    def remove(_: asyncio.Task[None]) -> None:
        running.discard(check)
        if not running:
            checks.pop(fingerprint, None)

    check.add_done_callback(remove)


async def _wait_for_checks(checks: _Checks, fingerprint: str) -> None:
    running = checks.get(fingerprint)
    if running:
        await asyncio.wait(running, timeout=_CHECK_TIMEOUT_S)


def _wrote_for_s(run: WatchedRun, now_s: float) -> float:
    """Return the time since the first event of a run; -1 before it."""
    return -1.0 if run.first_event_s is None else now_s - run.first_event_s


def _start_name(entry: TargetEntry) -> str:
    """Return a name that differs between two starts with the same id."""
    return f'{entry.name}@{entry.started_ms}'
