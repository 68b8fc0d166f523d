"""Pauses between calls of a failing store, shared by all feeds."""

from __future__ import annotations

# Pauses after failed calls. The first is short, as a single call may fail by
# chance.
_PAUSES_S = (0.05, 0.2, 0.5, 1.0)


class StoreHealth:
    """Whether the last calls of the store by this daemon were answered.

    While they fail, only one call at a time is allowed, for the feed that asks
    first. The other feeds wait for its result.
    """

    def __init__(self) -> None:
        """Start with a store that is assumed to answer."""
        self._failures = 0
        self._next_s = float('-inf')
        self._probing_caller: str | None = None

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

    def answered(self, caller: str) -> None:
        """Record that a call was answered."""
        self._failures = 0
        self._probing_caller = None

    def failed(self, caller: str, now_s: float) -> None:
        """Record that a call failed, which delays the next one.

        Failures of calls that were made before the store began to fail do not
        extend the pause.
        """
        index = min(self._failures, len(_PAUSES_S) - 1)
        if self._probing_caller in {None, caller}:
            self._failures += 1
            self._next_s = now_s + _PAUSES_S[index]
            self._probing_caller = None
