"""Quarantine of parts of prompts under which targets crash.

A run is *at risk* on its targets until it has written for a while: a part that
crashes targets does so as they begin to write. So a crash is evidence against
the parts of the runs at risk, stronger if they had written nothing, and a run
that has written proves its parts sound.
"""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from nutmegspoke import outcomes
from nutmegspoke.retries.notices import (
    ClearNotice,
    CrashNotice,
    NoticeQueue,
    QuarantineNotice,
)
from nutmegspoke.retries.part_evidence import (
    NEVER_S,
    PartCrashes,
    SoundParts,
)
from nutmegspoke.retries.quarantined_parts import (
    QuarantinedParts,
    name_parts,
    parse_parts,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from nutmegspoke.retries.notices import Notice, RunAtRisk
    from nutmegspoke.retries.quarantined_parts import PartGroup, Quarantined

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class PartSettings:
    """Limits of suspicion and quarantine of parts.

    :param quarantine_s: duration of the first quarantine in seconds; each
        further one lasts twice as long.
    :param max_quarantine_s: longest duration of a quarantine in seconds.
    :param max_crashes: number of crashes from which a part is quarantined,
        without those at which all requests with it had begun to write.
    :param min_requests: number of different requests that must have been at
        risk at these crashes, as one request may be the cause by itself.
    :param max_weak_crashes: number of crashes from which it is in any case, or
        if it was proved sound lately.
    :param min_span_s: time in seconds that the crashes of such a part must
        span. Targets that end together, by a cause of their own, all run the
        parts that most prompts have.
    :param soundness_s: seconds for which a proof counts as late.
    :param suspicion_s: seconds after which a crash no longer counts.
    :param max_crash_count: largest number of crashes kept; the oldest is
        dropped.
    :param max_sound: largest number of sound parts kept; the oldest is dropped.
    """

    quarantine_s: float = 600.0
    max_quarantine_s: float = 3600.0
    max_crashes: int = 3
    min_requests: int = 2
    max_weak_crashes: int = 5
    min_span_s: float = 3.0
    soundness_s: float = 300.0
    suspicion_s: float = 900.0
    max_crash_count: int = 256
    max_sound: int = 8192


class PartQuarantine:
    """Finds the parts under which targets crash, and quarantines them.

    The part with the most crashes since it was last proved sound is the
    culprit. Parts that were present at the same crashes can't be told apart:
    they are quarantined as a group, so that prompts with only some of them run
    and prove these sound, or crash one more target.
    """

    def __init__(self, settings: PartSettings) -> None:
        """Create without crashes.

        :param settings: limits of suspicion and quarantine.
        """
        self._settings = settings
        self._crashes = PartCrashes(
            settings.max_crash_count, settings.suspicion_s
        )
        self._sound = SoundParts(settings.max_sound)
        self._quarantined = QuarantinedParts(
            settings.quarantine_s, settings.max_quarantine_s
        )
        # Times of the proofs that peers were told of.
        self._reported_s: dict[str, float] = {}
        self._notices = NoticeQueue()

    def check(
        self, parts: Iterable[str], now_s: float
    ) -> outcomes.NotRun | None:
        """Return why a prompt with some parts must not run.

        :returns: ``None`` if it may.
        """
        left_s = self._quarantined.left_s(parts, now_s)
        if left_s <= 0:
            return None
        return outcomes.NotRun(
            outcomes.RefusalReason.QUARANTINED,
            left_s,
            'targets crashed under a part of the prompt',
        )

    def has_suspect(self, parts: Iterable[str], now_s: float) -> bool:
        """Return whether some part was at a crash and not proved sound since."""
        return any(self._is_suspect(part, now_s) for part in parts)

    def crashed(
        self, target: str, at_risk: Sequence[RunAtRisk], now_s: float
    ) -> None:
        """Record that a target crashed.

        :param target: name of the target.
        :param at_risk: requests at risk on it, with their parts.
        :param now_s: current time, in seconds.
        """
        group = self._add_crash(target, at_risk, now_s)
        if group:
            self._notices.add(self._quarantined.notice(group, now_s))
        self._report_sound(_all_parts(at_risk), now_s)

    def proved_sound(self, parts: Iterable[str], now_s: float) -> None:
        """Record that a run with some parts has written for a while."""
        for part in parts:
            if self._is_suspect(part, now_s):
                logger.info('retries: part sound part=%s', part)
                self._notices.add(ClearNotice(name_parts((part,))))
                self._reported_s[part] = now_s
            for group in self._record_sound(part, now_s, now_s):
                self._notices.add(self._quarantined.notice(group, now_s))

    def receive_notice(
        self, notice: Notice, age_s: float, now_s: float
    ) -> None:
        """Apply a notice of a peer; those about requests are ignored.

        :param notice: the crash, proof or quarantine that the peer reports.
        :param age_s: time since the peer reported it, in seconds.
        """
        match notice:
            case CrashNotice():
                self._add_crash(notice.target, notice.at_risk, now_s)
                self._report_sound(_all_parts(notice.at_risk), now_s)
            case ClearNotice() if notice.age_s >= 0:
                for part in parse_parts(notice.fingerprint):
                    sound_s = now_s - notice.age_s - age_s
                    self._record_sound(part, sound_s, now_s)
            case QuarantineNotice():
                self._apply_quarantine(notice, age_s, now_s)

    def drain_notices(self) -> tuple[Notice, ...]:
        """Return the notices that were not yet sent to peers, and clear them."""
        return self._notices.drain()

    def active(self, now_s: float) -> tuple[QuarantineNotice, ...]:
        """Return a notice of each quarantine in force, newest last."""
        return self._quarantined.active(now_s)

    def _add_crash(
        self, target: str, at_risk: Sequence[RunAtRisk], now_s: float
    ) -> PartGroup:
        """Add a crash; return the parts that are quarantined for it, if any."""
        parts = self._crashes.add(target, at_risk, now_s)
        group, targets = self._find_culprits(parts, now_s)
        if not group or self._quarantined.left_s(group, now_s) > 0:
            return frozenset()
        self._quarantined.add(group, targets, now_s)
        return group

    def _find_culprits(
        self, parts: Iterable[str], now_s: float
    ) -> tuple[PartGroup, tuple[str, ...]]:
        """Return the parts to quarantine, and the targets that crashed.

        Parts that were proved sound lately are culprits only if no others are.
        """
        culprits: dict[tuple[str, ...], set[str]] = {}
        for part in parts:
            targets = self._convicting_crashes(part, now_s)
            if targets:
                culprits.setdefault(targets, set()).add(part)
        if not culprits:
            return frozenset(), ()
        oldest_s = now_s - self._settings.soundness_s
        targets = max(
            culprits,
            key=lambda crashed: (
                not self._sound.is_recent(culprits[crashed], oldest_s),
                len(crashed),
            ),
        )
        return frozenset(culprits[targets]), targets

    def _convicting_crashes(self, part: str, now_s: float) -> tuple[str, ...]:
        """Return the crashed targets if they are enough for a quarantine."""
        settings = self._settings
        evidence = self._crashes.find_evidence(
            part,
            self._sound.last_s(part),
            now_s,
            lambda parts: self._quarantined.has_group_without(
                part, parts, now_s
            ),
        )
        is_enough = len(evidence.targets) >= settings.max_weak_crashes
        if self._sound.is_recent((part,), now_s - settings.soundness_s):
            is_enough &= evidence.span_s >= settings.min_span_s
        else:
            is_enough |= evidence.silent_count >= settings.max_crashes
        is_enough &= len(evidence.requests) >= settings.min_requests
        return evidence.targets if is_enough else ()

    def _is_suspect(self, part: str, now_s: float) -> bool:
        return self._quarantined.contains(part) or self._crashes.has_evidence(
            part, self._sound.last_s(part), now_s
        )

    def _apply_quarantine(
        self, notice: QuarantineNotice, age_s: float, now_s: float
    ) -> None:
        parts = frozenset(parse_parts(notice.fingerprint))
        # A peer may have missed a proof. Crashes since then are known here, too.
        oldest_s = now_s - self._settings.soundness_s
        group = frozenset(
            part
            for part in parts
            if not self._sound.is_recent((part,), oldest_s)
        )
        self._report_sound(parts - group, now_s)
        remaining_s = notice.remaining_s - age_s
        if group and remaining_s > 0:
            self._quarantined.prolong(group, notice.targets, remaining_s, now_s)

    def _report_sound(self, parts: Iterable[str], now_s: float) -> None:
        """Tell peers which parts were proved sound here lately.

        A proof is reported once, and again only after one that is much later.
        """
        settings = self._settings
        for part in sorted(parts):
            sound_s = self._sound.last_s(part)
            reported_s = self._reported_s.get(part, NEVER_S)
            is_new = sound_s - reported_s >= settings.min_span_s
            if is_new and now_s - sound_s <= settings.soundness_s:
                self._reported_s[part] = sound_s
                age_s = round(now_s - sound_s, 1)
                self._notices.add(ClearNotice(name_parts((part,)), age_s))
        self._reported_s = {
            part: sound_s
            for part, sound_s in self._reported_s.items()
            if now_s - sound_s <= settings.soundness_s
        }

    def _record_sound(
        self, part: str, at_s: float, now_s: float
    ) -> list[PartGroup]:
        """Record a proof, and end the quarantines of the part that it refutes.

        Those are older ones, and those whose crashes are too few for a part
        that was sound before.

        :returns: the groups that are quarantined without it now.
        """
        self._sound.add(part, at_s)
        if not self._quarantined.contains(part):
            return []
        is_convicted = bool(self._convicting_crashes(part, now_s))

        def is_refuted(quarantine: Quarantined) -> bool:
            is_known = is_convicted or quarantine.is_received
            return quarantine.since_s < at_s or not is_known

        return self._quarantined.remove_part(part, is_refuted)


def _all_parts(at_risk: Iterable[RunAtRisk]) -> frozenset[str]:
    return frozenset(part for run in at_risk for part in run.shared_parts)
