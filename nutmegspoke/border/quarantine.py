"""Quarantine of requests that crash targets, for calls and drafts."""

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
_MAX_WAIT_S = 0.5


class QuarantineService:
    """Quarantine of the daemon, on which suspects can wait.

    A suspect is a request that was in flight on a target that crashed.

    :ivar announce: sends a notice, encoded as text, to the peers.
    """

    def __init__(
        self,
        clock: Clock,
        settings: QuarantineSettings | None = None,
    ) -> None:
        """Create a quarantine without suspects.

        :param clock: the process's clock.
        :param settings: limits of suspicion and quarantine.
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

    async def wait_until_allowed(
        self,
        fingerprint: str,
        targets: Callable[[], Sequence[str]],
        deadline_s: float,
    ) -> tuple[str, ...]:
        """Wait until a suspect may be sent to a target.

        :param fingerprint: digest of the suspect.
        :param targets: returns the names of the targets of the pool that
            accept new work now.
        :param deadline_s: deadline of the wait, on the daemon's clock.
        :returns: names of the targets to which it may be sent; empty if the
            deadline passed.
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
                    min(wait_s, _MAX_WAIT_S),
                )

    def started(self, fingerprint: str, targets: Collection[str]) -> None:
        """Note that a request is in flight on targets."""
        self._quarantine.started(fingerprint, targets)

    def ended(self, fingerprint: str, targets: Collection[str]) -> None:
        """Note that a request is no longer in flight on targets.

        This neither raises nor clears a suspicion.
        """
        self._quarantine.ended(fingerprint, targets)
        self._changed.set()

    def completed(self, fingerprint: str, targets: Collection[str]) -> None:
        """Note that targets ran a request and did not crash."""
        now_s = self._clock.now_s()
        self._quarantine.completed(fingerprint, targets, now_s)
        self._changed.set()
        self._announce_notices()

    def crashed(self, target: str) -> None:
        """Note that a target crashed."""
        self._quarantine.crashed(target, self._clock.now_s())
        self._changed.set()
        self._announce_notices()

    def receive_notice(self, text: str, age_s: float) -> None:
        """Apply a notice of a peer; an unreadable one is logged and ignored.

        :param text: the encoded notice.
        :param age_s: time since the notice was announced, in seconds.
        """
        notice = notices.decode_notice(text)
        if notice is None:
            logger.warning('retries: cannot decode a notice of a peer')
            return
        self._quarantine.receive_notice(notice, age_s, self._clock.now_s())
        self._changed.set()

    def _announce_notices(self) -> None:
        for notice in self._quarantine.drain_notices():
            if self.announce is not None:
                self.announce(notices.encode_notice(notice))


def setup(app: Application) -> None:
    """Register the quarantine and connect it to the peers."""
    service = QuarantineService(app.clock)
    peers = app.kernel.find(PEERS, Peers)
    service.announce = peers.announce_quarantine
    peers.on_quarantine = service.receive_notice
    app.kernel.register(NAME, service)
