"""Tracks the revision of the tables that a daemon has in force.

The revision in force never decreases. A confirmation records the latest time
at which it is known to have been the highest committed revision. The age of the
confirmation is checked at each decision, so a daemon that was suspended
detects a stale confirmation before it decides anything.
"""

from __future__ import annotations

import dataclasses
import enum

from nutmegspoke.tables.rows import Tables


class Source(enum.StrEnum):
    """Source of offered tables: the store or a peer."""

    STORE = 'store'
    PEER = 'peer'


class IgnoredReason(enum.StrEnum):
    """Reason why an offer is ignored.

    ``SAME``: the offered tables are already in force. ``LOWER``: their
    revision is lower. ``DIFFERS``: same revision, but different content.
    """

    SAME = 'same'
    LOWER = 'lower'
    DIFFERS = 'differs'


class RevisionStatus(enum.StrEnum):
    """Status of the revision in force.

    ``CONFIRMED``: confirmed recently. All others are not: ``NEW``: no tables
    yet. ``BEHIND``: a higher revision is known. ``OUTAGE``: at least
    as many peers answered as did not, and none reaches the store. ``CUT_OFF``:
    not confirmed, and not known to be an outage of the store.
    """

    NEW = 'new'
    CONFIRMED = 'confirmed'
    OUTAGE = 'outage'
    BEHIND = 'behind'
    CUT_OFF = 'cut_off'


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The offered tables are now in force.

    :param revision: their revision.
    :param previous: the revision that they replaced.
    :param source: source of the offer.
    """

    revision: int
    previous: int
    source: Source


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """The offer was ignored.

    :param reason: the reason; ``differs`` means that two different contents
        have the same revision.
    :param offered: revision of the offer.
    :param in_force: revision in force.
    :param source: source of the offer.
    """

    reason: IgnoredReason
    offered: int
    in_force: int
    source: Source


OfferResult = Accepted | Ignored


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReport:
    """A peer's report on its revision.

    :param peer: address of the peer.
    :param revision: highest revision known to the peer.
    :param asked_s: lower bound of the time of the report, on the local clock,
        such as the time when the message that it answers was sent.
    :param confirmed_age_s: age of the peer's own confirmation by the store;
        ``None`` if it has none.
    :param is_store_reachable: whether the store answered the peer's last read.
    """

    peer: str
    revision: int
    asked_s: float
    confirmed_age_s: float | None
    is_store_reachable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionLimits:
    """Limits of the tracker.

    :param max_confirmation_age_s: age above which a confirmation is stale.
    """

    max_confirmation_age_s: float = 8.0


class RevisionTracker:
    """Holds the tables in force and the time of their last confirmation.

    The tracker reads no clock: callers pass the current time in.
    """

    def __init__(self, limits: RevisionLimits | None = None) -> None:
        """Start with empty, unconfirmed tables."""
        self.current = Tables()
        self._limits = limits or RevisionLimits()
        self._highest_reported = 0
        # Time of the last confirmation, by the store or through a peer.
        self._confirmed_s: float | None = None
        # Time of the last confirmation by the store itself.
        self._store_confirmed_s: float | None = None
        self._reports: dict[str, PeerReport] = {}
        self._unanswered_at_s: dict[str, float] = {}

    @property
    def highest_known_revision(self) -> int:
        """Return the highest revision reported by the store or a peer."""
        return max(self._highest_reported, self.current.revision)

    def offer(
        self,
        tables: Tables,
        source: Source,
        now_s: float,
    ) -> OfferResult:
        """Apply tables if their revision is higher.

        :param tables: both tables at one revision.
        :param source: source of the tables.
        :param now_s: current time.
        :returns: whether they were accepted, or why they were ignored.
        """
        previous = self.current.revision
        if tables.revision > previous:
            self.current = tables
            return Accepted(tables.revision, previous, source)
        reason = IgnoredReason.LOWER
        if tables.revision == previous:
            is_same = tables == self.current
            reason = IgnoredReason.SAME if is_same else IgnoredReason.DIFFERS
        return Ignored(reason, tables.revision, previous, source)

    def confirm(self, revision: int, asked_s: float) -> Ignored | None:
        """Process the revision read from the store.

        :param revision: revision returned by the store.
        :param asked_s: time when the read was sent.
        :returns: :class:`Ignored` if a higher revision is already known, since
            such a read confirms nothing; otherwise ``None``. Nothing is
            confirmed either if the revision is higher than the one in force.
        """
        self._highest_reported = max(self._highest_reported, revision)
        if revision < self.highest_known_revision:
            return Ignored(
                IgnoredReason.LOWER,
                revision,
                self.current.revision,
                Source.STORE,
            )
        if revision == self.current.revision:
            self._store_confirmed_s = _latest(self._store_confirmed_s, asked_s)
            self._confirmed_s = _latest(self._confirmed_s, asked_s)
        return None

    def record_report(self, report: PeerReport) -> None:
        """Process a peer's report.

        A peer confirms the revision in force only if it has the same revision
        and the store confirmed it to the peer directly, not through a third
        daemon.
        """
        self._highest_reported = max(self._highest_reported, report.revision)
        previous = self._reports.get(report.peer)
        if previous is None or previous.asked_s <= report.asked_s:
            self._reports[report.peer] = report
        if report.confirmed_age_s is None:
            return
        if (
            report.revision
            == self.highest_known_revision
            == self.current.revision
        ):
            self._confirmed_s = _latest(
                self._confirmed_s,
                report.asked_s - report.confirmed_age_s,
            )

    def record_unanswered(self, peer: str, asked_s: float) -> None:
        """Record that a peer did not answer.

        :param peer: address of the peer.
        :param asked_s: time when the request was sent.
        """
        self._unanswered_at_s[peer] = asked_s

    def confirmation_age_s(self, now_s: float) -> float | None:
        """Return the confirmation's age in seconds; ``None`` without one."""
        return None if self._confirmed_s is None else now_s - self._confirmed_s

    @property
    def store_confirmed_s(self) -> float | None:
        """Return the time of the last direct confirmation, to send to peers."""
        return self._store_confirmed_s

    def revision_status(self, now_s: float) -> RevisionStatus:
        """Return the status of the revision in force.

        :param now_s: current time.
        """
        age_s = self.confirmation_age_s(now_s)
        if age_s is not None and age_s <= self._limits.max_confirmation_age_s:
            return RevisionStatus.CONFIRMED
        if self.highest_known_revision > self.current.revision:
            return RevisionStatus.BEHIND
        if self.current.revision and self._is_outage(now_s):
            return RevisionStatus.OUTAGE
        return (
            RevisionStatus.CUT_OFF
            if self.current.revision
            else RevisionStatus.NEW
        )

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether decisions may use the revision in force.

        During an outage of the store no change can be accepted, so the
        highest known revision stays valid.
        """
        return self.revision_status(now_s) in {
            RevisionStatus.CONFIRMED,
            RevisionStatus.OUTAGE,
        }

    def _is_outage(self, now_s: float) -> bool:
        """Return whether the store, not the connection to peers, has failed.

        At least as many peers answered as did not, at least one did, and none
        reached the store. The peers asked are a random sample of all daemons,
        so most of them do not answer if the whole availability zone is cut off.
        """
        since_s = now_s - self._limits.max_confirmation_age_s
        self._drop_older(since_s)
        if any(report.is_store_reachable for report in self._reports.values()):
            return False
        unanswered_count = sum(
            peer not in self._reports or self._reports[peer].asked_s < asked_s
            for peer, asked_s in self._unanswered_at_s.items()
        )
        answered_count = len(self._reports)
        return bool(answered_count) and answered_count + 1 > unanswered_count

    def _drop_older(self, since_s: float) -> None:
        self._reports = {
            peer: report
            for peer, report in self._reports.items()
            if report.asked_s >= since_s
        }
        self._unanswered_at_s = {
            peer: asked_s
            for peer, asked_s in self._unanswered_at_s.items()
            if asked_s >= since_s
        }


def _latest(known_s: float | None, new_s: float) -> float:
    return new_s if known_s is None else max(known_s, new_s)
