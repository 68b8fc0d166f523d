"""State shared by gossip: composes messages and merges received items."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, TypeVar

from nutmegspoke.membership.dissemination import (
    Dissemination,
    transmission_limit,
)
from nutmegspoke.membership.messages import (
    DaemonEntry,
    DemandEntry,
    Digest,
    Notice,
)
from nutmegspoke.membership.notices import NoticeStore

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from nutmegspoke.membership.members import MemberKey, Members
    from nutmegspoke.membership.own_entries import OwnEntries

MAX_RELAYED_DEMANDS = 32
_MIN_SHARED_BYTES = 120
_NUMBER_BYTES = 9
_FIELD_BYTES = 2

_Item = DaemonEntry | DemandEntry | Notice
_ItemT = TypeVar('_ItemT', DaemonEntry, DemandEntry, Notice)


@dataclasses.dataclass(slots=True)
class SharedState:
    """Entries and demands of daemons, and notices.

    Demands are forwarded only among few daemons. Among many, a daemon receives
    only those of the peers that send to it, which are a random sample.

    :param members: the known daemons.
    :param notices: the known notices.
    """

    members: Members
    notices: NoticeStore = dataclasses.field(default_factory=NoticeStore)
    _entries: Dissemination[MemberKey] = dataclasses.field(
        default_factory=Dissemination,
    )
    _demands: Dissemination[MemberKey] = dataclasses.field(
        default_factory=Dissemination,
    )

    def receive_entry(self, entry: DaemonEntry, now_s: float) -> bool:
        """Store an entry; return whether this start of a daemon is new."""
        key = (entry.name, entry.start)
        is_known = self.members.find(key) is not None
        if not self.members.receive_entry(entry, now_s):
            return False
        self._entries.schedule(key)
        return not is_known

    def receive_demand(self, demand: DemandEntry) -> None:
        """Store the demand of a daemon and schedule it for sending."""
        if self.members.receive_demand(demand):
            self._demands.schedule((demand.name, demand.start))

    def compose(
        self,
        own: OwnEntries,
        now_s: float,
        limit_bytes: float,
    ) -> Digest:
        """Compose a message of the items sent least often so far.

        :param own: own entry and demand, which are always included.
        :param limit_bytes: size up to which it is filled. A few notices are
            included even if the own entries exceed it.
        """
        max_transmissions = transmission_limit(len(self.members))
        own_bytes = size_bytes(own.entry) + size_bytes(own.demand)
        filler = _MessageFiller(max(limit_bytes - own_bytes, _MIN_SHARED_BYTES))
        notices = filler.fill(self.notices.outgoing(now_s, max_transmissions))
        entries = filler.fill(self._outgoing_entries(max_transmissions))
        demands: tuple[DemandEntry, ...] = ()
        if len(self.members) <= MAX_RELAYED_DEMANDS:
            demands = filler.fill(self._outgoing_demands(max_transmissions))
        return _digest(
            own, entries, demands, notices, own.confirmed_age_s(now_s)
        )

    def compose_all(
        self,
        own: OwnEntries,
        now_s: float,
        limit_bytes: float,
    ) -> Digest:
        """Compose a message of all items for a daemon that joins.

        :param limit_bytes: size up to which it is filled.
        """
        live = self.members.live(now_s)
        filler = _MessageFiller(limit_bytes)
        notices = filler.fill(self.notices.all(now_s))
        entries = filler.fill(member.entry for member in live)
        demands = filler.fill(
            member.demand for member in live if member.demand is not None
        )
        return _digest(
            own, entries, demands, notices, own.confirmed_age_s(now_s)
        )

    def forget_silent(self, now_s: float) -> None:
        """Remove members that have been silent for long, and their items."""
        for key in self.members.forget_silent(now_s):
            self._entries.stop(key)
            self._demands.stop(key)

    def _outgoing_entries(
        self, max_transmissions: int
    ) -> Iterator[DaemonEntry]:
        for key in self._entries.candidates(max_transmissions):
            member = self.members.find(key)
            if member is not None:
                yield member.entry
                self._entries.count_transmission(key)

    def _outgoing_demands(
        self, max_transmissions: int
    ) -> Iterator[DemandEntry]:
        for key in self._demands.candidates(max_transmissions):
            member = self.members.find(key)
            if member is not None and member.demand is not None:
                yield member.demand
                self._demands.count_transmission(key)


def size_bytes(part: _Item) -> int:
    """Return the approximate encoded size of an item."""
    match part:
        case DaemonEntry(name, _, _, address, zone):
            texts = len(name) + len(address) + len(zone)
            return texts + 3 * _NUMBER_BYTES + 4 * _FIELD_BYTES
        case DemandEntry(name, _, _, teams):
            rows = (len(row.route) + len(row.team) for row in teams)
            texts = len(name) + sum(rows)
            return texts + 2 * _NUMBER_BYTES + 4 * _FIELD_BYTES * len(teams)
        case Notice(_, subject, detail):
            return len(subject) + len(detail) + 2 * _NUMBER_BYTES + 4


def _digest(
    own: OwnEntries,
    entries: tuple[DaemonEntry, ...],
    demands: tuple[DemandEntry, ...],
    notices: tuple[Notice, ...],
    confirmed_age_s: float | None,
) -> Digest:
    return Digest(
        (own.entry, *entries),
        (own.demand, *demands),
        notices,
        confirmed_age_s,
    )


@dataclasses.dataclass(slots=True)
class _MessageFiller:
    left_bytes: float

    def fill(self, parts: Iterable[_ItemT]) -> tuple[_ItemT, ...]:
        chosen: list[_ItemT] = []
        if self.left_bytes <= 0:
            return ()
        for part in parts:
            chosen.append(part)
            self.left_bytes -= size_bytes(part)
            if self.left_bytes <= 0:
                break
        return tuple(chosen)
