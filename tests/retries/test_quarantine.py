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


def make_quarantine(**changes: float) -> Quarantine:
    """Create a quarantine with some settings changed."""
    return Quarantine(QuarantineSettings(**changes))


class QuarantineTest(unittest.TestCase):
    """Quarantine decisions of a single daemon."""

    def setUp(self) -> None:
        """Create a quarantine without suspects."""
        self.quarantine = make_quarantine()

    def crash(
        self, target: str, *fingerprints: str, now_s: float = 1.0
    ) -> None:
        """Start requests on a target and let it crash."""
        for fingerprint in fingerprints:
            self.quarantine.started(fingerprint, (target,))
        self.quarantine.crashed(target, now_s)

    def assert_quarantined(self, fingerprint: str, now_s: float) -> None:
        """Check that a request is refused with a retry time."""
        decision = self.quarantine.check(fingerprint, now_s)
        self.assertIsInstance(decision, outcomes.NotRun)
        self.assertEqual(decision.reason, outcomes.RefusalReason.QUARANTINED)
        self.assertGreater(decision.retry_after_s, 0)

    def test_second_crashed_target_quarantines_the_request(self) -> None:
        """The only request on both crashed targets is refused, others are not."""
        self.crash('t0', _POISON, 'x', 'y')
        for fingerprint in (_POISON, 'x', 'y'):
            self.assertIsInstance(
                self.quarantine.check(fingerprint, 1.0), SendAlone
            )
        self.crash('t1', _POISON, 'z')
        self.assert_quarantined(_POISON, 2.0)
        for fingerprint in 'xyz':
            self.assertIsInstance(
                self.quarantine.check(fingerprint, 2.0), SendAlone
            )
        self.quarantine.completed('x', (), 2.0)
        self.assertEqual(self.quarantine.check('x', 2.0), Clear())

    def test_two_crashes_of_one_target_quarantine_nothing(self) -> None:
        """Two crashes of one target may be a fault of the target."""
        self.crash('t0', _POISON)
        self.crash('t0', _POISON, now_s=60.0)
        self.assertIsInstance(self.quarantine.check(_POISON, 60.0), SendAlone)

    def test_reports_of_one_crash_count_once(self) -> None:
        """Every broken connection reports the crash; only one report counts."""
        self.crash('t0', _POISON)
        self.quarantine.crashed('t0', 1.0)
        self.quarantine.ended(_POISON, ('t0',))
        self.assertIsInstance(self.quarantine.check(_POISON, 1.0), SendAlone)

    def test_two_candidates_until_one_completes(self) -> None:
        """Neither is quarantined; if one completes, the other one is."""
        self.quarantine.started('x', ('t0',))
        self.quarantine.started('x', ('t1',))
        self.quarantine.started(_POISON, ('t1',))
        self.crash('t0', _POISON)
        self.quarantine.crashed('t1', 2.0)
        for fingerprint in ('x', _POISON):
            self.assertIsInstance(
                self.quarantine.check(fingerprint, 2.0), SendAlone
            )
        self.quarantine.completed('x', ('t2',), 3.0)
        self.assertEqual(self.quarantine.check('x', 3.0), Clear())
        self.assert_quarantined(_POISON, 3.0)

    def test_suspects_never_share_a_target(self) -> None:
        """They run on a limited share of the pool, and not on crashed targets."""
        harmless = [f'x{number}' for number in range(5)]
        self.crash('t0', *harmless)
        used = []
        for fingerprint in harmless:
            allowed_targets = self.quarantine.allowed_targets(
                fingerprint, _TARGETS
            )
            if allowed_targets:
                self.assertNotIn('t0', allowed_targets)
                self.quarantine.started(fingerprint, allowed_targets[:1])
                used.append(allowed_targets[0])
        self.assertEqual(len(used), 3)
        self.assertEqual(len(set(used)), 3)
        self.quarantine.completed(harmless[0], used[:1], 2.0)
        self.assertTrue(self.quarantine.allowed_targets(harmless[4], _TARGETS))

    def test_a_small_pool_still_serves_suspects(self) -> None:
        """A suspect runs on crashed targets if the pool has no other."""
        self.crash('t0', 'x')
        self.assertEqual(
            self.quarantine.allowed_targets('x', ('t0', 't1')), ('t1',)
        )
        self.assertEqual(self.quarantine.allowed_targets('x', ('t0',)), ('t0',))

    def test_quarantine_ends_and_grows(self) -> None:
        """After a quarantine one more crash starts another, twice as long."""
        self.crash('t0', _POISON)
        self.crash('t1', _POISON, now_s=2.0)
        self.assert_quarantined(_POISON, 61.9)
        self.assertIsInstance(self.quarantine.check(_POISON, 62.0), SendAlone)
        self.crash('t2', _POISON, now_s=63.0)
        self.assert_quarantined(_POISON, 63.0 + 119.0)

    def test_suspicion_lapses_with_time(self) -> None:
        """A suspect without a further crash is cleared after a time."""
        self.crash('t0', 'x')
        self.assertEqual(self.quarantine.check('x', 1000.0), Clear())

    def test_memory_is_bounded(self) -> None:
        """Beyond the limit the oldest suspects are dropped."""
        self.quarantine = make_quarantine(max_suspects=10)
        self.crash('t0', *(f'x{number}' for number in range(100)))
        suspected = [
            number
            for number in range(100)
            if self.quarantine.check(f'x{number}', 1.0) != Clear()
        ]
        self.assertEqual(len(suspected), 10)


class PeersTest(unittest.TestCase):
    """Daemons that exchange notices."""

    def setUp(self) -> None:
        """Create three daemons."""
        self.daemons = [make_quarantine() for _ in range(3)]

    def gossip(self, now_s: float) -> None:
        """Deliver all notices of each daemon to all others."""
        for daemon in self.daemons:
            for notice in daemon.drain_notices():
                for other in self.daemons:
                    if other is not daemon:
                        text = notices.encode_notice(notice)
                        other.receive_notice(
                            notices.decode_notice(text), 0.1, now_s
                        )

    def test_crashes_seen_by_two_daemons(self) -> None:
        """A request retried at another daemon is quarantined after two crashes."""
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
            decision = daemon.check(_POISON, 2.2)
            self.assertIsInstance(decision, outcomes.NotRun)
            self.assertNotIsInstance(daemon.check('x', 2.2), outcomes.NotRun)

    def test_two_candidates_of_two_daemons_are_not_quarantined(self) -> None:
        """Guards against quarantining a request that shared two crashes.

        Each daemon knows one candidate of the second crash. With the notices
        of the other daemon there are two, so neither is quarantined.
        """
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

    def test_old_notices_are_ignored(self) -> None:
        """A daemon that starts later ignores old crashes and past quarantines."""
        daemon = self.daemons[0]
        daemon.receive_notice(
            notices.CrashNotice('t0', ('x',), ()), 60.0, 100.0
        )
        daemon.receive_notice(
            notices.QuarantineNotice('x', 't0', 60.0), 60.0, 100.0
        )
        self.assertEqual(daemon.check('x', 100.0), Clear())
        daemon.receive_notice(
            notices.QuarantineNotice('x', 't0', 60.0), 50.0, 100.0
        )
        self.assertAlmostEqual(daemon.check('x', 100.0).retry_after_s, 10.0)
        self.assertIsNone(notices.decode_notice('{"type":"other"}'))

    def test_random_traffic_with_one_poison(self) -> None:
        """The poison request crashes two targets; all others complete."""
        for seed in range(200):
            crashes, incomplete = _simulate(
                random.Random(seed), self.daemons[0]
            )
            self.assertEqual((crashes, incomplete), (2, set()), seed)
            self.daemons = [make_quarantine()]


def _simulate(
    random_source: random.Random, quarantine: Quarantine
) -> tuple[int, set[str]]:
    """Run 20 harmless requests and one that crashes its target.

    :returns: number of crashes, and harmless requests that did not complete.
    """
    waiting = {f'x{number}' for number in range(20)} | {_POISON}
    running: dict[str, str] = {}
    crashes = 0
    for tick in range(2000):
        now_s = tick / 100
        fingerprint = random_source.choice(sorted(waiting | set(running)))
        target = running.get(fingerprint)
        if target is None:
            _start(random_source, quarantine, fingerprint, running, now_s)
        elif fingerprint == _POISON:
            crashes += 1
            quarantine.crashed(target, now_s)
            crashed = [each for each in running if running[each] == target]
            for each in crashed:
                running.pop(each)
        else:
            running.pop(fingerprint)
            waiting.discard(fingerprint)
            quarantine.completed(fingerprint, (target,), now_s)
        if waiting <= {_POISON} and not running and crashes >= 2:
            break
    return crashes, waiting - {_POISON}


def _start(
    random_source: random.Random,
    quarantine: Quarantine,
    fingerprint: str,
    running: dict[str, str],
    now_s: float,
) -> None:
    decision = quarantine.check(fingerprint, now_s)
    if isinstance(decision, outcomes.NotRun):
        return
    targets = _TARGETS[:4]
    if isinstance(decision, SendAlone):
        targets = quarantine.allowed_targets(fingerprint, targets)
    if targets:
        running[fingerprint] = random_source.choice(targets)
        quarantine.started(fingerprint, (running[fingerprint],))
