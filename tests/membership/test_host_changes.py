"""Tests of changed settings of the host in a running daemon."""

from __future__ import annotations

import dataclasses
import unittest

from nutmegspoke.entry_host import (
    HedgingLimits,
    HostLimits,
    RecoveryBounds,
)
from nutmegspoke.membership.host_changes import compare_hosts
from tests import builders_edge as build


class HostChangesTest(unittest.TestCase):
    """Changes that take effect at once, and those that need a restart."""

    def test_nothing_new(self) -> None:
        """An equal description changes nothing."""
        host = build.host()
        changes = compare_hosts(host, build.host())
        self.assertEqual(changes.host, host)
        self.assertEqual((changes.applied, changes.deferred), ((), ()))

    def test_bounds_and_limits_change_at_once(self) -> None:
        """Fields that are read at each use are applied."""
        described = build.host(
            bounds=RecoveryBounds(retry_slack=7.0),
            limits=HostLimits(0.5, 1, 2),
            store_address='10.0.0.9:1',
            hedging=HedgingLimits(0.05),
        )
        changes = compare_hosts(build.host(), described)
        self.assertEqual(changes.host, described)
        self.assertEqual(
            changes.applied,
            ('store_address', 'limits', 'bounds', 'hedging'),
        )

    def test_addresses_wait_for_a_start(self) -> None:
        """A port that callers use stays until the process restarts."""
        host = build.host(callers_port=80)
        described = dataclasses.replace(
            host,
            callers_port=81,
            availability_zone='b',
            bounds=RecoveryBounds(drain_s=9.0),
        )
        changes = compare_hosts(host, described)
        self.assertEqual(changes.host.callers_port, 80)
        self.assertEqual(changes.host.availability_zone, 'a')
        self.assertEqual(changes.host.bounds.drain_s, 9.0)
        self.assertEqual(
            changes.deferred, ('availability_zone', 'callers_port')
        )
