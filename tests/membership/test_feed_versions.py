"""Tests of the detection of stale feeds."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.feed_versions import FeedVersions


class FeedVersionsTest(unittest.TestCase):
    """A feed that stays behind those of other daemons is restarted."""

    def test_behind_for_a_while(self) -> None:
        """Guards against connections that go silent without a reset."""
        versions = FeedVersions()
        versions.receive({'op': 7}, 10.0)
        self.assertFalse(versions.must_restart('op', 5, 0.0, 10.0))
        self.assertFalse(versions.must_restart('op', 5, 0.0, 10.4))
        self.assertTrue(versions.must_restart('op', 5, 0.0, 10.6))
        self.assertFalse(versions.must_restart('op', 5, 0.0, 11.0))
        self.assertTrue(versions.must_restart('op', 5, 0.0, 12.2))

    def test_caught_up(self) -> None:
        """After a feed has caught up, earlier delays are ignored."""
        versions = FeedVersions()
        versions.receive({'op': 7}, 10.0)
        self.assertFalse(versions.must_restart('op', 7, 0.0, 10.4))
        versions.receive({'op': 8}, 10.5)
        self.assertFalse(versions.must_restart('op', 7, 0.0, 10.6))

    def test_a_table_that_changes_all_the_time(self) -> None:
        """Guards against needless restarts with heartbeats of 86 targets.

        A feed that collects changes for a second is always behind the newest
        version. Each version has its own deadline.
        """
        versions = FeedVersions()
        for step in range(200):
            now_s = step / 20
            versions.receive({'servers': 70 * step}, now_s)
            own = 70 * max(0, step - 22)
            self.assertFalse(
                versions.must_restart('servers', own, 1.0, now_s), step
            )
        own = 70 * (199 - 22)
        self.assertTrue(versions.must_restart('servers', own, 1.0, 10.5))

    def test_without_a_list(self) -> None:
        """A feed without a version is already requesting the first list."""
        versions = FeedVersions()
        versions.receive({'op': 7}, 10.0)
        self.assertFalse(versions.must_restart('op', None, 0.0, 10.0))
        self.assertFalse(versions.must_restart('op', None, 0.0, 20.0))
