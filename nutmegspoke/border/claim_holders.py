"""Tells from the exchange between daemons who holds claims no more."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.border.peers import Peers


def holder_name(daemon: str, start_number: int) -> str:
    """Return the name under which one start of a daemon holds claims."""
    return f'{daemon}.{start_number:x}'


class PeerLiveness:
    """Knows a holder as gone once a later start of its daemon is live.

    Silence alone proves nothing: the holder may be frozen or cut off.
    """

    def __init__(self, peers: Peers) -> None:
        """Use an exchange."""
        self._peers = peers

    def is_gone(self, daemon: str, now_s: float) -> bool:
        """Tell whether a daemon is known to have ended."""
        name, _, _ = daemon.rpartition('.')
        return any(
            member.entry.name == name
            and holder_name(name, member.entry.start) != daemon
            for member in self._peers.live()
        )

    def daemon_count(self, now_s: float) -> int:
        """Return how many daemons share the table service."""
        return len(self._peers.live()) + 1
