"""Creates the feeds of the tables that a daemon follows."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.edge.announcing import DAEMONS_TABLE
from nutmegspoke.edge.followers import TableFollower, TableSharing
from nutmegspoke.edge.quarantine_rows import QuarantineRows
from nutmegspoke.membership.common_work import all_read, reads_store
from nutmegspoke.membership.store_health import StoreHealth

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.listeners import (
        DaemonsListener,
        TablesListener,
        TargetsListener,
    )
    from nutmegspoke.edge.platform_parts import PlatformParts
    from nutmegspoke.edge.view import View


@dataclasses.dataclass(frozen=True, slots=True)
class Listeners:
    """The listener for each table."""

    tables: TablesListener
    targets: TargetsListener
    daemons: DaemonsListener


@dataclasses.dataclass(frozen=True, slots=True)
class Feeds:
    """The parts of a daemon that read tables of the store.

    :param followers: a follower for each table with changes.
    :param health: state of the store, which they share.
    :param quarantine_rows: reads its table at the start only.
    """

    followers: list[TableFollower]
    health: StoreHealth
    quarantine_rows: QuarantineRows


def new_feeds(
    parts: PlatformParts,
    view: View,
    listeners: Listeners,
    is_leader: Callable[[], bool],
    log: DecisionLog,
    clock: Clock,
) -> Feeds:
    """Return the feeds of the operator's tables, the targets and the daemons.

    The table of targets changes often. Where there are many daemons, only a
    few read it from the store and send updates to the others. Relays also read
    the other tables for the members of their group.

    :param is_leader: returns whether this daemon is the leader, which always
        reads the targets from the store.
    """
    updates = view.load_updates

    def shares_targets() -> bool:
        return not all_read(listeners.daemons.count())

    def reads_targets() -> bool:
        now_s = clock.now_s()
        if is_leader():
            return True
        if updates.relays.is_relayed:
            return updates.is_relay(now_s)
        live_hosts = updates.live_hosts(now_s)
        return reads_store(
            view.host.name, live_hosts, listeners.daemons.count()
        )

    def uses_relays() -> bool:
        return updates.relays.is_relayed

    def is_relay() -> bool:
        return updates.is_relay(clock.now_s())

    def apply_s() -> float:
        return view.host.bounds.apply_s

    def drain_s() -> float:
        return view.host.bounds.drain_s

    health = StoreHealth()
    follows = (
        (
            parts.tables_table,
            listeners.tables,
            TableSharing(
                uses_relays, is_relay, allowed_s=apply_s, forwards_rows=False
            ),
        ),
        (
            parts.targets_table,
            listeners.targets,
            TableSharing(
                shares_targets, reads_targets, is_busy=True, allowed_s=drain_s
            ),
        ),
        (
            DAEMONS_TABLE,
            listeners.daemons,
            TableSharing(uses_relays, is_relay),
        ),
    )
    followers = [
        TableFollower(
            table,
            parts.store,
            listener,
            listeners.daemons.count,
            log,
            clock,
            health,
            sharing,
        )
        for table, listener, sharing in follows
    ]
    return Feeds(followers, health, QuarantineRows(view, parts.store, clock))
