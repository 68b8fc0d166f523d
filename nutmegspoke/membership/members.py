"""The other daemons that a daemon knows."""

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

    :param entry: newest entry received.
    :param updated_s: when it was received, on this daemon's clock.
    :param suspected_s: when the member was first suspected of not answering;
        ``None`` if it is not suspected.
    :param demand: newest demand received.
    """

    entry: DaemonEntry
    updated_s: float
    suspected_s: float | None = None
    demand: DemandEntry | None = None


@dataclasses.dataclass(slots=True)
class Members:
    """Entries of other daemons by name and start.

    A daemon that is replaced or restarted is a new member; the earlier one
    is no longer updated. ``updated_s`` changes only with newer entries.
    Only a daemon itself creates its entries, so that their age shows how long
    it has been silent, whichever peer forwarded them.

    :param silence_timeout_s: time without a newer entry after which a member is
        no longer live.
    :param refutation_timeout_s: time in which a suspected member may still refute
        the suspicion before it is no longer live.
    :param forget_after_s: time without a newer entry after which a member is
        removed.
    """

    silence_timeout_s: float
    refutation_timeout_s: float
    forget_after_s: float
    _members: dict[MemberKey, Member] = dataclasses.field(default_factory=dict)

    def receive_entry(self, entry: DaemonEntry, now_s: float) -> bool:
        """Store an entry; return whether it is newer than the last one."""
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
        member.updated_s = now_s
        return True

    def receive_demand(self, demand: DemandEntry) -> bool:
        """Store the demand of a known member; return whether it is newer."""
        member = self._members.get((demand.name, demand.start))
        if member is None:
            return False
        known = member.demand
        if known is not None and demand.sequence <= known.sequence:
            return False
        member.demand = demand
        return True

    def suspect(self, key: MemberKey, refutations: int, now_s: float) -> bool:
        """Mark a member as suspected because it did not answer.

        Only an entry by which the member itself refutes the suspicion clears
        it. Its other entries may have been in transit when it ended.

        :param refutations: refutations known to the daemon that suspects it.
        :returns: ``False`` if the member is unknown, already suspected, or has
            refuted this suspicion.
        """
        member = self._members.get(key)
        if member is None or member.suspected_s is not None:
            return False
        if member.entry.refutations > refutations:
            return False
        member.suspected_s = now_s
        return True

    def find(self, key: MemberKey) -> Member | None:
        """Return a member; ``None`` if it is unknown."""
        return self._members.get(key)

    def live(self, now_s: float) -> tuple[Member, ...]:
        """Return the members that are considered live."""
        return tuple(
            member
            for member in self._members.values()
            if self._is_live(member, now_s)
        )

    def reachable(self, now_s: float) -> tuple[Member, ...]:
        """Return the most recently updated member of each address.

        Suspected and silent members are included.
        """
        by_address: dict[str, Member] = {}
        for member in self._members.values():
            address = member.entry.address
            known = by_address.get(address)
            if known is None or known.updated_s < member.updated_s:
                by_address[address] = member
        return tuple(by_address.values())

    def addresses(self) -> set[str]:
        """Return the addresses of all members."""
        return {member.entry.address for member in self._members.values()}

    def forget_silent(self, now_s: float) -> tuple[MemberKey, ...]:
        """Remove members silent for ``forget_after_s``; return their keys."""
        silent = tuple(self._silent(now_s))
        for key in silent:
            self._members.pop(key)
        return silent

    def __len__(self) -> int:
        """Return the number of members, silent ones included."""
        return len(self._members)

    def _is_live(self, member: Member, now_s: float) -> bool:
        if now_s - member.updated_s > self.silence_timeout_s:
            return False
        if member.suspected_s is None:
            return True
        return now_s - member.suspected_s <= self.refutation_timeout_s

    def _silent(self, now_s: float) -> Iterator[MemberKey]:
        for key, member in self._members.items():
            if now_s - member.updated_s > self.forget_after_s:
                yield key
