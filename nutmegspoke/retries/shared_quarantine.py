"""Quarantine that a daemon shares with the others by updates.

Updates between daemons may be lost, so each notice is included in all updates
for some time. Quarantines in force are always included, so that daemons that
start later learn them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.retries.notices import CrashNotice, QuarantineNotice
from nutmegspoke.retries.quarantine import Quarantine
from nutmegspoke.retries.suspects import QuarantineSettings

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from nutmegspoke.retries.notices import Notice

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
    """

    def __init__(self) -> None:
        """Create a quarantine without suspects."""
        settings = QuarantineSettings(quarantine_s=_QUARANTINE_S)
        self.quarantine = Quarantine(settings)
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

    def collect(self, now_s: float) -> None:
        """Take the new notices of the quarantine for the next updates."""
        notices = self.quarantine.drain_notices()
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
                self.quarantine.receive_notice(notice, 0.0, now_s)
        if notices:
            self._forget_old(now_s)
            self.collect(now_s)

    def _forget_old(self, now_s: float) -> None:
        self._received_s = {
            notice: received_s
            for notice, received_s in self._received_s.items()
            if now_s - received_s <= _DUPLICATE_S
        }

    def _active(self, now_s: float) -> tuple[QuarantineNotice, ...]:
        """Return notices of the quarantines in force, the newest ones."""
        quarantined = self.quarantine.suspects.quarantined(now_s)
        active = []
        for fingerprint, suspect in quarantined[-_MAX_ACTIVE:]:
            left_s = suspect.quarantined_until_s - now_s
            remaining_s = left_s // _REMAINING_STEP_S * _REMAINING_STEP_S
            if remaining_s > 0:
                active.append(
                    QuarantineNotice(
                        fingerprint,
                        suspect.cause_target,
                        remaining_s,
                        tuple(sorted(suspect.targets)),
                    )
                )
        return tuple(active)


def _is_urgent(notice: Notice) -> bool:
    """Return whether a request that causes crashes is or may be known."""
    if isinstance(notice, CrashNotice):
        return bool(notice.candidates)
    return isinstance(notice, QuarantineNotice)
