"""Which peers a daemon writes to."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from nutmegspoke.membership.gossip_types import GossipSettings, PeerAddress

if TYPE_CHECKING:
    from nutmegspoke.membership.members import Members
    from nutmegspoke.membership.randomness import RandomSource


@dataclasses.dataclass(slots=True)
class PeerView:
    """A random part of the known daemons, drawn anew now and then.

    The rounds go through the view in turn, so that each daemon in it is
    written to within ``view_size / fanout`` rounds. Addresses from the
    settings and the table service that no member bears are tried beside them,
    one in each round, so that parts that lost each other find each other again.
    """

    settings: GossipSettings
    random_source: RandomSource
    seeds: tuple[PeerAddress, ...] = ()
    _rows: tuple[PeerAddress, ...] = ()
    _view: list[PeerAddress] = dataclasses.field(default_factory=list)
    _position: int = 0
    _drawn_s: float = -math.inf

    def set_rows(self, rows: tuple[PeerAddress, ...]) -> None:
        """Take the addresses that daemons wrote to the table service."""
        self._rows = rows

    def next_peers(
        self,
        members: Members,
        own_address: str,
        now_s: float,
    ) -> tuple[PeerAddress, ...]:
        """Return the peers of this round."""
        if self._is_due(now_s):
            self._draw(members, now_s)
        chosen = self._next_of_view()
        strangers = self._strangers(members, own_address)
        if strangers:
            chosen.extend(self.random_source.sample(strangers, 1))
        return tuple(chosen)

    def knows_peers(self, members: Members, own_address: str) -> bool:
        """Tell whether there is any peer to write to."""
        return bool(len(members) or self._strangers(members, own_address))

    def redraw(self) -> None:
        """Draw the view again at the next round."""
        self._drawn_s = -math.inf

    def _is_due(self, now_s: float) -> bool:
        return now_s - self._drawn_s >= self.settings.view_lifetime_s

    def _draw(self, members: Members, now_s: float) -> None:
        known = [
            PeerAddress(
                member.entry.address,
                member.entry.name,
                member.entry.start,
            )
            for member in members.reachable(now_s)
        ]
        size = min(len(known), self.settings.view_size)
        self._view = self.random_source.sample(known, size)
        self._drawn_s = now_s

    def _next_of_view(self) -> list[PeerAddress]:
        count = min(self.settings.fanout, len(self._view))
        chosen = []
        for _ in range(count):
            self._position = (self._position + 1) % len(self._view)
            chosen.append(self._view[self._position])
        return chosen

    def _strangers(
        self,
        members: Members,
        own_address: str,
    ) -> list[PeerAddress]:
        known = members.addresses()
        known.add(own_address)
        found = {
            peer.address: PeerAddress(peer.address)
            for peer in (*self.seeds, *self._rows)
            if peer.address not in known
        }
        return list(found.values())
