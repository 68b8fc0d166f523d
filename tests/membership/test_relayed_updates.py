"""Tests of updates between daemons of small and large deployments."""

from __future__ import annotations

import unittest

import msgspec

from nutmegspoke.membership.common_work import rank_key
from nutmegspoke.membership.load_news import (
    SILENCE_LIMIT_S,
    LoadUpdate,
    Scope,
)
from nutmegspoke.membership.received_updates import ReceivedUpdates
from nutmegspoke.membership.relays import SUMMARY_INTERVAL_S, Relays
from nutmegspoke.membership.summaries import new_summaries
from nutmegspoke.retries.notices import CrashNotice
from tests.builders_fleet import Fleet

_SIZES = (9, 200, 1000)
_SETTLED_S = 3.0
# Bounds that the users' pages give for large deployments: for daemons to catch
# up after a disruption, and for targets that leave to be out of use.
_CATCH_UP_S = 6.0
_DRAIN_S = 4.0


class RelayedUpdatesTest(unittest.TestCase):
    """Daemons hear of each other, whatever their number."""

    def test_all_hear_of_all(self) -> None:
        """Guards against daemons that count others twice, or miss them."""
        for size in _SIZES:
            with self.subTest(size=size):
                fleet = Fleet(size)
                fleet.run(_SETTLED_S)
                self.assertEqual(fleet.counts(), {size - 1: size})
                self.assertEqual(fleet.request_counts(), {size - 1})

    def test_datagrams_do_not_grow_with_the_fleet(self) -> None:
        """Guards against updates to all others, whose number is quadratic."""
        sent: dict[int, list[int]] = {}
        for size in _SIZES:
            fleet = Fleet(size)
            fleet.run(_SETTLED_S)
            sent[size] = [
                member.sent / _SETTLED_S for member in fleet.members.values()
            ]
        means = {size: sum(sent[size]) / size for size in _SIZES}
        self.assertLess(means[200], means[9])
        self.assertLess(means[1000], means[9])
        # A relay sends a summary to each member of its group and to the relays
        # of the other groups, twice per second.
        self.assertLess(max(sent[200]), 200)
        self.assertLess(max(sent[1000]), 300)

    def test_datagrams_are_lost(self) -> None:
        """Guards against a picture of the fleet that one lost update spoils."""
        for size in _SIZES:
            with self.subTest(size=size):
                fleet = Fleet(size)
                fleet.loss = 0.1
                fleet.run(_SETTLED_S)
                for _ in range(10):
                    fleet.run(0.3)
                    self.assertEqual(fleet.request_counts(), {size - 1})


class SummaryTest(unittest.TestCase):
    """Contents and receivers of summaries."""

    def setUp(self) -> None:
        """Start a large deployment and take one of its relays."""
        self.fleet = Fleet(200)
        self.fleet.run(_SETTLED_S)
        self.relay = next(iter(self.fleet.relays()))
        self.received = self.fleet.members[self.relay].received

    def _new_summaries(
        self, own: LoadUpdate
    ) -> list[tuple[tuple[str, ...], LoadUpdate]]:
        return list(new_summaries(own, self.received, self.fleet.now_s))

    def test_a_crash_found_by_a_whole_group(self) -> None:
        """Guards against crashes that fill summaries and push others out.

        Each member reports the crash with its own requests.
        """
        now_s = self.fleet.now_s
        members = self.received.members(now_s)
        for member in members:
            host = member.update.host
            notice = CrashNotice('engine', (host,), ())
            update = msgspec.structs.replace(
                member.update,
                number=member.update.number + 1,
                notices=(notice,),
            )
            self.received.receive(update, now_s)
        own = self.fleet.members[self.relay].new_update(0.0)
        for _, summary in self._new_summaries(own):
            (crash,) = summary.notices
            self.assertEqual(len(crash.passengers), len(members))

    def test_relays_that_another_group_uses(self) -> None:
        """Guards against members that hear nothing of other groups.

        They rely on the relay that sends them summaries, whether or not others
        would select it.
        """
        relays = self.received.relays
        selected = relays.relays_elsewhere(self.fleet.now_s)
        other = next(
            host
            for host, member in self.fleet.members.items()
            if member.received.relays.group != relays.group
            and host not in selected
        )
        relays.record_summary(other, self.fleet.now_s)
        own = self.fleet.members[self.relay].new_update(0.0)
        receivers, _ = self._new_summaries(own)[0]
        self.assertIn(other, receivers)


class LostRelaysTest(unittest.TestCase):
    """Relays that fail are replaced."""

    def setUp(self) -> None:
        """Start a large deployment."""
        self.fleet = Fleet(200)
        self.fleet.run(_SETTLED_S)

    def test_all_relays_are_killed(self) -> None:
        """Guards against daemons that hear nothing while relays are replaced.

        A daemon that hears nothing reads the store itself, as all would at the
        same time.
        """
        self.fleet.kill(self.fleet.relays())
        left = len(self.fleet.members)
        for _ in range(20):
            self.fleet.run(0.1)
            self.assertNotIn(0, self.fleet.counts())
        self.fleet.run(_DRAIN_S)
        self.assertEqual(self.fleet.counts(), {left - 1: left})
        self.assertEqual(self.fleet.request_counts(), {left - 1})

    def test_the_next_relays_are_killed_too(self) -> None:
        """Guards against a search for relays that takes one by one."""
        by_zone: dict[str, list[str]] = {}
        for host in sorted(self.fleet.members, key=rank_key):
            zone = self.fleet.members[host].zone
            by_zone.setdefault(zone, []).append(host)
        for hosts in by_zone.values():
            self.fleet.kill(hosts[:6])
        for _ in range(40):
            self.fleet.run(0.1)
            self.assertNotIn(0, self.fleet.counts())

    def test_a_third_of_the_hosts_is_killed(self) -> None:
        """Guards against a long search for relays that are alive."""
        killed = sorted(self.fleet.members)[::3] + self.fleet.relays()
        self.fleet.kill(set(killed))
        left = len(self.fleet.members)
        self.fleet.run(_CATCH_UP_S)
        self.assertEqual(self.fleet.counts(), {left - 1: left})

    def test_a_relay_is_paused(self) -> None:
        """Guards against old summaries of a relay that goes on."""
        paused = [self.fleet.members[host] for host in self.fleet.relays()[::2]]
        for member in paused:
            member.is_paused = True
        self.fleet.run(4.0)
        others = len(self.fleet.members) - 1
        for member in paused:
            member.is_paused = False
        for _ in range(20):
            self.fleet.run(0.1)
            self.assertLessEqual(max(self.fleet.request_counts()), others)
        self.fleet.run(_CATCH_UP_S)
        self.assertEqual(self.fleet.request_counts(), {others})

    def test_zones_grow_and_are_divided_anew(self) -> None:
        """Guards against groups of which daemons have different ideas."""
        self.fleet.add(60)
        # The new ones have heard nobody yet.
        self.fleet.run(SUMMARY_INTERVAL_S + 0.5)
        for _ in range(30):
            self.fleet.run(0.1)
            self.assertNotIn(0, self.fleet.counts())
        self.fleet.run(_CATCH_UP_S)
        self.assertEqual(self.fleet.counts(), {259: 260})
        self.assertEqual(self.fleet.request_counts(), {259})

    def test_a_zone_is_cut_off(self) -> None:
        """A zone that is cut off hears of itself, and is heard afterwards."""
        self.fleet.cut_zones = {'zone-1'}
        self.fleet.run(_CATCH_UP_S)
        self.assertEqual(self.fleet.counts(), {39: 40, 159: 160})
        self.fleet.cut_zones = set()
        self.fleet.run(_CATCH_UP_S)
        self.assertEqual(self.fleet.counts(), {199: 200})


class SummariesTest(unittest.TestCase):
    """What the other daemons say is taken from the most complete updates."""

    def setUp(self) -> None:
        """Start without updates."""
        self.updates = ReceivedUpdates(Relays('own', 'zone-1'))

    def _receive(self, host: str, daemons: int, scope: Scope) -> None:
        reservations = {'x': (1.0 * daemons, daemons, 0)}
        update = LoadUpdate(
            host,
            1,
            1,
            reservations,
            scope=scope,
            group='zone-2/0',
            daemons=daemons,
            known_daemons=daemons,
        )
        self.updates.receive(update, 0.0)

    def test_a_group_counts_once(self) -> None:
        """Guards against sums over both relays of a group."""
        self._receive('a', 30, Scope.GROUP)
        self._receive('b', 40, Scope.GROUP)
        self._receive('d', 20, Scope.GROUP)
        self._receive('c', 1, Scope.HOST)
        self.assertEqual(self.updates.daemons(0.1), 40)
        self.assertEqual(self.updates.count_known_hosts(0.1), 40)

    def test_the_most_complete_summary_counts(self) -> None:
        """Guards against a new relay that knows only few daemons yet."""
        self._receive('a', 190, Scope.ALL_OTHERS)
        self._receive('b', 5, Scope.ALL_OTHERS)
        self._receive('c', 40, Scope.GROUP)
        self.assertEqual(self.updates.daemons(0.1), 190)

    def test_summaries_expire(self) -> None:
        """Guards against load of daemons that may have ended long ago."""
        self._receive('a', 190, Scope.ALL_OTHERS)
        self.assertEqual(self.updates.daemons(SILENCE_LIMIT_S + 0.1), 0)
        self.assertEqual(self.updates.count_known_hosts(20.0), 190)
        self.assertEqual(self.updates.count_known_hosts(40.0), 0)

    def test_a_summary_with_the_name_of_the_own_group(self) -> None:
        """Guards against members left out while groups are divided anew.

        A relay that uses the old division may send a summary of its group to
        daemons that are in a group of that name now.
        """
        group = self.updates.relays.group
        reservations = {'x': (1.0, 1, 0)}
        member = LoadUpdate(
            'a', 1, 1, reservations, group=group, asks_summary=True
        )
        foreign = LoadUpdate(
            'b', 1, 1, {}, scope=Scope.GROUP, group=group, daemons=40
        )
        for update in (member, foreign):
            self.updates.receive(update, 0.0)
        own = LoadUpdate('own', 1, 1, {}, group=group)
        sent = dict(new_summaries(own, self.updates, 0.1))
        self.assertEqual(sent['a',].daemons, 1)
        self.assertEqual(self.updates.daemons(0.1), 1)
