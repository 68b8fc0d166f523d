"""Finds the request that crashes targets and keeps it from running."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.retries.notices import CrashNotice, QuarantineNotice
from nutmegspoke.retries.suspects import (
    Crash,
    RunningRequests,
    SuspectRegistry,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from nutmegspoke.retries.notices import Notice
    from nutmegspoke.retries.suspects import QuarantineSettings

logger = logging.getLogger(__name__)

_MAX_DOUBLINGS = 12
_MAX_NOTICES = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Clear:
    """The request may go to any target."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendAlone:
    """The request may only go where :meth:`Quarantine.allowed_targets` says.

    :param avoided: names of targets that crashed under it.
    """

    avoided: frozenset[str]


Verdict = Clear | SendAlone | outcomes.NotRun


class Quarantine:
    """Suspects all that were in flight on a crashed target.

    Suspects never share a target. When a target crashes, those of its
    passengers that were in flight on another crashed target before are
    candidates. A single candidate is to blame and is quarantined. Several
    stay suspects, until a further crash or the completion of the others
    leaves one.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        """Create without suspects.

        :param settings: bounds of suspicion and quarantine.
        """
        self._settings = settings
        self._running = RunningRequests()
        self._suspects = SuspectRegistry(settings.max_suspects)
        self._crashes: dict[str, Crash] = {}
        self._notices: list[Notice] = []

    def check(self, fingerprint: str, now_s: float) -> Verdict:
        """Decide whether and how a request may be sent.

        :param fingerprint: digest of team, route and body.
        :param now_s: present time.
        """
        suspect = self._suspects.find(fingerprint)
        if suspect is None:
            return Clear()
        if suspect.is_quarantined(now_s):
            return outcomes.NotRun(
                outcomes.RefusalReason.QUARANTINED,
                suspect.quarantined_until_s - now_s,
                'targets crashed while they ran this request',
            )
        if now_s - suspect.since_s > self._settings.suspicion_s:
            self._suspects.clear(fingerprint)
            return Clear()
        return SendAlone(frozenset(suspect.targets))

    def allowed_targets(
        self,
        fingerprint: str,
        targets: Sequence[str],
    ) -> tuple[str, ...]:
        """Return the targets of a pool to which a suspect may be sent now.

        :param fingerprint: digest of the suspect.
        :param targets: names of the pool's targets that may get new work.
        :returns: none while as many targets as may be run suspects.
        """
        free = [name for name in targets if not self._has_suspect(name)]
        share = self._settings.max_suspect_share
        limit = max(1, int(len(targets) * share))
        if len(targets) - len(free) >= limit:
            return ()
        suspect = self._suspects.find(fingerprint)
        crashed = suspect.targets if suspect else frozenset()
        if crashed.issuperset(targets):
            return tuple(free)
        return tuple(name for name in free if name not in crashed)

    def started(
        self,
        fingerprint: str,
        targets: Collection[str],
    ) -> None:
        """Note that a request is in flight on targets."""
        for target in targets:
            self._running.add(fingerprint, target)

    def ended(
        self,
        fingerprint: str,
        targets: Collection[str],
    ) -> None:
        """Note that a request is in flight no more; says nothing of it."""
        for target in targets:
            self._running.remove(fingerprint, target)

    def completed(
        self,
        fingerprint: str,
        targets: Collection[str],
        now_s: float,
    ) -> None:
        """Note that targets ran a request and live: suspicion lapses."""
        self.ended(fingerprint, targets)
        if not self._suspects.clear(fingerprint):
            return
        logger.info('retries: suspicion lapsed fingerprint=%s', fingerprint)
        for target, crash in self._crashes.items():
            if fingerprint in crash.candidates:
                crash.candidates.discard(fingerprint)
                self._tell(self._judge(target, crash, now_s))

    def crashed(self, target: str, now_s: float) -> None:
        """Note that a target crashed.

        Further reports of the same crash change nothing.

        :param target: name of the target.
        :param now_s: present time.
        """
        passengers = self._running.pop_target(target)
        if not passengers:
            return
        crash = self._take_crash(target, passengers, now_s)
        notice = CrashNotice(
            target,
            tuple(sorted(passengers)),
            tuple(sorted(crash.candidates)),
        )
        self._tell((notice, *self._judge(target, crash, now_s)))

    def receive_notice(
        self, notice: Notice, age_s: float, now_s: float
    ) -> None:
        """Take what a peer tells.

        :param notice: what it found.
        :param age_s: how long ago it found it.
        :param now_s: present time.
        """
        match notice:
            case CrashNotice():
                if age_s > self._settings.crash_window_s:
                    return
                passengers = set(notice.passengers)
                crash = self._take_crash(notice.target, passengers, now_s)
                crash.candidates.update(notice.candidates)
                self._judge(notice.target, crash, now_s)
            case QuarantineNotice():
                self._take_quarantine(notice, age_s, now_s)

    def drain_notices(self) -> tuple[Notice, ...]:
        """Return what peers should hear and have not been told."""
        notices = tuple(self._notices)
        self._notices.clear()
        return notices

    @property
    def _longest_s(self) -> float:
        return self._settings.max_quarantine_s

    def _has_suspect(self, target: str) -> bool:
        return not self._suspects.is_disjoint(self._running.on(target))

    def _take_crash(
        self,
        target: str,
        passengers: set[str],
        now_s: float,
    ) -> Crash:
        crash = self._crash(target, now_s)
        for fingerprint in passengers:
            suspect = self._suspects.add(fingerprint, now_s)
            if suspect.targets - {target}:
                crash.candidates.add(fingerprint)
            suspect.targets.add(target)
            suspect.since_s = now_s
        logger.info(
            'retries: target crashed target=%s passengers=%d candidates=%d',
            target,
            len(passengers),
            len(crash.candidates),
        )
        return crash

    def _crash(self, target: str, now_s: float) -> Crash:
        window_s = self._settings.crash_window_s
        self._crashes = {
            name: crash
            for name, crash in self._crashes.items()
            if now_s - crash.at_s <= window_s
        }
        return self._crashes.setdefault(target, Crash(now_s))

    def _take_quarantine(
        self,
        notice: QuarantineNotice,
        age_s: float,
        now_s: float,
    ) -> None:
        if age_s >= notice.remaining_s:
            return
        crash = self._crash(notice.target, now_s)
        crash.candidates.add(notice.fingerprint)
        suspect = self._suspects.add(notice.fingerprint, now_s)
        suspect.targets.add(notice.target)
        if len(crash.candidates) > 1:
            self._lift_quarantines(notice.target, crash, now_s)
            return
        quarantine_s = min(notice.remaining_s - age_s, self._longest_s)
        suspect.quarantine(notice.target, quarantine_s, now_s)

    def _judge(
        self,
        target: str,
        crash: Crash,
        now_s: float,
    ) -> tuple[QuarantineNotice, ...]:
        """Quarantine the only candidate of a crash, or nobody.

        :returns: a new quarantine, for peers.
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
        """End quarantines that rest on a crash with several candidates."""
        for fingerprint in crash.candidates:
            self._suspects.add(fingerprint, now_s).lift(target, now_s)

    def _quarantine(
        self,
        fingerprint: str,
        target: str,
        now_s: float,
    ) -> tuple[QuarantineNotice, ...]:
        suspect = self._suspects.add(fingerprint, now_s)
        if suspect.is_quarantined(now_s):
            return ()
        doublings = min(suspect.quarantine_count, _MAX_DOUBLINGS)
        quarantine_s = min(
            self._settings.quarantine_s * 2**doublings,
            self._longest_s,
        )
        suspect.quarantine(target, quarantine_s, now_s)
        logger.warning(
            'retries: request quarantined fingerprint=%s target=%s for_s=%.1f',
            fingerprint,
            target,
            quarantine_s,
        )
        return (QuarantineNotice(fingerprint, target, quarantine_s),)

    def _tell(self, notices: Sequence[Notice]) -> None:
        room = _MAX_NOTICES - len(self._notices)
        self._notices.extend(notices[:room])
