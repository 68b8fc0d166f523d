"""Tests of noticing silent feeds."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.feed_versions import FeedVersions


class FeedVersionsTest(unittest.TestCase):
    """A feed that stays behind the others' is begun anew."""

    def test_behind_for_a_while(self) -> None:
        """Pattern: connections go silent without a reset."""
        versions = FeedVersions()
        versions.heard({'op': 7})
        self.assertFalse(versions.must_restart('op', 5, 10.0))
        self.assertFalse(versions.must_restart('op', 5, 10.4))
        self.assertTrue(versions.must_restart('op', 5, 10.6))
        self.assertFalse(versions.must_restart('op', 5, 11.0))
        self.assertTrue(versions.must_restart('op', 5, 12.2))

    def test_caught_up(self) -> None:
        """A feed that has caught up starts with a clean slate."""
        versions = FeedVersions()
        versions.heard({'op': 7})
        versions.must_restart('op', 5, 10.0)
        self.assertFalse(versions.must_restart('op', 7, 10.4))
        versions.heard({'op': 8})
        self.assertFalse(versions.must_restart('op', 7, 10.6))

    def test_without_a_list(self) -> None:
        """The first list is on its way already."""
        versions = FeedVersions()
        versions.heard({'op': 7})
        self.assertFalse(versions.must_restart('op', None, 10.0))
        self.assertFalse(versions.must_restart('op', None, 20.0))
