"""Tests of the tracker of the revision in force."""

from __future__ import annotations

import dataclasses
import unittest

from nutmegspoke.tables.revisions import (
    Accepted,
    Ignored,
    IgnoredReason,
    PeerReport,
    RevisionLimits,
    RevisionStatus,
    RevisionTracker,
    Source,
)
from nutmegspoke.tables.rows import Tables
from tests.builders_tables import build_route, build_tables

_LIMITS = RevisionLimits(max_confirmation_age_s=8)


def _build_tables_at(revision: int, priority: int = 0) -> Tables:
    tables = build_tables(build_route(priority=priority))
    return dataclasses.replace(tables, revision=revision)


def _build_tracker(
    revision: int = 5, confirmed_s: float = 100
) -> RevisionTracker:
    tracker = RevisionTracker(_LIMITS)
    tracker.offer(_build_tables_at(revision), Source.STORE, confirmed_s)
    tracker.confirm(revision, confirmed_s)
    return tracker


def _build_report(**fields: object) -> PeerReport:
    defaults = {
        'peer': 'p1',
        'revision': 5,
        'asked_s': 200.0,
        'confirmed_age_s': None,
        'is_store_reachable': False,
    }
    return PeerReport(**{**defaults, **fields})


class RevisionTrackerTest(unittest.TestCase):
    """Offers, confirmations and the resulting status."""

    def test_takes_a_revision_only_upwards(self) -> None:
        """Lower and equal offers are ignored, with the reason."""
        tracker = _build_tracker(5)
        outcome = tracker.offer(_build_tables_at(7), Source.PEER, 101)
        self.assertEqual(outcome, Accepted(7, 5, Source.PEER))
        for tables, reason in (
            (_build_tables_at(6), IgnoredReason.LOWER),
            (_build_tables_at(7), IgnoredReason.SAME),
            (_build_tables_at(7, priority=1), IgnoredReason.DIFFERS),
        ):
            outcome = tracker.offer(tables, Source.STORE, 102)
            expected = Ignored(reason, tables.revision, 7, Source.STORE)
            self.assertEqual(outcome, expected)
            self.assertEqual(tracker.current, _build_tables_at(7))

    def test_a_lower_read_is_reported_and_confirms_nothing(self) -> None:
        """A stale read can't renew the confirmation."""
        tracker = _build_tracker(5, confirmed_s=100)
        outcome = tracker.confirm(4, 107)
        self.assertEqual(outcome.reason, IgnoredReason.LOWER)
        self.assertTrue(tracker.is_confirmed(108))
        self.assertFalse(tracker.is_confirmed(108.1))

    def test_a_read_counts_from_when_it_was_sent(self) -> None:
        """The age of a confirmation starts when the read was sent.

        Guards against a daemon that was suspended during several changes and
        then uses the answer to a read sent before.
        """
        tracker = _build_tracker(5, confirmed_s=100)
        tracker.confirm(5, 101)
        self.assertEqual(tracker.revision_status(4000), RevisionStatus.CUT_OFF)
        tracker.confirm(5, 102)
        self.assertFalse(tracker.is_confirmed(4000))
        tracker.confirm(9, 4000)
        self.assertEqual(tracker.revision_status(4000), RevisionStatus.BEHIND)
        tracker.offer(_build_tables_at(9), Source.STORE, 4001)
        self.assertFalse(tracker.is_confirmed(4001))
        tracker.confirm(9, 4001)
        self.assertTrue(tracker.is_confirmed(4001))

    def test_knowing_of_a_higher_revision_stops_confirmation(self) -> None:
        """The old revision stays in use until its confirmation expires."""
        tracker = _build_tracker(5, confirmed_s=100)
        tracker.record_report(_build_report(revision=6, asked_s=101))
        tracker.confirm(5, 103)
        self.assertTrue(tracker.is_confirmed(108))
        self.assertEqual(tracker.revision_status(109), RevisionStatus.BEHIND)

    def test_cut_from_the_store_but_not_from_peers(self) -> None:
        """A peer's confirmation counts, with the age the peer reports."""
        tracker = _build_tracker(5, confirmed_s=100)
        tracker.record_report(
            _build_report(confirmed_age_s=3.0, is_store_reachable=True)
        )
        self.assertTrue(tracker.is_confirmed(205))
        self.assertFalse(tracker.is_confirmed(205.1))
        self.assertEqual(tracker.store_confirmed_s, 100)
        tracker.record_report(
            _build_report(revision=6, asked_s=206, confirmed_age_s=0.0)
        )
        self.assertEqual(tracker.revision_status(206), RevisionStatus.BEHIND)

    def test_cut_from_both_refuses(self) -> None:
        """Without store and peers, an outage can't be established."""
        tracker = _build_tracker(5, confirmed_s=100)
        self.assertEqual(tracker.revision_status(150), RevisionStatus.CUT_OFF)
        tracker.record_unanswered('p1', 149)
        self.assertEqual(tracker.revision_status(150), RevisionStatus.CUT_OFF)

    def test_outage_needs_a_majority_that_does_not_see_the_store(self) -> None:
        """A cut-off minority does not assume an outage."""
        tracker = _build_tracker(5, confirmed_s=100)
        tracker.record_report(_build_report(peer='p1'))
        tracker.record_unanswered('p2', 200)
        tracker.record_unanswered('p3', 200)
        self.assertEqual(tracker.revision_status(201), RevisionStatus.CUT_OFF)
        tracker.record_report(_build_report(peer='p2', asked_s=200.5))
        self.assertEqual(tracker.revision_status(201), RevisionStatus.OUTAGE)
        tracker.record_unanswered('p4', 201)
        self.assertEqual(tracker.revision_status(201), RevisionStatus.OUTAGE)
        tracker.record_unanswered('p2', 202)
        self.assertEqual(tracker.revision_status(202), RevisionStatus.CUT_OFF)
        tracker.record_report(
            _build_report(peer='p2', asked_s=203, is_store_reachable=True)
        )
        tracker.record_report(_build_report(peer='p3', asked_s=203))
        self.assertEqual(tracker.revision_status(203), RevisionStatus.CUT_OFF)
        tracker.record_report(_build_report(peer='p2', asked_s=202.5))
        self.assertEqual(tracker.revision_status(203), RevisionStatus.CUT_OFF)
        tracker.record_report(_build_report(peer='p2', asked_s=204))
        self.assertEqual(tracker.revision_status(204), RevisionStatus.OUTAGE)
        self.assertEqual(tracker.revision_status(212.1), RevisionStatus.CUT_OFF)

    def test_store_down_when_a_daemon_starts(self) -> None:
        """A daemon is ready with the highest revision known to its peers."""
        tracker = RevisionTracker(_LIMITS)
        tracker.record_report(_build_report(peer='p1', revision=4))
        tracker.record_report(_build_report(peer='p2', revision=5))
        self.assertEqual(tracker.revision_status(201), RevisionStatus.BEHIND)
        tracker.offer(_build_tables_at(4), Source.PEER, 201)
        self.assertEqual(tracker.revision_status(201), RevisionStatus.BEHIND)
        tracker.offer(_build_tables_at(5), Source.PEER, 201)
        self.assertEqual(tracker.revision_status(201), RevisionStatus.OUTAGE)
        self.assertTrue(tracker.is_confirmed(201))
        self.assertEqual(
            RevisionTracker().revision_status(0), RevisionStatus.NEW
        )
