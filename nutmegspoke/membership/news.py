"""Fills messages with news and takes news out of them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, TypeVar

from nutmegspoke.membership.dissemination import Dissemination, copies_for
from nutmegspoke.membership.messages import (
    DaemonEntry,
    DemandEntry,
    Digest,
    Notice,
)
from nutmegspoke.membership.notices import NoticeBoard

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
class News:
    """News of daemons, of demand, and notices.

    Demand is passed on among few daemons only. Among many, each hears that of
    the peers that write to it, which is a random sample.

    :param members: the daemons known.
    :param notices: the notices known.
    """

    members: Members
    notices: NoticeBoard = dataclasses.field(default_factory=NoticeBoard)
    _entries: Dissemination[MemberKey] = dataclasses.field(
        default_factory=Dissemination,
    )
    _demands: Dissemination[MemberKey] = dataclasses.field(
        default_factory=Dissemination,
    )

    def take_entry(self, entry: DaemonEntry, now_s: float) -> bool:
        """Keep an entry; tell whether this start of a daemon is new."""
        key = (entry.name, entry.start)
        is_known = self.members.find(key) is not None
        if not self.members.take_entry(entry, now_s):
            return False
        self._entries.schedule(key)
        return not is_known

    def take_demand(self, demand: DemandEntry) -> None:
        """Keep the demand of a daemon."""
        if self.members.take_demand(demand):
            self._demands.schedule((demand.name, demand.start))

    def compose(
        self,
        own: OwnEntries,
        now_s: float,
        limit_bytes: float,
    ) -> Digest:
        """Fill a message with the news passed on least often.

        :param own: what this daemon says of itself; it always goes along.
        :param limit_bytes: size up to which it is filled. There is always
            room for a few notices.
        """
        copies = copies_for(len(self.members))
        own_bytes = size_bytes(own.entry) + size_bytes(own.demand)
        filler = _MessageFiller(max(limit_bytes - own_bytes, _MIN_SHARED_BYTES))
        notices = filler.fill(self.notices.outgoing(now_s, copies))
        entries = filler.fill(self._outgoing_entries(copies))
        demands: tuple[DemandEntry, ...] = ()
        if len(self.members) <= MAX_RELAYED_DEMANDS:
            demands = filler.fill(self._outgoing_demands(copies))
        return _digest(
            own, entries, demands, notices, own.confirmed_age_s(now_s)
        )

    def compose_all(
        self,
        own: OwnEntries,
        now_s: float,
        limit_bytes: float,
    ) -> Digest:
        """Fill a message with all that a daemon that joins should know."""
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
        """Drop members that have been silent for long."""
        for key in self.members.forget_silent(now_s):
            self._entries.drop(key)
            self._demands.drop(key)

    def _outgoing_entries(self, copies: int) -> Iterator[DaemonEntry]:
        for key in self._entries.candidates(copies):
            member = self.members.find(key)
            if member is not None:
                yield member.entry
                self._entries.sent(key)

    def _outgoing_demands(self, copies: int) -> Iterator[DemandEntry]:
        for key in self._demands.candidates(copies):
            member = self.members.find(key)
            if member is not None and member.demand is not None:
                yield member.demand
                self._demands.sent(key)


def size_bytes(part: _Item) -> int:
    """Return about how many bytes a part of a message takes."""
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
        taken: list[_ItemT] = []
        if self.left_bytes <= 0:
            return ()
        for part in parts:
            taken.append(part)
            self.left_bytes -= size_bytes(part)
            if self.left_bytes <= 0:
                break
        return tuple(taken)
