"""Quarantine of requests that crash targets.

A *suspect* is a request that was in flight on a target when it crashed. A
*candidate* of a crash is a suspect that was also in flight on another target
that crashed earlier.
"""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.retries.crash_records import CrashRecords
from nutmegspoke.retries.notices import (
    ClearNotice,
    CrashNotice,
    NoticeQueue,
    QuarantineNotice,
)
from nutmegspoke.retries.suspects import (
    CompletedRequests,
    RunningRequests,
    SuspectRegistry,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from nutmegspoke.retries.notices import Notice, RunAtRisk
    from nutmegspoke.retries.crash_records import Crash
    from nutmegspoke.retries.suspects import QuarantineSettings

logger = logging.getLogger(__name__)

_MAX_DOUBLINGS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Clear:
    """The request may go to any target."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendAlone:
    """The request may only be sent to a target without another suspect.

    :meth:`Quarantine.allowed_targets` returns these targets.

    :param avoided: names of targets that crashed while running it.
    """

    avoided: frozenset[str]


QuarantineDecision = Clear | SendAlone | outcomes.NotRun


class Quarantine:
    """Tracks suspects and quarantines the request that causes crashes.

    When a target crashes, all requests in flight on it become suspects. Two
    suspects are never sent to the same target at once. If a crash has exactly
    one candidate, that request is quarantined. If it has several, all of them
    stay suspects until another crash has a single candidate, or all but one of
    them complete. A request that was in flight at ``max_crashes`` crashes is
    quarantined in any case, and one that has completed lately is no suspect.

    :ivar suspects: requests that were in flight at a crash.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        """Create a quarantine without suspects.

        :param settings: limits of suspicion and quarantine.
        """
        self._settings = settings
        self._running = RunningRequests()
        self.suspects = SuspectRegistry(settings.max_suspects)
        self._completed = CompletedRequests(
            settings.innocence_s, settings.max_completed
        )
        self._crashes = CrashRecords(self.suspects, settings.crash_window_s)
        self._notices = NoticeQueue()

    def check(self, fingerprint: str, now_s: float) -> QuarantineDecision:
        """Decide whether a request may be sent, and to which targets.

        :param fingerprint: digest of team, route and body.
        :param now_s: current time, in seconds.
        """
        suspect = self.suspects.find(fingerprint)
        if suspect is None:
            return Clear()
        if suspect.is_quarantined(now_s):
            return outcomes.NotRun(
                outcomes.RefusalReason.QUARANTINED,
                suspect.quarantined_until_s - now_s,
                'targets crashed while they ran this request',
            )
        if now_s - suspect.since_s > self._settings.suspicion_s:
            self.suspects.clear(fingerprint)
            return Clear()
        return SendAlone(frozenset(suspect.targets))

    def must_stop(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request in progress must not be sent again.

        It may be while it is quarantined because of two crashes, as its caller
        already has a part of the answer.
        """
        suspect = self.suspects.find(fingerprint)
        if suspect is None or not suspect.is_quarantined(now_s):
            return False
        return suspect.has_crashed_too_many(self._settings)

    def allowed_targets(
        self,
        fingerprint: str,
        targets: Sequence[str],
    ) -> tuple[str, ...]:
        """Return the targets of a pool to which a suspect may be sent now.

        Targets that already run a suspect are excluded, and so are targets
        that crashed while running this one, unless all targets did.

        :param fingerprint: digest of the suspect.
        :param targets: names of the pool's targets that accept new requests.
        :returns: names of targets; empty while the limit on targets that run
            suspects (``max_suspect_share``) is reached.
        """
        free = [name for name in targets if not self._has_suspect(name)]
        share = self._settings.max_suspect_share
        limit = max(1, int(len(targets) * share))
        if len(targets) - len(free) >= limit:
            return ()
        suspect = self.suspects.find(fingerprint)
        crashed = suspect.targets if suspect else frozenset()
        if crashed.issuperset(targets):
            return tuple(free)
        return tuple(name for name in free if name not in crashed)

    def started(
        self,
        fingerprint: str,
        targets: Collection[str],
    ) -> None:
        """Record that a request is in flight on targets."""
        for target in targets:
            self._running.add(fingerprint, target)

    def ended(
        self,
        fingerprint: str,
        targets: Collection[str],
    ) -> None:
        """Record that a request is no longer in flight.

        Its suspicion does not change: the request may have failed.
        """
        for target in targets:
            self._running.remove(fingerprint, target)

    def completed(
        self,
        fingerprint: str,
        targets: Collection[str],
        now_s: float,
    ) -> None:
        """Record that targets completed a request, and clear its suspicion.

        Crashes of which the request was a candidate are evaluated again
        without it.
        """
        self.ended(fingerprint, targets)
        self._completed.add(fingerprint, now_s)
        if not self.suspects.clear(fingerprint):
            return
        logger.info('retries: suspicion lapsed fingerprint=%s', fingerprint)
        self._notices.add(ClearNotice(fingerprint))
        self._withdraw_candidate(fingerprint, now_s)

    def _withdraw_candidate(self, fingerprint: str, now_s: float) -> None:
        for target, crash in self._crashes.withdraw(fingerprint):
            self._notices.add(*self._evaluate_crash(target, crash, now_s))

    def crashed(
        self,
        target: str,
        now_s: float,
        at_risk: Sequence[RunAtRisk] = (),
    ) -> None:
        """Record that a target crashed.

        Further reports of the same crash have no effect, as the target has no
        requests in flight after the first one.

        :param target: name of the target.
        :param now_s: current time, in seconds.
        :param at_risk: requests in flight on it that had not yet written there
            for a while; others of them count as silent.
        """
        in_flight = self._running.pop_target(target)
        if not in_flight:
            return
        suspects, _ = self._completed.split(in_flight, now_s)
        crash = self._crashes.record(target, suspects, now_s, _writing(at_risk))
        notice = CrashNotice(
            target,
            tuple(sorted(suspects)),
            tuple(sorted(crash.candidates)),
            tuple(at_risk),
        )
        self._notices.add(
            notice,
            *self._evaluate_crash(target, crash, now_s),
            *self._quarantine_repeated(target, suspects, now_s),
        )

    def receive_notice(
        self, notice: Notice, age_s: float, now_s: float
    ) -> None:
        """Apply a notice of a peer daemon.

        Notices of crashes older than ``crash_window_s`` and of quarantines
        that have ended are ignored.

        :param notice: the crash or quarantine that the peer reports.
        :param age_s: time since the peer reported it, in seconds.
        :param now_s: current time, in seconds.
        """
        match notice:
            case CrashNotice():
                if age_s > self._settings.crash_window_s:
                    return
                self._apply_crash(notice, now_s)
            case QuarantineNotice():
                self._apply_quarantine(notice, age_s, now_s)
            case ClearNotice():
                self._completed.add(notice.fingerprint, now_s)
                if self.suspects.clear(notice.fingerprint):
                    self._withdraw_candidate(notice.fingerprint, now_s)

    def drain_notices(self) -> tuple[Notice, ...]:
        """Return the notices that were not yet sent to peers, and clear them."""
        return self._notices.drain()

    def _has_suspect(self, target: str) -> bool:
        return not self.suspects.is_disjoint(self._running.requests_on(target))

    def _apply_crash(self, notice: CrashNotice, now_s: float) -> None:
        suspects, innocent = self._completed.split(notice.passengers, now_s)
        self._notices.add(*(ClearNotice(each) for each in sorted(innocent)))
        crash = self._crashes.record(
            notice.target, suspects, now_s, _writing(notice.at_risk)
        )
        crash.candidates.update(set(notice.candidates) - innocent)
        self._evaluate_crash(notice.target, crash, now_s)
        self._quarantine_repeated(notice.target, suspects, now_s)

    def _apply_quarantine(
        self,
        notice: QuarantineNotice,
        age_s: float,
        now_s: float,
    ) -> None:
        if age_s >= notice.remaining_s:
            return
        if self._completed.has(notice.fingerprint, now_s):
            self._notices.add(ClearNotice(notice.fingerprint))
            return
        crash = self._crashes.find_or_add(notice.target, now_s)
        crash.candidates.add(notice.fingerprint)
        suspect = self.suspects.add(notice.fingerprint, now_s)
        suspect.targets.update((notice.target, *notice.targets))
        is_repeated = suspect.has_crashed_too_many(self._settings)
        if len(crash.candidates) > 1 and not is_repeated:
            self._lift_quarantines(notice.target, crash, now_s)
            return
        quarantine_s = min(
            notice.remaining_s - age_s, self._settings.max_quarantine_s
        )
        suspect.quarantine(notice.target, quarantine_s, now_s)

    def _evaluate_crash(
        self,
        target: str,
        crash: Crash,
        now_s: float,
    ) -> tuple[QuarantineNotice, ...]:
        """Quarantine the candidate of a crash if there is exactly one.

        With several candidates, quarantines caused by this crash are lifted.

        :returns: notice of a new quarantine, to be sent to peers.
        """
        if len(crash.candidates) > 1:
            self._lift_quarantines(target, crash, now_s)
            return ()
        return tuple(
            notice
            for fingerprint in crash.candidates
            for notice in self._quarantine(fingerprint, target, now_s)
        )

    def _lift_quarantines(
        self, target: str, crash: Crash, now_s: float
    ) -> None:
        """End the quarantines of candidates whose cause is this crash."""
        for fingerprint in crash.candidates:
            suspect = self.suspects.add(fingerprint, now_s)
            if not suspect.has_crashed_too_many(self._settings):
                suspect.lift(target, now_s)

    def _quarantine_repeated(
        self, target: str, in_flight: set[str], now_s: float
    ) -> tuple[QuarantineNotice, ...]:
        """Quarantine the requests that were in flight at too many crashes.

        :returns: notices of new quarantines, to be sent to peers.
        """
        return tuple(
            notice
            for fingerprint in sorted(in_flight)
            if self.suspects.add(fingerprint, now_s).has_crashed_too_many(
                self._settings
            )
            for notice in self._quarantine(fingerprint, target, now_s)
        )

    def _quarantine(
        self,
        fingerprint: str,
        target: str,
        now_s: float,
    ) -> tuple[QuarantineNotice, ...]:
        suspect = self.suspects.add(fingerprint, now_s)
        if suspect.is_quarantined(now_s):
            return ()
        doublings = min(suspect.quarantine_count, _MAX_DOUBLINGS)
        quarantine_s = min(
            self._settings.quarantine_s * 2**doublings,
            self._settings.max_quarantine_s,
        )
        suspect.quarantine(target, quarantine_s, now_s)
        logger.warning(
            'retries: request quarantined fingerprint=%s target=%s for_s=%.1f',
            fingerprint,
            target,
            quarantine_s,
        )
        targets = tuple(sorted(suspect.all_targets()))
        return (QuarantineNotice(fingerprint, target, quarantine_s, targets),)


def _writing(at_risk: Sequence[RunAtRisk]) -> set[str]:
    """Return the requests all of whose runs at risk had begun to write."""
    silent = {run.fingerprint for run in at_risk if not run.has_written}
    return {run.fingerprint for run in at_risk} - silent
