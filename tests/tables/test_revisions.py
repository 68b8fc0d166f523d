"""Tests of the revision in force."""

from __future__ import annotations

import dataclasses
import unittest

from nutmegspoke.tables.revisions import (
    Accepted,
    Ignored,
    IgnoredReason,
    PeerReport,
    RevisionLimits,
    RevisionTracker,
    Source,
    RevisionStatus,
)
from nutmegspoke.tables.rows import Tables
from tests.builders_tables import build_route, build_tables

_LIMITS = RevisionLimits(confirmation_s=8)


def _tables(revision: int, priority: int = 0) -> Tables:
    tables = build_tables(build_route(priority=priority))
    return dataclasses.replace(tables, revision=revision)


def _tracker(revision: int = 5, confirmed_s: float = 100) -> RevisionTracker:
    tracker = RevisionTracker(_LIMITS)
    tracker.offer(_tables(revision), Source.STORE, confirmed_s)
    tracker.confirm(revision, confirmed_s)
    return tracker


def _report(**fields: object) -> PeerReport:
    defaults = {
        'peer': 'p1',
        'revision': 5,
        'asked_s': 200.0,
        'confirmed_age_s': None,
        'is_store_reachable': False,
    }
    return PeerReport(**{**defaults, **fields})


class RevisionTrackerTest(unittest.TestCase):
    """Offers and confirmations."""

    def test_takes_a_revision_only_upwards(self) -> None:
        """Lower and equal offers are reported and change nothing."""
        tracker = _tracker(5)
        told = tracker.offer(_tables(7), Source.PEER, 101)
        self.assertEqual(told, Accepted(7, 5, Source.PEER))
        for tables, reason in (
            (_tables(6), IgnoredReason.LOWER),
            (_tables(7), IgnoredReason.SAME),
            (_tables(7, priority=1), IgnoredReason.DIFFERS),
        ):
            told = tracker.offer(tables, Source.STORE, 102)
            expected = Ignored(reason, tables.revision, 7, Source.STORE)
            self.assertEqual(told, expected)
            self.assertEqual(tracker.current, _tables(7))

    def test_a_lower_read_is_reported_and_confirms_nothing(self) -> None:
        """An old read can't make the confirmation younger."""
        tracker = _tracker(5, confirmed_s=100)
        told = tracker.confirm(4, 107)
        self.assertEqual(told.reason, IgnoredReason.LOWER)
        self.assertTrue(tracker.is_confirmed(108))
        self.assertFalse(tracker.is_confirmed(108.1))

    def test_a_read_counts_from_when_it_was_sent(self) -> None:
        """A daemon frozen over several changes must confirm anew."""
        tracker = _tracker(5, confirmed_s=100)
        tracker.confirm(5, 101)
        self.assertEqual(tracker.revision_status(4000), RevisionStatus.CUT_OFF)
        tracker.confirm(5, 102)
        self.assertFalse(tracker.is_confirmed(4000))
        tracker.confirm(9, 4000)
        self.assertEqual(tracker.revision_status(4000), RevisionStatus.BEHIND)
        tracker.offer(_tables(9), Source.STORE, 4001)
        self.assertFalse(tracker.is_confirmed(4001))
        tracker.confirm(9, 4001)
        self.assertTrue(tracker.is_confirmed(4001))

    def test_knowing_of_a_higher_revision_stops_confirmation(self) -> None:
        """The old revision serves on for the rest of its confirmation."""
        tracker = _tracker(5, confirmed_s=100)
        tracker.record_report(_report(revision=6, asked_s=101))
        tracker.confirm(5, 103)
        self.assertTrue(tracker.is_confirmed(108))
        self.assertEqual(tracker.revision_status(109), RevisionStatus.BEHIND)

    def test_cut_from_the_store_but_not_from_peers(self) -> None:
        """A peer that the store confirmed confirms us, by its own age."""
        tracker = _tracker(5, confirmed_s=100)
        tracker.record_report(
            _report(confirmed_age_s=3.0, is_store_reachable=True)
        )
        self.assertTrue(tracker.is_confirmed(205))
        self.assertFalse(tracker.is_confirmed(205.1))
        self.assertEqual(tracker.store_confirmed_s, 100)
        tracker.record_report(
            _report(revision=6, asked_s=206, confirmed_age_s=0.0)
        )
        self.assertEqual(tracker.revision_status(206), RevisionStatus.BEHIND)

    def test_cut_from_both_refuses(self) -> None:
        """Without store and peers, an outage can't be told."""
        tracker = _tracker(5, confirmed_s=100)
        self.assertEqual(tracker.revision_status(150), RevisionStatus.CUT_OFF)
        tracker.unanswered('p1', 149)
        self.assertEqual(tracker.revision_status(150), RevisionStatus.CUT_OFF)

    def test_outage_needs_a_majority_that_does_not_see_the_store(self) -> None:
        """A minority that is cut off together refuses."""
        tracker = _tracker(5, confirmed_s=100)
        tracker.record_report(_report(peer='p1'))
        tracker.unanswered('p2', 200)
        tracker.unanswered('p3', 200)
        self.assertEqual(tracker.revision_status(201), RevisionStatus.CUT_OFF)
        tracker.record_report(_report(peer='p2', asked_s=200.5))
        self.assertEqual(tracker.revision_status(201), RevisionStatus.OUTAGE)
        tracker.unanswered('p4', 201)
        self.assertEqual(tracker.revision_status(201), RevisionStatus.OUTAGE)
        tracker.unanswered('p2', 202)
        self.assertEqual(tracker.revision_status(202), RevisionStatus.CUT_OFF)
        tracker.record_report(
            _report(peer='p2', asked_s=203, is_store_reachable=True)
        )
        tracker.record_report(_report(peer='p3', asked_s=203))
        self.assertEqual(tracker.revision_status(203), RevisionStatus.CUT_OFF)
        tracker.record_report(_report(peer='p2', asked_s=202.5))
        self.assertEqual(tracker.revision_status(203), RevisionStatus.CUT_OFF)
        tracker.record_report(_report(peer='p2', asked_s=204))
        self.assertEqual(tracker.revision_status(204), RevisionStatus.OUTAGE)
        self.assertEqual(tracker.revision_status(212.1), RevisionStatus.CUT_OFF)

    def test_store_down_when_a_daemon_starts(self) -> None:
        """It serves once peers gave it the highest revision they know."""
        tracker = RevisionTracker(_LIMITS)
        tracker.record_report(_report(peer='p1', revision=4))
        tracker.record_report(_report(peer='p2', revision=5))
        self.assertEqual(tracker.revision_status(201), RevisionStatus.BEHIND)
        tracker.offer(_tables(4), Source.PEER, 201)
        self.assertEqual(tracker.revision_status(201), RevisionStatus.BEHIND)
        tracker.offer(_tables(5), Source.PEER, 201)
        self.assertEqual(tracker.revision_status(201), RevisionStatus.OUTAGE)
        self.assertTrue(tracker.is_confirmed(201))
        self.assertEqual(
            RevisionTracker().revision_status(0), RevisionStatus.NEW
        )
