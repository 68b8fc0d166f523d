"""Tests of the search for free ports."""

from __future__ import annotations

import unittest

from nutmegspoke.bench.ports import find_free_ports


class FreePortsTest(unittest.TestCase):
    """Ports are unique while no process listens on them yet."""

    def test_no_port_is_returned_twice(self) -> None:
        """Successive calls return different ports while nothing listens."""
        ports = [port for _ in range(300) for port in find_free_ports(3)]
        self.assertEqual(len(set(ports)), len(ports))
        self.assertTrue(all(10_000 <= port < 32_000 for port in ports))
