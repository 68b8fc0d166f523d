"""Keeps requests that crash targets from running, for calls and drafts."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

from nutmegspoke.border.peers import NAME as PEERS
from nutmegspoke.border.peers import Peers
from nutmegspoke.retries import notices
from nutmegspoke.retries.quarantine import Quarantine
from nutmegspoke.retries.suspects import QuarantineSettings

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from nutmegspoke.application import Application
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.retries.quarantine import QuarantineDecision

logger = logging.getLogger(__name__)
NAME = 'quarantine'
_LONGEST_WAIT_S = 0.5


class QuarantineService:
    """Holds the quarantine of the daemon and those who wait for a turn.

    :ivar announce: tells the peers a notice, encoded as text.
    """

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
        self.announce: Callable[[str], None] | None = None

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    def check(self, fingerprint: str) -> QuarantineDecision:
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
            allowed_targets = self._quarantine.allowed_targets(
                fingerprint, targets()
            )
            wait_s = deadline_s - self._clock.now_s()
            if allowed_targets or wait_s <= 0:
                return allowed_targets
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
        self._tell_peers()

    def crashed(self, target: str) -> None:
        """Note that a target crashed."""
        self._quarantine.crashed(target, self._clock.now_s())
        self._changed.set()
        self._tell_peers()

    def hear(self, text: str, age_s: float) -> None:
        """Take what a peer tells.

        :param text: a notice, encoded.
        :param age_s: how long ago it was announced.
        """
        notice = notices.decode_notice(text)
        if notice is None:
            logger.warning('retries: notice of a peer is not readable')
            return
        self._quarantine.receive_notice(notice, age_s, self._clock.now_s())
        self._changed.set()

    def _tell_peers(self) -> None:
        for notice in self._quarantine.drain_notices():
            if self.announce is not None:
                self.announce(notices.encode_notice(notice))


def setup(app: Application) -> None:
    """Register the quarantine and join it to the exchange with peers."""
    service = QuarantineService(app.clock)
    peers = app.kernel.find(PEERS, Peers)
    service.announce = peers.announce_quarantine
    peers.on_quarantine = service.hear
    app.kernel.register(NAME, service)
