"""Tests of the detection of stale feeds."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.feed_versions import FeedVersion, FeedVersions


def _version(newest_change: int, era: int = 1) -> FeedVersion:
    return FeedVersion(era, newest_change)


class FeedVersionsTest(unittest.TestCase):
    """A feed that stays behind those of other daemons is restarted."""

    def test_behind_for_a_while(self) -> None:
        """Guards against connections that go silent without a reset."""
        versions = FeedVersions()
        versions.receive({'op': _version(7)}, 10.0)
        self.assertFalse(versions.must_restart('op', _version(5), 0.0, 10.0))
        self.assertFalse(versions.must_restart('op', _version(5), 0.0, 10.4))
        self.assertTrue(versions.must_restart('op', _version(5), 0.0, 10.6))
        self.assertFalse(versions.must_restart('op', _version(5), 0.0, 11.0))
        self.assertTrue(versions.must_restart('op', _version(5), 0.0, 12.2))

    def test_caught_up(self) -> None:
        """After a feed has caught up, earlier delays are ignored."""
        versions = FeedVersions()
        versions.receive({'op': _version(7)}, 10.0)
        self.assertFalse(versions.must_restart('op', _version(7), 0.0, 10.4))
        versions.receive({'op': _version(8)}, 10.5)
        self.assertFalse(versions.must_restart('op', _version(7), 0.0, 10.6))

    def test_a_table_that_changes_all_the_time(self) -> None:
        """Guards against needless restarts with heartbeats of 86 targets.

        A feed that collects changes for a second is always behind the newest
        version. Each version has its own deadline.
        """
        versions = FeedVersions()
        for step in range(200):
            now_s = step / 20
            versions.receive({'servers': _version(70 * step)}, now_s)
            own = _version(70 * max(0, step - 22))
            self.assertFalse(
                versions.must_restart('servers', own, 1.0, now_s), step
            )
        own = _version(70 * (199 - 22))
        self.assertTrue(versions.must_restart('servers', own, 1.0, 10.5))

    def test_without_a_list(self) -> None:
        """A feed without a version is already requesting the first list."""
        versions = FeedVersions()
        versions.receive({'op': _version(7)}, 10.0)
        self.assertFalse(versions.must_restart('op', None, 0.0, 10.0))
        self.assertFalse(versions.must_restart('op', None, 0.0, 20.0))

    def test_an_earlier_era(self) -> None:
        """Guards against restarts in a loop after the store went back.

        The other daemons still report versions that it no longer has.
        """
        versions = FeedVersions()
        versions.receive({'op': _version(90, era=1)}, 10.0)
        own = _version(5, era=2)
        self.assertFalse(versions.must_restart('op', own, 0.0, 20.0))

    def test_a_later_era(self) -> None:
        """Guards against a feed that stays in the earlier era.

        Its versions are higher than those of the daemons that moved on.
        """
        versions = FeedVersions()
        versions.receive({'op': _version(5, era=2)}, 10.0)
        own = _version(90, era=1)
        self.assertTrue(versions.must_restart('op', own, 0.0, 10.6))
