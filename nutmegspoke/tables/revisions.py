"""Decides which revision of the tables a daemon has in force.

A revision only rises. Whether it is still the highest one accepted is known
up to a moment, the confirmation; its age is checked at each decision, so a
daemon that was suspended finds out before it decides anything.
"""

from __future__ import annotations

import dataclasses
import enum

from nutmegspoke.tables.rows import Tables


class Source(enum.StrEnum):
    """Where tables come from."""

    STORE = 'store'
    PEER = 'peer'


class IgnoredReason(enum.StrEnum):
    """Why an offer changes nothing."""

    SAME = 'same'
    LOWER = 'lower'
    DIFFERS = 'differs'


class RevisionStatus(enum.StrEnum):
    """What a daemon knows of the revision that it has in force."""

    NEW = 'new'
    CONFIRMED = 'confirmed'
    OUTAGE = 'outage'
    BEHIND = 'behind'
    CUT_OFF = 'cut_off'


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The offered tables are in force.

    :param revision: their revision.
    :param previous: the revision that they replace.
    :param source: where they came from.
    """

    revision: int
    previous: int
    source: Source


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """The offer changes nothing.

    :param reason: why. ``differs`` means that two contents claim one revision.
    :param offered: revision of the offer.
    :param in_force: revision in force.
    :param source: where the offer came from.
    """

    reason: IgnoredReason
    offered: int
    in_force: int
    source: Source


OfferResult = Accepted | Ignored


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReport:
    """What a peer said of its revision.

    :param peer: name of the peer.
    :param revision: the highest revision that it knows.
    :param asked_s: a time on our clock before which the peer can't have said
        this, such as when we sent the message that it answers.
    :param confirmed_age_s: age of the peer's own confirmation by the store;
        ``None`` if it has none.
    :param is_store_reachable: whether its last read of the store was answered.
    """

    peer: str
    revision: int
    asked_s: float
    confirmed_age_s: float | None
    is_store_reachable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionLimits:
    """Limits of the tracker.

    :param confirmation_s: age at which a confirmation no longer counts.
    """

    confirmation_s: float = 8.0


class RevisionTracker:
    """Holds the tables in force and how far they are confirmed."""

    def __init__(self, limits: RevisionLimits | None = None) -> None:
        """Start from empty tables that nothing confirms."""
        self.current = Tables()
        self._limits = limits or RevisionLimits()
        self._highest_heard = 0
        self._confirmed_s: float | None = None
        self._store_confirmed_s: float | None = None
        self._reports: dict[str, PeerReport] = {}
        self._unanswered_s: dict[str, float] = {}

    @property
    def highest_known_revision(self) -> int:
        """Return the highest revision that the store or a peer has shown."""
        return max(self._highest_heard, self.current.revision)

    def offer(
        self,
        tables: Tables,
        source: Source,
        now_s: float,
    ) -> OfferResult:
        """Take tables into force if their revision is higher.

        :param tables: both tables at one revision.
        :param source: where they come from.
        :param now_s: the present time.
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
        """Take an answer of the store about the highest revision.

        :param revision: revision that the store showed.
        :param asked_s: when the read was sent.
        :returns: the report of a lower read, which confirms nothing.
        """
        self._highest_heard = max(self._highest_heard, revision)
        if revision < self.highest_known_revision:
            return Ignored(
                IgnoredReason.LOWER,
                revision,
                self.current.revision,
                Source.STORE,
            )
        if revision == self.current.revision:
            self._store_confirmed_s = _later(self._store_confirmed_s, asked_s)
            self._confirmed_s = _later(self._confirmed_s, asked_s)
        return None

    def record_report(self, report: PeerReport) -> None:
        """Take what a peer says.

        A peer confirms our revision only if it has the same one and the store
        confirmed it to the peer itself, never by what a third one said.
        """
        self._highest_heard = max(self._highest_heard, report.revision)
        known = self._reports.get(report.peer)
        if known is None or known.asked_s <= report.asked_s:
            self._reports[report.peer] = report
        if report.confirmed_age_s is None:
            return
        if (
            report.revision
            == self.highest_known_revision
            == self.current.revision
        ):
            self._confirmed_s = _later(
                self._confirmed_s,
                report.asked_s - report.confirmed_age_s,
            )

    def unanswered(self, peer: str, asked_s: float) -> None:
        """Note that a peer did not answer.

        :param peer: name of the peer.
        :param asked_s: when it was asked.
        """
        self._unanswered_s[peer] = asked_s

    def confirmation_age_s(self, now_s: float) -> float | None:
        """Return the age of the confirmation; ``None`` if there is none."""
        return None if self._confirmed_s is None else now_s - self._confirmed_s

    @property
    def store_confirmed_s(self) -> float | None:
        """Return up to when the store itself confirmed, to tell peers."""
        return self._store_confirmed_s

    def revision_status(self, now_s: float) -> RevisionStatus:
        """Tell what is known of the revision in force.

        :param now_s: the present time.
        """
        age_s = self.confirmation_age_s(now_s)
        if age_s is not None and age_s <= self._limits.confirmation_s:
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
        """Tell whether a decision may lean on the revision in force.

        During an outage of the store no change can be accepted, so the
        highest revision known stays in force.
        """
        return self.revision_status(now_s) in {
            RevisionStatus.CONFIRMED,
            RevisionStatus.OUTAGE,
        }

    def _is_outage(self, now_s: float) -> bool:
        """Tell whether most peers asked lately answer without the store.

        The peers asked are a random sample of all daemons, so a zone that is
        cut off whole finds most of them silent.
        """
        since_s = now_s - self._limits.confirmation_s
        self._drop_before(since_s)
        if any(report.is_store_reachable for report in self._reports.values()):
            return False
        silent = sum(
            peer not in self._reports or self._reports[peer].asked_s < asked_s
            for peer, asked_s in self._unanswered_s.items()
        )
        answered = len(self._reports)
        return bool(answered) and answered + 1 > silent

    def _drop_before(self, since_s: float) -> None:
        self._reports = {
            peer: report
            for peer, report in self._reports.items()
            if report.asked_s >= since_s
        }
        self._unanswered_s = {
            peer: asked_s
            for peer, asked_s in self._unanswered_s.items()
            if asked_s >= since_s
        }


def _later(known_s: float | None, offered_s: float) -> float:
    return offered_s if known_s is None else max(known_s, offered_s)
