"""The daemons that a daemon knows of."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from nutmegspoke.membership.messages import DaemonEntry, DemandEntry

MemberKey = tuple[str, int]


@dataclasses.dataclass(slots=True)
class Member:
    """One start of a daemon.

    :param entry: newest entry that was heard.
    :param heard_s: when a newer entry was last heard, on this daemon's clock.
    :param suspected_s: when it was first said not to answer.
    :param demand: newest demand that was heard.
    """

    entry: DaemonEntry
    heard_s: float
    suspected_s: float | None = None
    demand: DemandEntry | None = None


@dataclasses.dataclass(slots=True)
class Members:
    """Entries of other daemons by name and start.

    A daemon that is replaced or restarted counts as another member; the
    earlier one falls silent. Only entries raise ``heard_s``, and only their
    own daemon makes them, so that the age tells how long it has been silent
    whoever passed the entry on.

    :param suspect_after_s: silence after which a member no longer counts.
    :param confirm_after_s: time in which a member that was said not to answer
        may still show that it lives.
    :param forget_after_s: silence after which a member is forgotten.
    """

    suspect_after_s: float
    confirm_after_s: float
    forget_after_s: float
    _members: dict[MemberKey, Member] = dataclasses.field(default_factory=dict)

    def take_entry(self, entry: DaemonEntry, now_s: float) -> bool:
        """Keep an entry; tell whether it is news."""
        key = (entry.name, entry.start)
        member = self._members.get(key)
        if member is None:
            self._members[key] = Member(entry, now_s)
            return True
        if entry.sequence <= member.entry.sequence:
            return False
        if entry.refutations > member.entry.refutations:
            member.suspected_s = None
        member.entry = entry
        member.heard_s = now_s
        return True

    def take_demand(self, demand: DemandEntry) -> bool:
        """Keep the demand of a known member; tell whether it is news."""
        member = self._members.get((demand.name, demand.start))
        if member is None:
            return False
        known = member.demand
        if known is not None and demand.sequence <= known.sequence:
            return False
        member.demand = demand
        return True

    def suspect(self, key: MemberKey, refutations: int, now_s: float) -> bool:
        """Note that a member did not answer; tell whether it is news.

        Entries that were under way when it ended don't clear it, only one by
        which the member itself contradicts.

        :param refutations: refutations that the accuser had heard of.
        """
        member = self._members.get(key)
        if member is None or member.suspected_s is not None:
            return False
        if member.entry.refutations > refutations:
            return False
        member.suspected_s = now_s
        return True

    def find(self, key: MemberKey) -> Member | None:
        """Return a member."""
        return self._members.get(key)

    def live(self, now_s: float) -> tuple[Member, ...]:
        """Return the members that count as live."""
        return tuple(
            member
            for member in self._members.values()
            if self._is_live(member, now_s)
        )

    def reachable(self, now_s: float) -> tuple[Member, ...]:
        """Return the members worth writing to: the newest of each address."""
        by_address: dict[str, Member] = {}
        for member in self._members.values():
            address = member.entry.address
            known = by_address.get(address)
            if known is None or known.heard_s < member.heard_s:
                by_address[address] = member
        return tuple(by_address.values())

    def addresses(self) -> set[str]:
        """Return the addresses of all members."""
        return {member.entry.address for member in self._members.values()}

    def forget_silent(self, now_s: float) -> tuple[MemberKey, ...]:
        """Drop members that have been silent for long, and return them."""
        silent = tuple(self._silent(now_s))
        for key in silent:
            self._members.pop(key)
        return silent

    def __len__(self) -> int:
        """Return the number of members, silent ones included."""
        return len(self._members)

    def _is_live(self, member: Member, now_s: float) -> bool:
        if now_s - member.heard_s > self.suspect_after_s:
            return False
        if member.suspected_s is None:
            return True
        return now_s - member.suspected_s <= self.confirm_after_s

    def _silent(self, now_s: float) -> Iterator[MemberKey]:
        for key, member in self._members.items():
            if now_s - member.heard_s > self.forget_after_s:
                yield key
