"""Tests of the gossip protocol between daemons."""

from __future__ import annotations

import unittest

import msgspec

from nutmegspoke.membership.gossip_types import OwnState
from nutmegspoke.membership.messages import (
    Digest,
    Notice,
    NoticeKind,
    TeamDemand,
)
from tests import builders_peers as build

_DAEMON_9_ADDRESS = '10.0.0.9:7000'
_LEAVING_NOTICE = Notice(NoticeKind.LEAVING_TARGET, '10.1.0.1:8000', '', 0.0)


class NetworkTest(unittest.TestCase):
    """Nine daemons together."""

    def setUp(self) -> None:
        """Start nine daemons that know one address."""
        self.network = build.Network(9)
        self.network.run(4.0)

    def test_all_daemons_learn_of_each_other(self) -> None:
        """One seed address is sufficient."""
        for daemon in self.network.daemons.values():
            self.assertEqual(len(daemon.live(4.0)), 8)
            self.assertFalse(daemon.is_cut_off(4.0))

    def test_a_leaving_target_is_known_to_all_within_two_seconds(self) -> None:
        """Each daemon receives the notice once, with its age."""
        first = next(iter(self.network.daemons.values()))
        first.announce(_LEAVING_NOTICE, 4.0)
        self.network.run(2.0)
        for address, notices in self.network.received.items():
            expected = int(address != first.own.entry.address)
            self.assertEqual(len(notices), expected, address)
            self.assertTrue(all(notice.age_s <= 2 for notice in notices))

    def test_an_ended_daemon_is_not_live_after_five_seconds(
        self,
    ) -> None:
        """Peers that it does not answer announce this to the others."""
        self.network.daemons.pop(_DAEMON_9_ADDRESS)
        self.network.run(5.0)
        for daemon in self.network.daemons.values():
            names = {member.entry.name for member in daemon.live(9.0)}
            self.assertNotIn('daemon-9', names)
            self.assertEqual(len(names), 7)

    def test_a_daemon_cut_off_knows_it_and_comes_back(self) -> None:
        """Neither side considers the other live while it is cut off."""
        self.network.cut_off.add(_DAEMON_9_ADDRESS)
        self.network.run(6.0)
        cut_off = self.network.daemons[_DAEMON_9_ADDRESS]
        self.assertTrue(cut_off.is_cut_off(10.0))
        self.assertEqual(cut_off.live(10.0), ())
        for daemon in self.network.others(_DAEMON_9_ADDRESS):
            self.assertEqual(len(daemon.live(10.0)), 7)
        self.network.cut_off.clear()
        self.network.run(5.0)
        self.assertFalse(cut_off.is_cut_off(15.0))
        for daemon in self.network.daemons.values():
            self.assertEqual(len(daemon.live(15.0)), 8)

    def test_a_restarted_daemon_is_another_member(self) -> None:
        """The earlier start is not live, although the address answers."""
        self.network.daemons[_DAEMON_9_ADDRESS] = build.gossip(9, start=2)
        self.network.run(6.0)
        for daemon in self.network.others(_DAEMON_9_ADDRESS):
            starts = {
                member.entry.start
                for member in daemon.live(10.0)
                if member.entry.name == 'daemon-9'
            }
            self.assertEqual(starts, {2})

    def test_a_frozen_daemon_considers_no_peer_live(self) -> None:
        """Entries received before the freeze have expired."""
        daemon = self.network.daemons[_DAEMON_9_ADDRESS]
        self.assertEqual(daemon.live(60.0), ())
        self.assertTrue(daemon.is_cut_off(60.0))

    def test_demand_reaches_everyone(self) -> None:
        """Limits are divided among daemons by their demand."""
        demand = (TeamDemand('drafts', 'desk', 3),)
        self.network.run(4.0, OwnState(demands=demand))
        for daemon in self.network.daemons.values():
            found = [member.demand.teams for member in daemon.live(8.0)]
            self.assertEqual(found, [demand] * 8)

    def test_bytes_stay_within_the_bound(self) -> None:
        """Items that exceed the limit are sent later."""
        before = dict(self.network.sent_bytes)
        daemons = tuple(self.network.daemons.values())
        demands = tuple(
            TeamDemand('drafts', f'team-{number}', number)
            for number in range(40)
        )
        for number in range(400):
            daemons[number % 9].announce(
                Notice(NoticeKind.QUARANTINE, f'{number:064}', '', 0.0),
                4.0,
            )
        self.network.run(20.0, OwnState(demands=demands))
        for address, sent_bytes in self.network.sent_bytes.items():
            per_s = (sent_bytes - before[address]) / 20.0
            self.assertLess(per_s, 8_000 * 1.25)
        for notices in self.network.received.values():
            self.assertGreater(len(notices), 300)


class MergeTest(unittest.TestCase):
    """Merging of received messages by one daemon."""

    def setUp(self) -> None:
        """Create one daemon."""
        self.daemon = build.gossip()

    def _receive_entry(
        self, sequence: int, now_s: float, revision: int = 0
    ) -> None:
        entry = build.entry(2, 1, sequence, revision)
        self.daemon.receive(Digest((entry,)), now_s)

    def test_old_entries_change_nothing(self) -> None:
        """A late entry neither replaces a newer one nor shows liveness."""
        # Sets the timeouts, which are 0 before the first call.
        self.daemon.due_messages(0.0)
        self._receive_entry(5, 0.0, revision=7)
        self._receive_entry(4, 6.0, revision=3)
        self.assertEqual(self.daemon.live(6.0), ())
        (member,) = self.daemon.live(1.0)
        self.assertEqual(member.entry.revision, 7)

    def test_only_a_refutation_clears_a_suspicion(self) -> None:
        """Its other entries may have been created before it ended."""
        self._receive_entry(5, 0.0)
        # Sets the timeouts, which are 0 before the first call.
        self.daemon.due_messages(0.0)
        suspicion = Notice(
            NoticeKind.SUSPECTED_DAEMON,
            'daemon-2',
            '1',
            0.0,
        )
        self.daemon.receive(Digest(notices=(suspicion,)), 0.1)
        self.assertEqual(len(self.daemon.live(0.2)), 1)
        self.assertEqual(self.daemon.live(3.0), ())
        self._receive_entry(6, 3.0)
        self.assertEqual(self.daemon.live(3.0), ())
        self.assertIn(suspicion, self._notices(3.0))
        refutation = msgspec.structs.replace(
            build.entry(2, 1, 7),
            refutations=1,
        )
        self.daemon.receive(Digest((refutation,)), 3.0)
        self.assertEqual(len(self.daemon.live(3.0)), 1)
        self.daemon.receive(Digest(notices=(suspicion,)), 9.0)
        self.assertEqual(len(self.daemon.live(3.1)), 1)

    def test_a_suspected_daemon_refutes_once(self) -> None:
        """The same suspicion received again changes nothing."""
        suspicion = Notice(NoticeKind.SUSPECTED_DAEMON, 'daemon-1', '1', 0.0)
        for received_s in (3.0, 6.0):
            self.daemon.receive(Digest(notices=(suspicion,)), received_s)
            self.assertEqual(self.daemon.own.entry.refutations, 1)
        self.assertEqual(self.daemon.own.entry.sequence, 2)

    def _notices(self, now_s: float) -> list[Notice]:
        return [
            msgspec.structs.replace(notice, age_s=0.0)
            for notice in self.daemon.answer(now_s).notices
        ]

    def test_the_peer_ahead_is_asked_for_tables(self) -> None:
        """The live peer with the highest revision is returned."""
        # Sets the timeouts, which are 0 before the first call.
        self.daemon.due_messages(0.0)
        self._receive_entry(1, 0.0, revision=7)
        self.assertIsNone(self.daemon.find_newer_peer(7, 0.0))
        self.assertEqual(self.daemon.find_newer_peer(6, 0.0).name, 'daemon-2')
        self.assertIsNone(self.daemon.find_newer_peer(6, 60.0))

    def test_unknown_and_expired_notices_are_dropped(self) -> None:
        """Unknown kinds are counted."""
        unknown = Notice(99, 'subject', '', 0.0)
        expired = Notice(NoticeKind.LEAVING_TARGET, 'target', '', 11.0)
        received = self.daemon.receive(Digest(notices=(unknown, expired)), 0.0)
        self.assertEqual(received.notices, ())
        self.assertEqual(self.daemon.shared_state.notices.unknown_count, 1)

    def test_an_overdrawn_daemon_still_passes_notices_on(self) -> None:
        """Guards against notices held back after many daemons join at once.

        Answers to the joining daemons overdraw the limit on bytes.
        """
        for number in range(2, 202):
            self.daemon.receive(Digest((build.entry(number),)), 0.0)
        # Sets the timeouts, which are 0 before the first call.
        self.daemon.due_messages(0.0)
        before = len(self.daemon.answer_hello(0.0).entries)
        self.daemon.budget.spend(10**6, 0.0)
        self.daemon.announce(_LEAVING_NOTICE, 0.0)
        after = self.daemon.answer_hello(0.0)
        self.assertLess(len(after.entries), before // 4)
        self.assertEqual(
            self.daemon.answer(0.1).notices[0].subject, '10.1.0.1:8000'
        )

    def test_the_age_of_the_confirmation_is_sent(self) -> None:
        """The age is measured on the daemon's own clock."""
        self.assertIsNone(self.daemon.answer(5.0).confirmed_age_s)
        self.daemon.renew(OwnState(confirmed_s=2.0), 3.0)
        self.assertEqual(self.daemon.answer(5.0).confirmed_age_s, 3.0)
