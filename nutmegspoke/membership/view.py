"""Select the peers to which a daemon sends messages."""

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
    """Random subset of the known daemons, redrawn at intervals.

    The rounds rotate through the view, so that each daemon in it is sent a
    message within ``view_size / fanout`` rounds. In addition, each round tries
    one address from the settings or the table service that no member has, so
    that separated groups of daemons find each other again.

    :param settings: sizes and times of the view.
    :param random_source: draws the view.
    :param seeds: addresses from the settings.
    """

    settings: GossipSettings
    random_source: RandomSource
    seeds: tuple[PeerAddress, ...] = ()
    _row_addresses: tuple[PeerAddress, ...] = ()
    _view: list[PeerAddress] = dataclasses.field(default_factory=list)
    _position: int = 0
    _last_draw_s: float = -math.inf

    def set_rows(self, rows: tuple[PeerAddress, ...]) -> None:
        """Replace the addresses read from the table service."""
        self._row_addresses = rows

    def next_peers(
        self,
        members: Members,
        own_address: str,
        now_s: float,
    ) -> tuple[PeerAddress, ...]:
        """Return the peers to which to send in this round."""
        if self._is_due(now_s):
            self._draw(members, now_s)
        chosen = self._next_in_view()
        unknown_peers = self._unknown_peers(members, own_address)
        if unknown_peers:
            chosen.extend(self.random_source.sample(unknown_peers, 1))
        return tuple(chosen)

    def knows_peers(self, members: Members, own_address: str) -> bool:
        """Return whether there is any peer to send to."""
        return bool(len(members) or self._unknown_peers(members, own_address))

    def redraw(self) -> None:
        """Make the next round draw a new view."""
        self._last_draw_s = -math.inf

    def _is_due(self, now_s: float) -> bool:
        return now_s - self._last_draw_s >= self.settings.view_lifetime_s

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
        self._last_draw_s = now_s

    def _next_in_view(self) -> list[PeerAddress]:
        count = min(self.settings.fanout, len(self._view))
        chosen = []
        for _ in range(count):
            self._position = (self._position + 1) % len(self._view)
            chosen.append(self._view[self._position])
        return chosen

    def _unknown_peers(
        self,
        members: Members,
        own_address: str,
    ) -> list[PeerAddress]:
        known = members.addresses()
        known.add(own_address)
        found = {
            peer.address: PeerAddress(peer.address)
            for peer in (*self.seeds, *self._row_addresses)
            if peer.address not in known
        }
        return list(found.values())
