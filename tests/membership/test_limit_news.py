"""Tests of limits of targets that daemons tell each other."""

from __future__ import annotations

import unittest

from nutmegspoke.membership.received_updates import requests_to_limited
from nutmegspoke.retries.target_limits import WINDOW_S
from tests import builders_edge as build
from tests.builders_fleet import Fleet, Member

_SIZES = (3, 9, 64)
_SETTLED_S = 3.0
# Time in which all daemons hear of a change.
_TOLD_S = 2.0
_TARGET = build.target('t')


class LimitNewsTest(unittest.TestCase):
    """One daemon sees a limit; the others must know it in time."""

    def setUp(self) -> None:
        """Start fleets of several sizes."""
        self.fleets = [Fleet(size) for size in _SIZES]
        for fleet in self.fleets:
            fleet.run(_SETTLED_S)

    def test_all_are_told(self) -> None:
        """Guards against daemons that learn of a limit by breaking it."""
        for fleet in self.fleets:
            self._name(fleet, 2.0)
            fleet.run(_TOLD_S)
            self.assertEqual(self._known(fleet), {2.0})
            self._name(fleet, None)
            fleet.run(_TOLD_S)
            self.assertEqual(self._known(fleet), {None})

    def test_updates_are_lost(self) -> None:
        """Guards against a limit that one lost update hides."""
        for fleet in self.fleets:
            fleet.loss = 0.1
            for limit_per_s in (6.0, 1.0, 6.0, None):
                self._name(fleet, limit_per_s)
                fleet.run(_TOLD_S)
                self.assertEqual(self._known(fleet), {limit_per_s})

    def test_daemons_that_start(self) -> None:
        """Guards against daemons that start and don't know a limit."""
        for fleet in self.fleets:
            self._name(fleet, 2.0)
            fleet.run(_TOLD_S)
            fleet.add(2)
            # They are known to the others within a second.
            fleet.run(1.0 + _TOLD_S)
            self.assertEqual(self._known(fleet), {2.0})

    def test_the_daemon_that_saw_it_is_killed(self) -> None:
        """Guards against a limit that is lost with a daemon."""
        for fleet in self.fleets:
            self._name(fleet, 2.0)
            fleet.run(_TOLD_S)
            fleet.kill(list(fleet.members)[:1])
            fleet.run(2 * _TOLD_S)
            self.assertEqual(self._known(fleet), {2.0})

    def test_a_zone_is_cut_off(self) -> None:
        """Guards against a limit that a zone forgets, or brings back."""
        for fleet in self.fleets:
            self._name(fleet, 2.0)
            fleet.run(_TOLD_S)
            fleet.cut_zones = {'zone-1'}
            self._name(fleet, None)
            fleet.run(_SETTLED_S)
            cut = [
                member
                for member in fleet.members.values()
                if member.zone == 'zone-1'
            ]
            self.assertEqual({_find(fleet, each) for each in cut}, {2.0})
            fleet.cut_zones = set()
            fleet.run(2 * _TOLD_S)
            self.assertEqual(self._known(fleet), {None})

    def test_requests_count_once(self) -> None:
        """Guards against requests that summaries miss or count twice."""
        for fleet in self.fleets:
            self._name(fleet, 2.0)
            fleet.run(_TOLD_S)
            for member in fleet.members.values():
                member.limits.sent('t', fleet.now_s)
            fleet.run(_TOLD_S)
            counts = {
                requests_to_limited(member.received.others(fleet.now_s))['t']
                for member in fleet.members.values()
            }
            self.assertEqual(counts, {len(fleet.members) - 1})
            fleet.run(WINDOW_S)
            counts = {
                requests_to_limited(member.received.others(fleet.now_s))['t']
                for member in fleet.members.values()
            }
            self.assertEqual(counts, {0})

    def _name(self, fleet: Fleet, limit_per_s: float | None) -> None:
        first = next(iter(fleet.members.values()))
        first.limits.record_answer(_TARGET, limit_per_s, fleet.now_s)

    def _known(self, fleet: Fleet) -> set[float | None]:
        return {_find(fleet, member) for member in fleet.members.values()}


def _find(fleet: Fleet, member: Member) -> float | None:
    return member.limits.find('t', fleet.now_s)
