"""Settings, events and decisions of the exchange between daemons."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.membership.messages import (
        DaemonEntry,
        Message,
        Notice,
        TeamDemand,
    )

UNKNOWN_START = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GossipSettings:
    """Settings of the exchange.

    :param round_s: time between two rounds.
    :param fanout: peers written to in each round.
    :param view_size: peers among which the rounds go.
    :param view_lifetime_s: time after which the view is drawn again.
    :param heartbeat_s: time between two entries of a daemon, at the least.
    :param bytes_per_s: bound on what is sent.
    :param message_bytes: size up to which a message is filled.
    :param cut_off_after_s: silence of all peers after which a daemon takes
        itself for cut off.
    """

    round_s: float = 0.5
    fanout: int = 2
    view_size: int = 12
    view_lifetime_s: float = 5.0
    heartbeat_s: float = 1.0
    bytes_per_s: float = 8_000.0
    message_bytes: int = 900
    cut_off_after_s: float = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class OwnState:
    """What a daemon tells of itself, beside name and address.

    :param revision: highest revision of the tables that it has seen.
    :param is_store_reachable: whether the table service answers it.
    :param is_stopping: it takes no new callers.
    :param demands: the largest demands of teams, largest first.
    :param confirmed_s: when the table service itself last confirmed the
        revision; ``None`` if it never did.
    """

    revision: int = 0
    is_store_reachable: bool = False
    is_stopping: bool = False
    demands: tuple[TeamDemand, ...] = ()
    confirmed_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a peer may be reached.

    :param address: ``IP:PORT`` of its peer port.
    :param name: name of the daemon; empty if not known.
    :param start: start of the daemon; 0 if not known.
    """

    address: str
    name: str = ''
    start: int = UNKNOWN_START


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """A message to send.

    :param peer: where to.
    :param message: what.
    """

    peer: PeerAddress
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """What a message brought.

    :param joined: entries of starts of daemons not known before.
    :param notices: notices not heard before, but for suspected daemons.
    :param revision: highest revision that any daemon has said.
    """

    joined: tuple[DaemonEntry, ...] = ()
    notices: tuple[Notice, ...] = ()
    revision: int = 0
