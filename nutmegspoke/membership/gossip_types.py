"""Settings, inputs and outputs of the gossip protocol."""

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
    """Settings of the gossip protocol.

    :param round_s: time between two rounds.
    :param fanout: number of peers to which a round sends.
    :param view_size: number of peers among which the rounds rotate.
    :param view_lifetime_s: time after which a new view is drawn.
    :param heartbeat_s: minimum time between two unchanged entries of a daemon.
    :param bytes_per_s: limit on the bytes sent per second.
    :param message_bytes: size up to which a message is filled.
    :param cut_off_after_s: time without a message from any peer after which a
        daemon considers itself cut off.
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
    """State that a daemon reports about itself, beside name and address.

    :param revision: highest revision of the tables that it knows.
    :param is_store_reachable: whether the table service answers it.
    :param is_stopping: whether it rejects new callers because it is stopping.
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
    """Address of a peer.

    :param address: ``IP:PORT`` of its peer port.
    :param name: name of the daemon; empty if unknown.
    :param start: start of the daemon; 0 if unknown.
    """

    address: str
    name: str = ''
    start: int = UNKNOWN_START


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to send to a peer.

    :param peer: the recipient.
    :param message: the message.
    """

    peer: PeerAddress
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class MergeResult:
    """New information in a message that was received.

    :param joined: entries of starts of daemons that were unknown before.
    :param notices: new notices, except for those about suspected daemons.
    :param revision: highest revision that any daemon has reported so far.
    """

    joined: tuple[DaemonEntry, ...] = ()
    notices: tuple[Notice, ...] = ()
    revision: int = 0
