"""Tests of the shares of sockets and connections."""

from __future__ import annotations

import unittest

from nutmegspoke.admission.socket_shares import (
    caller_sockets,
    target_share,
    target_sockets,
)
from nutmegspoke.entry_host import HostLimits


class SocketSharesTest(unittest.TestCase):
    """Shares stay within descriptors, memory and the limits of targets."""

    def test_all_shares_fit(self) -> None:
        """Guards against lack of sockets when all shares are used."""
        limits = HostLimits(1.0, 8_000_000_000, 3_900)
        used = caller_sockets(limits) + target_sockets(limits)
        self.assertLess(used, 3_900 * 0.95)

    def test_memory_bounds_callers(self) -> None:
        """Guards against callers that fill the memory and don't read."""
        limits = HostLimits(1.0, 200_000_000, 100_000)
        self.assertLess(caller_sockets(limits) * 131_072, 101_000_000)
        self.assertGreaterEqual(caller_sockets(HostLimits(1.0, 1, 1)), 1)

    def test_daemons_share_a_target(self) -> None:
        """Many daemons together stay within the connections of a target."""
        for daemons in (1, 9, 81, 300):
            share = target_share(550, daemons)
            self.assertGreaterEqual(share, 1)
            self.assertLessEqual(share * daemons, max(550, daemons))
        self.assertEqual(target_share(0, 9), 1)
