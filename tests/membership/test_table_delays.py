"""Tests of the time until all daemons know a change of an urgent table."""

from __future__ import annotations

import itertools
import unittest

from nutmegspoke.membership import table_delays as delays
from nutmegspoke.membership.common_work import all_read
from nutmegspoke.membership.feed_versions import BEHIND_LIMIT_S
from nutmegspoke.platform.store_client import _PATIENCE_S

_DAEMONS = (2, 7, 12, 13, 31, 32, 33, 45, 69, 195, 300)
# Times that the settings of the users' deployments allow.
_ALLOWED_S = (2.0, 3.0, 4.0)
_SHORTEST_S = min(_ALLOWED_S)
# For the answer of a call, and the work after it.
_MARGIN_S = 0.1


def _role(
    allowed_s: float, *, is_shared: bool, reads_store: bool
) -> delays.ReadRole:
    return delays.ReadRole(
        allowed_s=allowed_s,
        is_busy=False,
        reads_store=reads_store,
        has_receivers=is_shared and reads_store,
    )


class TableDelaysTest(unittest.TestCase):
    """The delays along each way add up to less than what is allowed."""

    def test_a_daemon_that_reads_for_itself(self) -> None:
        """Guards against a poll that is lost on a connection that goes mute."""
        for allowed_s, daemons in itertools.product(_ALLOWED_S, _DAEMONS):
            role = _role(allowed_s, is_shared=False, reads_store=True)
            pause_s = role.pause_s(daemons)
            delay_s = pause_s + role.wait_s(pause_s) + _PATIENCE_S
            self.assertLessEqual(delay_s, allowed_s - _MARGIN_S, daemons)

    def test_a_daemon_whose_readers_tell_it(self) -> None:
        """A reader reads and tells it; the daemon may have just read itself."""
        for daemons in _DAEMONS:
            reader = _role(_SHORTEST_S, is_shared=True, reads_store=True)
            other = _role(_SHORTEST_S, is_shared=True, reads_store=False)
            delay_s = (
                reader.pause_s(daemons)
                + delays.TABLE_UPDATE_INTERVAL_S
                + other.pause_s(daemons)
                + delays.CHECK_INTERVAL_S
            )
            self.assertLessEqual(delay_s, _SHORTEST_S - _MARGIN_S, daemons)

    def test_a_daemon_whose_readers_are_cut_off(self) -> None:
        """Guards against tables in force too late while readers are cut off.

        The last confirmation may be of the moment before the change, and the
        call of the daemon may be lost on a connection that has gone mute.
        """
        for allowed_s, daemons in itertools.product(_ALLOWED_S, _DAEMONS):
            role = _role(allowed_s, is_shared=True, reads_store=False)
            limit_s = delays.confirmed_limit_s(allowed_s)
            self.assertLess(role.pause_s(daemons), limit_s)
            delay_s = limit_s + delays.CHECK_INTERVAL_S + _PATIENCE_S
            self.assertLessEqual(delay_s, allowed_s - _MARGIN_S, daemons)

    def test_readers_confirm_before_the_others_ask(self) -> None:
        """Guards against calls of all daemons while the readers are sound."""
        for allowed_s, daemons in itertools.product(_ALLOWED_S, _DAEMONS):
            role = _role(allowed_s, is_shared=True, reads_store=True)
            pause_s = role.pause_s(daemons)
            age_s = pause_s + role.wait_s(pause_s)
            self.assertLess(
                age_s + delays.TABLE_UPDATE_INTERVAL_S + _MARGIN_S,
                delays.confirmed_limit_s(allowed_s),
            )

    def test_readers_wait_where_changes_may_take_longer(self) -> None:
        """Guards against calls that the allowed time does not need.

        Targets that started together send heartbeats together; a reader whose
        calls end before the next ones makes more calls.
        """
        for allowed_s in (3.0, 4.0):
            for is_shared in (False, True):
                role = _role(allowed_s, is_shared=is_shared, reads_store=True)
                wait_s = role.wait_s(delays.MAX_READER_PAUSE_S)
                self.assertEqual(wait_s, delays.URGENT_FEED_WAIT_S)

    def test_odd_settings(self) -> None:
        """Guards against calls without a pause where hardly any is allowed."""
        for allowed_s in (0.001, 0.5):
            self.assertGreater(delays.confirmed_limit_s(allowed_s), 0.5)
            for is_shared in (False, True):
                role = _role(allowed_s, is_shared=is_shared, reads_store=True)
                self.assertGreaterEqual(role.pause_s(1), 0.2)
                self.assertGreaterEqual(role.wait_s(0.0), 0)

    def test_a_sound_feed_is_not_restarted(self) -> None:
        """A feed counts as stale only later than its usual delay."""
        for daemons in _DAEMONS:
            for reads_store in (False, True):
                is_shared = not all_read(daemons)
                role = _role(
                    _SHORTEST_S, is_shared=is_shared, reads_store=reads_store
                )
                lag_s = role.update_lag_s(daemons)
                self.assertGreaterEqual(lag_s, role.pause_s(daemons))
                self.assertGreater(BEHIND_LIMIT_S, _MARGIN_S)
