"""Keeps requests that crash targets from running, for calls and drafts."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from nutmegspoke.retries.quarantine import Quarantine
from nutmegspoke.retries.suspects import QuarantineSettings

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.retries.notices import Notice
    from nutmegspoke.retries.quarantine import Verdict

NAME = 'quarantine'
_LONGEST_WAIT_S = 0.5


class QuarantineService:
    """Holds the quarantine of the daemon and those who wait for a turn."""

    def __init__(
        self,
        clock: Clock,
        settings: QuarantineSettings | None = None,
    ) -> None:
        """Create without suspects.

        :param clock: the process's clock.
        :param settings: bounds of suspicion and quarantine.
        """
        self._clock = clock
        self._quarantine = Quarantine(settings or QuarantineSettings())
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    def check(self, fingerprint: str) -> Verdict:
        """Decide whether and how a request may be sent."""
        return self._quarantine.check(fingerprint, self._clock.now_s())

    async def turn(
        self,
        fingerprint: str,
        targets: Callable[[], Sequence[str]],
        deadline_s: float,
    ) -> tuple[str, ...]:
        """Wait until a suspect may be sent.

        :param fingerprint: digest of the suspect.
        :param targets: returns the names of the pool's targets that may get
            new work now.
        :param deadline_s: when to give up, on the daemon's clock.
        :returns: names of the targets that it may be sent to; none if its
            turn did not come in time.
        """
        while True:
            allowed = self._quarantine.allowed(fingerprint, targets())
            wait_s = deadline_s - self._clock.now_s()
            if allowed or wait_s <= 0:
                return allowed
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait(),
                    min(wait_s, _LONGEST_WAIT_S),
                )

    def started(self, fingerprint: str, targets: Collection[str]) -> None:
        """Note that a request is in flight on targets."""
        self._quarantine.started(fingerprint, targets)

    def ended(self, fingerprint: str, targets: Collection[str]) -> None:
        """Note that a request is in flight no more; says nothing of it."""
        self._quarantine.ended(fingerprint, targets)
        self._changed.set()

    def completed(self, fingerprint: str, targets: Collection[str]) -> None:
        """Note that targets ran a request and live."""
        now_s = self._clock.now_s()
        self._quarantine.completed(fingerprint, targets, now_s)
        self._changed.set()

    def crashed(self, target: str) -> None:
        """Note that a target crashed."""
        self._quarantine.crashed(target, self._clock.now_s())
        self._changed.set()

    def take(self, notice: Notice) -> None:
        """Take what a peer tells."""
        self._quarantine.take(notice, self._clock.now_s())

    def take_notices(self) -> tuple[Notice, ...]:
        """Return what peers should hear and have not been told."""
        return self._quarantine.take_notices()


def setup(app: Application) -> None:
    """Register the quarantine."""
    app.kernel.register(NAME, QuarantineService(app.clock))
