"""Crashes of targets, and the requests that were in flight at several."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from nutmegspoke.retries.suspects import SuspectRegistry

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Crash:
    """The last crash of a target.

    :param at_s: time of the first report.
    :param candidates: fingerprints of the requests in flight on it that were
        also in flight on another target that crashed earlier.
    :param is_logged: whether the crash was logged.
    """

    at_s: float
    candidates: set[str] = dataclasses.field(default_factory=set)
    is_logged: bool = False


class CrashRecords:
    """The last crash of each target.

    :param suspects: registry to which the requests in flight are added.
    :param window_s: reports that a target crashed count as the same crash for
        this many seconds.
    """

    def __init__(self, suspects: SuspectRegistry, window_s: float) -> None:
        """Create without crashes."""
        self._suspects = suspects
        self._window_s = window_s
        self._crashes: dict[str, Crash] = {}

    def record(
        self,
        target: str,
        in_flight: Collection[str],
        now_s: float,
        writing: Collection[str] = (),
    ) -> Crash:
        """Record a crash, and its requests in flight as suspects.

        The first report of a crash is logged.

        :param writing: those of the requests that had begun to write; they are
            no candidates.
        """
        crash = self.find_or_add(target, now_s)
        for fingerprint in in_flight:
            suspect = self._suspects.add(fingerprint, now_s)
            suspect.since_s = now_s
            if fingerprint in writing:
                suspect.writing_targets.add(target)
                continue
            if suspect.targets - {target}:
                crash.candidates.add(fingerprint)
            suspect.targets.add(target)
        if not crash.is_logged:
            crash.is_logged = True
            logger.info(
                'retries: target crashed target=%s passengers=%d candidates=%d',
                target,
                len(in_flight),
                len(crash.candidates),
            )
        return crash

    def find_or_add(self, target: str, now_s: float) -> Crash:
        """Return the last crash of a target; add one if there is none."""
        self._crashes = {
            name: crash
            for name, crash in self._crashes.items()
            if now_s - crash.at_s <= self._window_s
        }
        return self._crashes.setdefault(target, Crash(now_s))

    def withdraw(self, fingerprint: str) -> tuple[tuple[str, Crash], ...]:
        """Withdraw a candidate; return the crashes that had it, by target."""
        withdrawn = tuple(
            (target, crash)
            for target, crash in self._crashes.items()
            if fingerprint in crash.candidates
        )
        for _, crash in withdrawn:
            crash.candidates.discard(fingerprint)
        return withdrawn
