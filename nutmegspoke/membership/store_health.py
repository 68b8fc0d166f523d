"""State of the store, shared by all feeds: failures, pauses and silences."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Pauses after failed calls. The first is short, as a single call may fail by
# chance.
_PAUSES_S = (0.05, 0.2, 0.5, 1.0)
# A silence that has ended is reported to other daemons for this time.
_SILENCE_REPORTED_S = 3.0


class StoreHealth:
    """Whether the last calls of the store by this daemon were answered.

    While they fail, only one call at a time is allowed, for the feed that asks
    first. The other feeds wait for its result.

    A store that was silent may have lost the calls that waited for changes. Once
    it answers again, subscribers are told to repeat them. So they are when the
    store is known to have entered a new era, as the calls wait for changes after
    versions of an earlier one.

    :ivar era: newest era of the store that any feed or daemon has seen; 0
        before the first.
    """

    def __init__(self) -> None:
        """Start with a store that is assumed to answer."""
        self._failures = 0
        self._next_s = float('-inf')
        self._probing_caller: str | None = None
        self.era = 0
        self._silent_s: float | None = None
        self._ended_silence_s = float('-inf')
        self._subscribers: list[Callable[[float], None]] = []

    def subscribe(self, subscriber: Callable[[float], None]) -> None:
        """Call a function when calls in progress must be repeated.

        Its argument is a time; only calls made before must be.
        """
        self._subscribers.append(subscriber)

    def silence_ended_elsewhere(self, silent_s: float) -> None:
        """Record a silence that another daemon found, and that has ended.

        :param silent_s: time at which it was found.
        """
        for subscriber in self._subscribers:
            subscriber(silent_s)

    def enter_era(self, era: int, now_s: float) -> None:
        """Record an era that a feed or another daemon has seen."""
        if era <= self.era:
            return
        self.era = era
        for subscriber in self._subscribers:
            subscriber(now_s)

    def silence_age_s(self, now_s: float) -> float:
        """Return the age of the last silence in seconds, for other daemons.

        :returns: -1 if none was found here and has ended recently.
        """
        age_s = now_s - self._ended_silence_s
        return age_s if age_s <= _SILENCE_REPORTED_S else -1.0

    @property
    def is_failing(self) -> bool:
        """Return whether the last call failed."""
        return self._failures > 0

    def wait_s(self, caller: str, now_s: float) -> float:
        """Return the time to wait before a call.

        :param caller: identifies the caller, for instance by its table.
        :returns: 0 if the call may be made now; then the caller must report
            its result. Otherwise, it must ask again after this time.
        """
        if not self._failures or self._probing_caller == caller:
            return 0.0
        if self._probing_caller is not None:
            return _PAUSES_S[0]
        if now_s < self._next_s:
            return self._next_s - now_s
        self._probing_caller = caller
        return 0.0

    def release(self, caller: str) -> None:
        """Let another caller call, as this one makes no call any more."""
        if self._probing_caller == caller:
            self._probing_caller = None

    def answered(self, caller: str) -> None:
        """Record that a call was answered."""
        self._failures = 0
        self._probing_caller = None
        if self._silent_s is None:
            return
        self._ended_silence_s = self._silent_s
        self._silent_s = None
        self.silence_ended_elsewhere(self._ended_silence_s)

    def failed(
        self,
        caller: str,
        now_s: float,
        *,
        took_s: float = 0.0,
        is_silent: bool = False,
    ) -> None:
        """Record that a call failed, which delays the next one.

        Failures of calls that were made before the store began to fail do not
        extend the pause.

        :param took_s: time from the call to its failure, part of the pause.
        :param is_silent: whether the call got no answer in time.
        """
        if is_silent:
            self._silent_s = now_s
        index = min(self._failures, len(_PAUSES_S) - 1)
        if self._probing_caller in {None, caller}:
            self._failures += 1
            self._next_s = now_s + max(0.0, _PAUSES_S[index] - took_s)
            self._probing_caller = None
