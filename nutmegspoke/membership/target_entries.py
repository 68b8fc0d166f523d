"""The targets listed by discovery, kept through outages of the store.

An entry that disappears while the store is failing may only have lapsed,
because its target could not renew it. It is kept until shortly after the store
has recovered, and dropped if the target has not written it again by then.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.retries.target_departures import TargetDepartures
from nutmegspoke.targets import TargetState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from nutmegspoke.entry_host import TargetEntry

# Targets rewrite lapsed entries within 2 s after the store has recovered.
_REWRITE_S = 2.2
# A target that did leave must be out of use before its time to drain ends.
_DRAIN_MARGIN_S = 0.4
# A removal reported later than this after the last failure of the store, or its
# recovery, is not caused by an outage.
_LAPSE_WINDOW_S = 1.0


class TargetEntries:
    """Entries of targets by name, including those that may have lapsed."""

    def __init__(
        self, drain_s: float, departures: TargetDepartures | None = None
    ) -> None:
        """Start without entries.

        :param drain_s: time within which a leaving target must be out of use.
        :param departures: targets that have said themselves that they leave.
        """
        self._departures = departures or TargetDepartures()
        self.set_drain_time(drain_s)
        self._entries: dict[str, TargetEntry] = {}
        self._versions: dict[str, int] = {}
        self._lapsed: dict[str, float] = {}
        self._last_outage_s = float('-inf')
        self._store_recovered_s = float('-inf')
        self._is_store_failing = False
        self._confirmed_s = float('-inf')

    def set_drain_time(self, drain_s: float) -> None:
        """Change the time within which a leaving target must be out of use."""
        self._grace_s = min(_REWRITE_S, drain_s - _DRAIN_MARGIN_S)

    def store_failed(self, now_s: float) -> None:
        """Record that a call of the store failed."""
        self._is_store_failing = True
        self._last_outage_s = now_s

    def store_answered(self, answered_s: float, now_s: float) -> None:
        """Record that a call of the store was answered, here or elsewhere.

        :param answered_s: when it was answered.
        """
        if self._is_store_failing:
            self._is_store_failing = False
            self._store_recovered_s = answered_s
            self._last_outage_s = now_s

    def confirmed(self, confirmed_s: float) -> None:
        """Record that the entries are those that the store had at a time."""
        self._confirmed_s = confirmed_s

    def record_failure_elsewhere(self, failed_s: float) -> None:
        """Record that a call of the store by another daemon failed.

        :param failed_s: when it failed.
        """
        self._last_outage_s = max(self._last_outage_s, failed_s)
        self._store_recovered_s = max(self._store_recovered_s, failed_s)

    def put(self, entry: TargetEntry, version: int) -> bool:
        """Store an entry.

        Of two entries with the same address the one written later is valid.
        The other has only not expired yet, for instance because of an outage
        of the store.

        :param version: version at which the entry was written.
        :returns: ``False`` if a later entry has the same address.
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
        """Remove an entry, unless it may only have lapsed.

        :returns: ``False`` if it may have lapsed and is kept for now.
        """
        entry = self._entries.get(name)
        if entry is None:
            return True
        may_have_lapsed = now_s - self._last_outage_s < _LAPSE_WINDOW_S
        if may_have_lapsed and not self.is_leaving(entry):
            # It left after the entries were last confirmed.
            self._lapsed.setdefault(name, min(now_s, self._confirmed_s))
            return False
        self._drop(name)
        return True

    def keep_only(self, names: Iterable[str], now_s: float) -> None:
        """Remove the entries that are missing from a list of all names."""
        listed = frozenset(names)
        for name in tuple(self._entries):
            if name not in listed:
                self.remove(name, now_s)

    def drop_lapsed(self, now_s: float) -> tuple[str, ...]:
        """Drop the lapsed entries that were not written again in time.

        :returns: names of the dropped entries; empty while the store fails.
        """
        if self._is_store_failing:
            return ()
        dropped = tuple(
            name
            for name, lapsed_s in self._lapsed.items()
            if now_s - max(lapsed_s, self._store_recovered_s) >= self._grace_s
        )
        for name in dropped:
            self._drop(name)
        return dropped

    def has_lapsed(self, name: str) -> bool:
        """Return whether the store does not list an entry that is kept."""
        return name in self._lapsed

    def all(self) -> tuple[TargetEntry, ...]:
        """Return all entries, leaving and lapsed ones included."""
        return tuple(self._entries.values())

    def find(self, name: str) -> TargetEntry | None:
        """Return an entry; ``None`` if it is unknown."""
        return self._entries.get(name)

    def live(self, pool: str) -> tuple[TargetEntry, ...]:
        """Return the targets of a pool that may be sent new work."""
        return tuple(
            entry
            for entry in self._entries.values()
            if entry.pool == pool and not self.is_leaving(entry)
        )

    def is_leaving(self, entry: TargetEntry) -> bool:
        """Return whether a target leaves, by its entry or by its own word."""
        if entry.state == TargetState.LEAVING:
            return True
        return self._departures.has_announced(entry)

    def _drop(self, name: str) -> None:
        self._entries.pop(name, None)
        self._versions.pop(name, None)
        self._lapsed.pop(name, None)
