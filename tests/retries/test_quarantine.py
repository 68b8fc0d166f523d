"""Tests of the quarantine of requests that crash targets."""

from __future__ import annotations

import random
import unittest

from nutmegspoke import outcomes
from nutmegspoke.retries import notices
from nutmegspoke.retries.quarantine import Clear, Quarantine, SendAlone
from nutmegspoke.retries.suspects import QuarantineSettings

_POISON = 'poison'
_TARGETS = tuple(f't{number}' for number in range(12))


def quarantine(**changes: float) -> Quarantine:
    """Create a quarantine."""
    return Quarantine(QuarantineSettings(**changes))


class QuarantineTest(unittest.TestCase):
    """One daemon."""

    def setUp(self) -> None:
        """Create without suspects."""
        self.one = quarantine()

    def crash(self, target: str, *passengers: str, now_s: float = 1.0) -> None:
        """Let a target crash under requests."""
        for fingerprint in passengers:
            self.one.started(fingerprint, (target,))
        self.one.crashed(target, now_s)

    def assert_quarantined(self, fingerprint: str, now_s: float) -> None:
        """Check for a refusal that says when to come back."""
        told = self.one.check(fingerprint, now_s)
        self.assertIsInstance(told, outcomes.NotRun)
        self.assertEqual(told.reason, outcomes.RefusalReason.QUARANTINED)
        self.assertGreater(told.retry_after_s, 0)

    def test_second_target_names_the_request(self) -> None:
        """After two targets it is refused, its fellows are not."""
        self.crash('t0', _POISON, 'x', 'y')
        for fingerprint in (_POISON, 'x', 'y'):
            self.assertIsInstance(self.one.check(fingerprint, 1.0), SendAlone)
        self.crash('t1', _POISON, 'z')
        self.assert_quarantined(_POISON, 2.0)
        for fingerprint in 'xyz':
            self.assertIsInstance(self.one.check(fingerprint, 2.0), SendAlone)
        self.one.completed('x', (), 2.0)
        self.assertEqual(self.one.check('x', 2.0), Clear())

    def test_same_target_twice_names_nobody(self) -> None:
        """The target itself may be broken."""
        self.crash('t0', _POISON)
        self.crash('t0', _POISON, now_s=60.0)
        self.assertIsInstance(self.one.check(_POISON, 60.0), SendAlone)

    def test_reports_of_one_crash_count_once(self) -> None:
        """Each broken connection reports; the second finds no passengers."""
        self.crash('t0', _POISON)
        self.one.crashed('t0', 1.0)
        self.one.ended(_POISON, ('t0',))
        self.assertIsInstance(self.one.check(_POISON, 1.0), SendAlone)

    def test_two_candidates_until_one_completes(self) -> None:
        """Nobody is blamed by chance; the other is, once one is cleared."""
        self.one.started('x', ('t0',))
        self.one.started('x', ('t1',))
        self.one.started(_POISON, ('t1',))
        self.crash('t0', _POISON)
        self.one.crashed('t1', 2.0)
        for fingerprint in ('x', _POISON):
            self.assertIsInstance(self.one.check(fingerprint, 2.0), SendAlone)
        self.one.completed('x', ('t2',), 3.0)
        self.assertEqual(self.one.check('x', 3.0), Clear())
        self.assert_quarantined(_POISON, 3.0)

    def test_suspects_never_share_a_target(self) -> None:
        """And they use a bounded share of the pool, not those crashed."""
        fellows = [f'x{number}' for number in range(5)]
        self.crash('t0', *fellows)
        used = []
        for fingerprint in fellows:
            allowed_targets = self.one.allowed_targets(fingerprint, _TARGETS)
            if allowed_targets:
                self.assertNotIn('t0', allowed_targets)
                self.one.started(fingerprint, allowed_targets[:1])
                used.append(allowed_targets[0])
        self.assertEqual(len(used), 3)
        self.assertEqual(len(set(used)), 3)
        self.one.completed(fellows[0], used[:1], 2.0)
        self.assertTrue(self.one.allowed_targets(fellows[4], _TARGETS))

    def test_a_small_pool_still_serves_suspects(self) -> None:
        """One target at a time; any, if all have crashed before."""
        self.crash('t0', 'x')
        self.assertEqual(self.one.allowed_targets('x', ('t0', 't1')), ('t1',))
        self.assertEqual(self.one.allowed_targets('x', ('t0',)), ('t0',))

    def test_quarantine_ends_and_grows(self) -> None:
        """After it, one more crash is enough, and it is twice as long."""
        self.crash('t0', _POISON)
        self.crash('t1', _POISON, now_s=2.0)
        self.assert_quarantined(_POISON, 61.9)
        self.assertIsInstance(self.one.check(_POISON, 62.0), SendAlone)
        self.crash('t2', _POISON, now_s=63.0)
        self.assert_quarantined(_POISON, 63.0 + 119.0)

    def test_suspicion_lapses_with_time(self) -> None:
        """A request that never comes again is forgotten."""
        self.crash('t0', 'x')
        self.assertEqual(self.one.check('x', 1000.0), Clear())

    def test_memory_is_bounded(self) -> None:
        """Suspects beyond the bound push out the oldest."""
        self.one = quarantine(max_suspects=10)
        self.crash('t0', *(f'x{number}' for number in range(100)))
        suspected = [
            number
            for number in range(100)
            if self.one.check(f'x{number}', 1.0) != Clear()
        ]
        self.assertEqual(len(suspected), 10)


class PeersTest(unittest.TestCase):
    """Several daemons that tell each other."""

    def setUp(self) -> None:
        """Create three daemons."""
        self.daemons = [quarantine() for _ in range(3)]

    def gossip(self, now_s: float) -> None:
        """Carry all notices to all others."""
        for daemon in self.daemons:
            for notice in daemon.drain_notices():
                for other in self.daemons:
                    if other is not daemon:
                        text = notices.encode_notice(notice)
                        other.receive_notice(
                            notices.decode_notice(text), 0.1, now_s
                        )

    def test_crashes_seen_by_two_daemons(self) -> None:
        """The caller sends it to another daemon: two crashes are enough."""
        first, second, third = self.daemons
        first.started(_POISON, ('t0',))
        first.started('x', ('t0',))
        first.crashed('t0', 1.0)
        self.gossip(1.1)
        self.assertIsInstance(second.check(_POISON, 1.2), SendAlone)
        second.started(_POISON, ('t1',))
        second.crashed('t1', 2.0)
        self.gossip(2.1)
        for daemon in self.daemons:
            told = daemon.check(_POISON, 2.2)
            self.assertIsInstance(told, outcomes.NotRun)
            self.assertNotIsInstance(daemon.check('x', 2.2), outcomes.NotRun)

    def test_an_innocent_that_met_the_poison_twice_is_let_go(self) -> None:
        """Two daemons each saw one candidate; together they saw two."""
        first, second, _ = self.daemons
        for daemon, fingerprint in ((first, 'x'), (second, _POISON)):
            daemon.started(fingerprint, ('t0',))
            daemon.crashed('t0', 1.0)
        self.gossip(1.1)
        for daemon, fingerprint in ((first, 'x'), (second, _POISON)):
            daemon.started(fingerprint, ('t1',))
            daemon.crashed('t1', 2.0)
        self.gossip(2.1)
        for daemon in self.daemons:
            self.assertIsInstance(daemon.check('x', 2.2), SendAlone)

    def test_old_news_is_no_news(self) -> None:
        """A daemon that joins late learns of no crash and no past quarantine."""
        late = self.daemons[0]
        late.receive_notice(notices.CrashNotice('t0', ('x',), ()), 60.0, 100.0)
        late.receive_notice(
            notices.QuarantineNotice('x', 't0', 60.0), 60.0, 100.0
        )
        self.assertEqual(late.check('x', 100.0), Clear())
        late.receive_notice(
            notices.QuarantineNotice('x', 't0', 60.0), 50.0, 100.0
        )
        self.assertAlmostEqual(late.check('x', 100.0).retry_after_s, 10.0)
        self.assertIsNone(notices.decode_notice('{"type":"other"}'))

    def test_random_traffic_with_one_poison(self) -> None:
        """Poison stops after two crashes; the fellows all complete."""
        for seed in range(200):
            crashes, left = _simulate(random.Random(seed), self.daemons[0])
            self.assertEqual((crashes, left), (2, set()), seed)
            self.daemons = [quarantine()]


def _simulate(chance: random.Random, one: Quarantine) -> tuple[int, set[str]]:
    """Run fellows and one poison until nothing changes any more."""
    waiting = {f'x{number}' for number in range(20)} | {_POISON}
    running: dict[str, str] = {}
    crashes = 0
    for tick in range(2000):
        now_s = tick / 100
        fingerprint = chance.choice(sorted(waiting | set(running)))
        target = running.get(fingerprint)
        if target is None:
            _start(chance, one, fingerprint, running, now_s)
        elif fingerprint == _POISON:
            crashes += 1
            one.crashed(target, now_s)
            hit = [each for each in running if running[each] == target]
            for each in hit:
                running.pop(each)
        else:
            running.pop(fingerprint)
            waiting.discard(fingerprint)
            one.completed(fingerprint, (target,), now_s)
        if waiting <= {_POISON} and not running and crashes >= 2:
            break
    return crashes, waiting - {_POISON}


def _start(
    chance: random.Random,
    one: Quarantine,
    fingerprint: str,
    running: dict[str, str],
    now_s: float,
) -> None:
    verdict = one.check(fingerprint, now_s)
    if isinstance(verdict, outcomes.NotRun):
        return
    targets = _TARGETS[:4]
    if isinstance(verdict, SendAlone):
        targets = one.allowed_targets(fingerprint, targets)
    if targets:
        running[fingerprint] = chance.choice(targets)
        one.started(fingerprint, (running[fingerprint],))
