"""Applies the updates of other daemons to the state of this daemon."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from nutmegspoke.membership.feed_versions import FeedVersion, FeedVersions
from nutmegspoke.membership.load_news import (
    EventUpdate,
    LoadUpdate,
    Scope,
    check_event,
    check_update,
)
from nutmegspoke.membership.table_news import TableUpdate
from nutmegspoke.untrusted import UntrustedDecoder

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.feeds import Feeds
    from nutmegspoke.edge.followers import TableFollower
    from nutmegspoke.edge.listeners import DaemonsListener
    from nutmegspoke.edge.update_contents import LeaderLease
    from nutmegspoke.edge.view import View

logger = logging.getLogger(__name__)

# Interval at which datagrams that were dropped are logged.
_DROPPED_LOG_INTERVAL_S = 5.0


class UpdateReceiver:
    """Receiver of updates on load, faults, tables and the lease.

    :param daemons: addresses of the other daemons.
    :param leader: receives the lease row.
    :param feeds: followers of the tables of the store.
    """

    def __init__(
        self,
        view: View,
        daemons: DaemonsListener,
        leader: LeaderLease,
        feeds: Feeds,
        clock: Clock,
    ) -> None:
        """Create a receiver without updates."""
        self._view = view
        self._daemons = daemons
        self._leader = leader
        self._followers = feeds.followers
        self._health = feeds.health
        self._feed_versions = FeedVersions()
        self._clock = clock
        self._decoder = UntrustedDecoder.from_msgpack(
            LoadUpdate | EventUpdate | TableUpdate
        )
        self._dropped_count = 0
        self._dropped_logged_s = float('-inf')

    def receive(self, received: bytes, sender: object) -> None:
        """Apply an update from another daemon.

        Datagrams that are no update of the daemon at their sender's address
        are dropped, counted and logged at a bounded rate.
        """
        try:
            self._receive(received, sender)
        except Exception as error:  # noqa: BLE001 -- the daemon goes on
            self._count_dropped(sender, error)

    def _receive(self, received: bytes, sender: object) -> None:
        update = self._decoder.decode(received)
        if self._daemons.addresses.get(update.host) != sender:
            raise ValueError(f'{update.host} is not known at this address')
        now_s = self._clock.now_s()
        if isinstance(update, TableUpdate):
            self._receive_table_update(update)
        elif isinstance(update, EventUpdate):
            check_event(update)
            self._receive_event(update, now_s)
        else:
            check_update(update)
            self._receive_load_update(update, now_s)

    def _count_dropped(self, sender: object, error: Exception) -> None:
        self._dropped_count += 1
        now_s = self._clock.now_s()
        if now_s - self._dropped_logged_s < _DROPPED_LOG_INTERVAL_S:
            return
        self._dropped_logged_s = now_s
        logger.warning(
            'updates: %d datagrams dropped, the last from %s: %r',
            self._dropped_count,
            sender,
            error,
        )

    def _receive_table_update(self, update: TableUpdate) -> None:
        for follower in self._followers:
            if follower.table == update.table and not follower.is_reader():
                follower.receive_update(update)

    def _receive_event(self, event: EventUpdate, now_s: float) -> None:
        for fault in event.faults:
            self._view.faults.add_peer_fault(fault.target, fault.left_s, now_s)
        self._view.lost_engines.receive(event.lost, now_s)
        self._view.crashes.receive(event.notices, now_s)
        self._view.conditions.limits.sent_elsewhere(event.sent, now_s)
        self._view.conditions.departures.announced_elsewhere(event.leaving)

    def _receive_load_update(self, update: LoadUpdate, now_s: float) -> None:
        if not self._view.load_updates.receive(update, now_s):
            return
        if update.scope != Scope.HOST:
            self._view.load_updates.relays.record_summary(update.host, now_s)
        for fault in update.faults:
            self._view.faults.add_peer_fault(fault.target, fault.left_s, now_s)
        feeds = {
            table: FeedVersion(update.era, newest_change)
            for table, newest_change in update.feeds.items()
        }
        self._feed_versions.receive(feeds, now_s)
        self._view.reports.receive(update.reports, now_s)
        self._view.reassignments.receive(update.reassignments, now_s)
        self._view.lost_engines.receive(update.lost, now_s)
        self._view.crashes.receive(update.notices, now_s)
        self._view.conditions.limits.receive(update.limits, now_s)
        self._health.enter_era(update.era, now_s)
        if update.silence_age_s >= 0:
            self._health.silence_ended_elsewhere(now_s - update.silence_age_s)
        if update.lease is not None:
            self._leader.receive_row(*update.lease)

    def find_stale_followers(self, now_s: float) -> list[TableFollower]:
        """Return the followers that are stale compared to other daemons.

        Each of them is recorded as restarted, so the caller must restart it.
        """
        return [
            follower
            for follower in self._followers
            if self._feed_versions.must_restart(
                follower.table,
                follower.feed_version,
                follower.sharing.role().update_lag_s(self._daemons.count()),
                now_s,
            )
        ]
