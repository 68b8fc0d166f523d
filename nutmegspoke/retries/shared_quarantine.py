"""Quarantine that a daemon shares with the others by updates.

Updates between daemons may be lost, so each notice is included in all updates
for some time. Quarantines in force are always included, so that daemons that
start later learn them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.retries.notices import (
    CrashNotice,
    QuarantineNotice,
    names_parts,
)
from nutmegspoke.retries.prompt_parts import PartQuarantine, PartSettings
from nutmegspoke.retries.quarantine import Quarantine
from nutmegspoke.retries.suspects import QuarantineSettings

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from nutmegspoke.retries.notices import Notice, RunAtRisk

# Engines that crash need minutes until they have loaded their weights again.
_QUARANTINE_S = 600.0
# A notice received again within this time is a repetition.
_DUPLICATE_S = 15.0
# Notices that an update may contain.
_MAX_RECENT = 32
_MAX_ACTIVE = 32
# The remaining time of a quarantine is rounded down to a multiple of this, so
# that updates stay the same, and daemons that repeat each other's notices don't
# prolong it.
_REMAINING_STEP_S = 5.0


class SharedQuarantine:
    """Quarantine whose notices are sent to and received from other daemons.

    :ivar quarantine: decides on requests; after each change by this daemon,
        :meth:`collect` must be called.
    :ivar parts: decides on parts of prompts; the same holds.
    """

    def __init__(self) -> None:
        """Create a quarantine without suspects."""
        settings = QuarantineSettings(quarantine_s=_QUARANTINE_S)
        self.quarantine = Quarantine(settings)
        self.parts = PartQuarantine(PartSettings(quarantine_s=_QUARANTINE_S))
        self._recent: list[tuple[float, Notice]] = []
        self._received_s: dict[Notice, float] = {}
        self._subscribers: list[Callable[[], None]] = []
        self._decision_subscribers: list[
            Callable[[QuarantineNotice], None]
        ] = []

    def subscribe(self, subscriber: Callable[[], None]) -> None:
        """Call a function when a notice should be sent at once."""
        self._subscribers.append(subscriber)

    def subscribe_decisions(
        self, subscriber: Callable[[QuarantineNotice], None]
    ) -> None:
        """Call a function with each quarantine that this daemon decides."""
        self._decision_subscribers.append(subscriber)

    def crashed(
        self, target: str, at_risk: Sequence[RunAtRisk], now_s: float
    ) -> None:
        """Record that a target crashed.

        :param target: name of the target.
        :param at_risk: runs that had not yet written there for a while.
        :param now_s: current time, in seconds.
        """
        self.quarantine.crashed(target, now_s, at_risk)
        self.parts.crashed(target, at_risk, now_s)
        self.collect(now_s)

    def collect(self, now_s: float) -> None:
        """Take the new notices of the quarantine for the next updates."""
        notices = (
            *self.quarantine.drain_notices(),
            *self.parts.drain_notices(),
        )
        self._recent.extend((now_s, notice) for notice in notices)
        for notice in notices:
            if isinstance(notice, QuarantineNotice):
                for keep in self._decision_subscribers:
                    keep(notice)
        if any(_is_urgent(notice) for notice in notices):
            for subscriber in self._subscribers:
                subscriber()

    def outgoing(self, repeat_s: float, now_s: float) -> tuple[Notice, ...]:
        """Return the notices for an update.

        :param repeat_s: time for which each new notice is repeated.
        """
        self._recent = [
            (since_s, notice)
            for since_s, notice in self._recent
            if now_s - since_s <= repeat_s
        ]
        recent = (notice for _, notice in self._recent[-_MAX_RECENT:])
        return (*recent, *self._active(now_s))

    def receive(self, notices: Sequence[Notice], now_s: float) -> None:
        """Apply the notices of an update of another daemon."""
        for notice in notices:
            received_s = self._received_s.get(notice, float('-inf'))
            if now_s - received_s > _DUPLICATE_S:
                self._received_s[notice] = now_s
                self._apply(notice, now_s)
        if notices:
            self._forget_old(now_s)
            self.collect(now_s)

    def active_names(self, now_s: float) -> frozenset[str]:
        """Return fingerprints and names of parts that are quarantined."""
        requests = self.quarantine.suspects.quarantined(now_s)
        parts = self.parts.active(now_s)
        return frozenset(
            (
                *(fingerprint for fingerprint, _ in requests),
                *(notice.fingerprint for notice in parts),
            )
        )

    def _apply(self, notice: Notice, now_s: float) -> None:
        if not names_parts(notice):
            self.quarantine.receive_notice(notice, 0.0, now_s)
        if names_parts(notice) or isinstance(notice, CrashNotice):
            self.parts.receive_notice(notice, 0.0, now_s)

    def _forget_old(self, now_s: float) -> None:
        self._received_s = {
            notice: received_s
            for notice, received_s in self._received_s.items()
            if now_s - received_s <= _DUPLICATE_S
        }

    def _active(self, now_s: float) -> tuple[QuarantineNotice, ...]:
        """Return notices of the quarantines in force, the newest ones."""
        quarantined = self.quarantine.suspects.quarantined(now_s)
        requests = (
            QuarantineNotice(
                fingerprint,
                suspect.cause_target,
                suspect.quarantined_until_s - now_s,
                tuple(sorted(suspect.all_targets())),
            )
            for fingerprint, suspect in quarantined[-_MAX_ACTIVE:]
        )
        parts = self.parts.active(now_s)[-_MAX_ACTIVE:]
        rounded = map(_round_remaining, (*requests, *parts))
        return tuple(notice for notice in rounded if notice.remaining_s > 0)


def _round_remaining(notice: QuarantineNotice) -> QuarantineNotice:
    steps = notice.remaining_s // _REMAINING_STEP_S
    return msgspec.structs.replace(
        notice, remaining_s=steps * _REMAINING_STEP_S
    )


def _is_urgent(notice: Notice) -> bool:
    """Return whether a request that causes crashes is or may be known."""
    if isinstance(notice, CrashNotice):
        has_parts = any(run.shared_parts for run in notice.at_risk)
        return has_parts or bool(notice.candidates)
    return isinstance(notice, QuarantineNotice)
