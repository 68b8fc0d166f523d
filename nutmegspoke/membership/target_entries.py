"""The targets that discovery lists, through outages of the store.

An entry that vanishes while the store is in trouble may only have lapsed: the
target writes it again as soon as it can. It is kept until a little after the
store is back, and dropped if it is still missing then.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.targets import TargetState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from nutmegspoke.entry_host import TargetEntry

# Targets write lapsed entries again within two seconds of the store's return.
_RETURN_S = 2.2
# A target that has left after all is out of use before its time to drain ends.
_DRAIN_MARGIN_S = 0.4
# A removal told later than this after the store's return is none of its doing.
_TROUBLE_REACH_S = 1.0


class TargetEntries:
    """Entries by name, with those that may have lapsed."""

    def __init__(self, drain_s: float) -> None:
        """Start without entries.

        :param drain_s: time in which a target that leaves is out of use.
        """
        self.set_drain_time(drain_s)
        self._entries: dict[str, TargetEntry] = {}
        self._versions: dict[str, int] = {}
        self._lapsed: dict[str, float] = {}
        self._trouble_s = float('-inf')
        self._back_s = float('-inf')
        self._is_in_trouble = False

    def set_drain_time(self, drain_s: float) -> None:
        """Take another time in which a target that leaves is out of use."""
        self._grace_s = min(_RETURN_S, drain_s - _DRAIN_MARGIN_S)

    def store_failed(self, now_s: float) -> None:
        """Take that the store does not answer as it should."""
        self._is_in_trouble = True
        self._trouble_s = now_s

    def store_answered(self, now_s: float) -> None:
        """Take that the store answers."""
        if self._is_in_trouble:
            self._is_in_trouble = False
            self._back_s = now_s
            self._trouble_s = now_s

    def heard_of_trouble(self, trouble_s: float) -> None:
        """Take that the store failed another daemon at that time."""
        self._trouble_s = max(self._trouble_s, trouble_s)
        self._back_s = max(self._back_s, trouble_s)

    def put(self, entry: TargetEntry, version: int) -> bool:
        """Take an entry as it is now.

        Of two targets at one address the one written later is there; the
        other's entry has only not expired yet, such as while the store was
        away.

        :param version: version at which the entry was written.
        :returns: whether the entry is taken.
        """
        others = [
            other
            for other in self._entries.values()
            if other.address == entry.address and other.name != entry.name
        ]
        if any(self._versions[other.name] > version for other in others):
            self._drop(entry.name)
            return False
        for other in others:
            self._drop(other.name)
        self._lapsed.pop(entry.name, None)
        self._entries[entry.name] = entry
        self._versions[entry.name] = version
        return True

    def remove(self, name: str, now_s: float) -> bool:
        """Take that an entry is gone.

        :returns: whether it is dropped now; else it may have lapsed.
        """
        entry = self._entries.get(name)
        if entry is None:
            return True
        may_have_lapsed = now_s - self._trouble_s < _TROUBLE_REACH_S
        if entry.state == TargetState.LIVE and may_have_lapsed:
            self._lapsed.setdefault(name, now_s)
            return False
        self._drop(name)
        return True

    def keep_only(self, names: Iterable[str], now_s: float) -> None:
        """Take a whole list: entries not on it are gone."""
        listed = frozenset(names)
        for name in tuple(self._entries):
            if name not in listed:
                self.remove(name, now_s)

    def drop_lapsed(self, now_s: float) -> tuple[str, ...]:
        """Drop the entries that did not come back in time; return them."""
        if self._is_in_trouble:
            return ()
        dropped = tuple(
            name
            for name, lapsed_s in self._lapsed.items()
            if now_s - max(lapsed_s, self._back_s) >= self._grace_s
        )
        for name in dropped:
            self._drop(name)
        return dropped

    def all(self) -> tuple[TargetEntry, ...]:
        """Return all entries, leaving and lapsed ones included."""
        return tuple(self._entries.values())

    def find(self, name: str) -> TargetEntry | None:
        """Return an entry; ``None`` if it is not known."""
        return self._entries.get(name)

    def live(self, pool: str) -> tuple[TargetEntry, ...]:
        """Return the targets of a pool that may get new work."""
        return tuple(
            entry
            for entry in self._entries.values()
            if entry.pool == pool and entry.state == TargetState.LIVE
        )

    def _drop(self, name: str) -> None:
        self._entries.pop(name, None)
        self._versions.pop(name, None)
        self._lapsed.pop(name, None)
