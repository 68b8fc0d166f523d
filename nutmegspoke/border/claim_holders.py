"""Names of claim holders, and their liveness as known from peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.border.peers import Peers


def holder_name(daemon: str, start_number: int) -> str:
    """Return the name under which one run of a daemon holds claims.

    :param daemon: name of the daemon.
    :param start_number: number of the start, different for each run.
    """
    return f'{daemon}.{start_number:x}'


class PeerLiveness:
    """Liveness of claim holders, by the entries of the peers.

    A holder is gone once another start of its daemon is live. A holder that
    merely sends nothing may be frozen or cut off and is not gone.
    """

    def __init__(self, peers: Peers) -> None:
        """Use the entries of these peers."""
        self._peers = peers

    def is_gone(self, daemon: str, now_s: float) -> bool:
        """Return whether a holder is known to have ended.

        :param daemon: name of the holder, see :func:`holder_name`.
        :param now_s: current time; not used.
        """
        name, _, _ = daemon.rpartition('.')
        return any(
            member.entry.name == name
            and holder_name(name, member.entry.start) != daemon
            for member in self._peers.live()
        )

    def daemon_count(self, now_s: float) -> int:
        """Return how many daemons use the table service, this one included."""
        return len(self._peers.live()) + 1
