"""When to call a store that has failed: one feed tries for all."""

from __future__ import annotations

# Pauses after failed calls: the first short, as a call may fail by chance.
_PAUSES_S = (0.05, 0.2, 0.5, 1.0)


class StoreHealth:
    """Whether the store answers this daemon, as its last calls tell.

    While it does not, one call at a time is made, whichever feed asks first;
    the others wait for its outcome.
    """

    def __init__(self) -> None:
        """Take the store to answer."""
        self._failures = 0
        self._next_s = float('-inf')
        self._probing_caller: str | None = None

    @property
    def is_failing(self) -> bool:
        """Tell whether the last call failed."""
        return self._failures > 0

    def wait_s(self, caller: str, now_s: float) -> float:
        """Return the time to wait before a call; 0 to make it now.

        :param caller: what makes the call, such as the name of a table.
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
        """Take that a call was answered."""
        self._failures = 0
        self._probing_caller = None

    def failed(self, caller: str, now_s: float) -> None:
        """Take that a call failed."""
        place = min(self._failures, len(_PAUSES_S) - 1)
        if self._probing_caller in {None, caller}:
            self._failures += 1
            self._next_s = now_s + _PAUSES_S[place]
            self._probing_caller = None
