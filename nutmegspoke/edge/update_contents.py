"""Contents of the updates that a daemon sends about itself."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from nutmegspoke.membership.load_news import (
    EventUpdate,
    LoadUpdate,
    TargetFault,
)

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.feeds import Feeds
    from nutmegspoke.edge.view import View

# An unchanged update is sent at this interval, as a heartbeat. It is well below
# ``load_news.SILENCE_LIMIT_S``, from which a daemon is ignored.
HEARTBEAT_INTERVAL_S = 0.5
# Time for which a notice is repeated, as some updates are lost.
_NOTICE_REPEAT_S = 3 * HEARTBEAT_INTERVAL_S


class LeaderLease(Protocol):
    """The lease on placement, which determines the leader."""

    def is_leader(self) -> bool:
        """Return whether this daemon holds the lease on placement."""

    def row(self) -> tuple[int, bytes] | None:
        """Return version and body of the lease row if this daemon is leader."""

    def receive_row(self, version: int, body: bytes) -> None:
        """Record the lease row received from another daemon."""


class ReportReader(Protocol):
    """Reader of the engines' reports."""

    def is_report_reader(self, now_s: float) -> bool:
        """Return whether this daemon reads the reports for all daemons."""


class UpdateContents:
    """Creates the updates of this daemon.

    :param leader: provides the lease row.
    :param report_reader: provides whether this daemon reads the reports.
    :param feeds: followers of the tables of the store.
    """

    def __init__(
        self,
        view: View,
        leader: LeaderLease,
        report_reader: ReportReader,
        feeds: Feeds,
        clock: Clock,
    ) -> None:
        """Create an instance that has created no updates."""
        self._view = view
        self._leader = leader
        self._report_reader = report_reader
        self._followers = feeds.followers
        self._health = feeds.health
        self._started_ms = int(clock.wall_s() * 1_000)
        self._number = 0

    def new_event(self, now_s: float) -> EventUpdate:
        """Return the news that all other daemons need at once."""
        update = self.new_update(now_s)
        return EventUpdate(
            update.host, update.faults, update.lost, update.notices
        )

    def new_update(self, now_s: float) -> LoadUpdate:
        """Return an update on the load and other news of this daemon."""
        self._number += 1
        reservations = self._view.own_reservations.total_reservations()
        relays = self._view.load_updates.relays
        era = max(follower.era for follower in self._followers)
        return LoadUpdate(
            host=self._view.host.name,
            started_ms=self._started_ms,
            number=self._number,
            reservations={
                # The order of the fields of Reservation.
                engine: (
                    round(reservation.token_layers),
                    reservation.request_count,
                    reservation.first_stage_count,
                )
                for engine, reservation in reservations.items()
            },
            faults=tuple(
                TargetFault(target, round(left_s, 2))
                for target, left_s in self._view.faults.own_faults(
                    now_s
                ).items()
            ),
            leads=self._leader.is_leader(),
            lease=self._leader.row(),
            reports=self._reports(now_s),
            reassignments=self._reassignments(now_s),
            used={
                pool: (*usage, 1)
                for pool, usage in self._view.retry_budgets.usage(now_s).items()
            },
            lost=self._view.lost_engines.recent_losses(now_s),
            feeds={
                follower.table: follower.newest_change or 0
                for follower in self._followers
                if follower.era == era
            },
            era=era,
            notices=self._view.crashes.outgoing(_NOTICE_REPEAT_S, now_s),
            silence_age_s=round(self._health.silence_age_s(now_s), 2),
            group=relays.group,
            asks_summary=relays.is_relayed,
            limits=self._view.conditions.limits.outgoing(now_s),
            demand=self._view.contention.own.outgoing(now_s),
            copied=self._view.retry_budgets.copies.outgoing(now_s),
        )

    def _reassignments(self, now_s: float) -> dict[str, tuple[int, int, float]]:
        if not self._leader.is_leader():
            return {}
        return self._view.reassignments.pending(now_s)

    def _reports(self, now_s: float) -> dict[str, tuple[float, float]]:
        if not self._report_reader.is_report_reader(now_s):
            return {}
        return self._view.reports.find_unusual(now_s)
