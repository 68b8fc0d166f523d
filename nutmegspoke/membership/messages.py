"""Messages between daemons.

All are arrays on the wire. Fields are only added at the end and with defaults,
so that adjacent releases can read each other's messages.
"""

from __future__ import annotations

import enum

import msgspec

PROTOCOL_VERSION = 1


class MessageKind(enum.IntEnum):
    """Kinds of messages. Unknown kinds are counted and dropped."""

    HELLO = 1
    DIGEST = 2
    TABLES_REQUEST = 3
    TABLES_REPLY = 4
    NOTHING = 5


class NoticeKind(enum.IntEnum):
    """Kinds of notices. Unknown kinds are counted and dropped."""

    LEAVING_TARGET = 1
    QUARANTINE = 2
    SUSPECTED_DAEMON = 3


class DaemonEntry(msgspec.Struct, frozen=True, array_like=True):
    """State that a daemon reports about itself.

    :param name: name of the daemon.
    :param start: random number that identifies this start of the daemon.
    :param sequence: raised with each new entry of this start.
    :param address: ``IP:PORT`` of its peer port.
    :param availability_zone: availability zone of its host.
    :param revision: highest revision of the tables that it knows.
    :param is_store_reachable: whether the table service answers it.
    :param is_stopping: whether it rejects new callers because it is stopping.
    :param refutations: raised each time that it refutes a suspicion.
    """

    name: str
    start: int
    sequence: int
    address: str
    availability_zone: str = ''
    revision: int = 0
    is_store_reachable: bool = False
    is_stopping: bool = False
    refutations: int = 0


class TeamDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of a team at one daemon.

    :param route: name of the route.
    :param team: name of the team.
    :param in_flight: requests running or queued there.
    """

    route: str
    team: str
    in_flight: int


class DemandEntry(msgspec.Struct, frozen=True, array_like=True):
    """Demand at one daemon.

    :param name: name of the daemon.
    :param start: start of the daemon.
    :param sequence: raised with each new entry of this start.
    :param teams: the largest demands, largest first.
    """

    name: str
    start: int
    sequence: int
    teams: tuple[TeamDemand, ...] = ()


class Notice(msgspec.Struct, frozen=True, array_like=True):
    """Short-lived item that every daemon should receive once.

    :param kind: one of :class:`NoticeKind`.
    :param subject: address, fingerprint or daemon that it is about.
    :param detail: start of the subject, if relevant; may be empty.
    :param age_s: time since it was created.
    :param number: for a suspected daemon, refutations known to the daemon that
        suspects it; otherwise 0.
    """

    kind: int
    subject: str
    detail: str
    age_s: float
    number: int = 0


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """One message of the gossip protocol, or its answer.

    :param entries: entries of daemons, the sender's own first.
    :param demands: demands at daemons, the sender's own first.
    :param notices: notices to receive once.
    :param confirmed_age_s: time since the table service itself last confirmed
        the sender's revision; ``None`` if it never did.
    """

    entries: tuple[DaemonEntry, ...] = ()
    demands: tuple[DemandEntry, ...] = ()
    notices: tuple[Notice, ...] = ()
    confirmed_age_s: float | None = None


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """First message to a peer whose start is not known.

    :param entry: entry of the sender.
    """

    entry: DaemonEntry


class TablesRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for the tables of a higher revision.

    :param revision: revision that the sender has.
    """

    revision: int


class RowBody(msgspec.Struct, frozen=True, array_like=True):
    """A row as the table service holds it.

    :param key: key of the row.
    :param body: encoded content.
    """

    key: str
    body: bytes


class TablesReply(msgspec.Struct, frozen=True, array_like=True):
    """Difference between one revision of the tables and a higher one.

    :param base_revision: revision to which it applies; 0 for empty tables.
    :param revision: revision after it is applied.
    :param digest: digest of all rows at that revision.
    :param changed: rows that were added or changed.
    :param removed: keys of rows that were removed.
    """

    base_revision: int
    revision: int
    digest: bytes
    changed: tuple[RowBody, ...] = ()
    removed: tuple[str, ...] = ()


class Nothing(msgspec.Struct, frozen=True, array_like=True):
    """Empty answer, for instance to a message of an unknown kind."""


Message = Hello | Digest | TablesRequest | TablesReply | Nothing
