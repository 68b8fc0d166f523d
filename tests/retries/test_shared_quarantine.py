"""Tests of the quarantine that daemons share by updates, some of them lost."""

from __future__ import annotations

import random
import unittest

from nutmegspoke import outcomes
from nutmegspoke.retries.notices import RunAtRisk
from nutmegspoke.retries.shared_quarantine import SharedQuarantine

_POISON = 'poison'
_READ = 'read'
_REPEAT_S = 1.5
_INTERVAL_S = 0.5
_MAX_CRASHES = 3
# The same for a request that has written a little at each.
_MAX_WEAK_CRASHES = 5
# Twice as long as a first quarantine.
_LONG_S = 1200.0


def crash(
    daemon: SharedQuarantine, target: str, now_s: float, *fingerprints: str
) -> None:
    """Start requests on a target and let it crash."""
    for fingerprint in fingerprints:
        daemon.quarantine.started(fingerprint, (target,))
    daemon.quarantine.crashed(target, now_s)
    daemon.collect(now_s)


def exchange(
    daemons: list[SharedQuarantine],
    now_s: float,
    loss: float = 0.0,
    seed: int = 0,
) -> None:
    """Let each daemon send one update to each other one.

    :param loss: share of the updates that are lost.
    """
    source = random.Random(seed)
    for daemon in daemons:
        notices = daemon.outgoing(_REPEAT_S, now_s)
        for other in daemons:
            if other is not daemon and source.random() >= loss:
                other.receive(notices, now_s)


def is_refused(
    daemon: SharedQuarantine, fingerprint: str, now_s: float
) -> bool:
    """Return whether a daemon refuses a request."""
    decision = daemon.quarantine.check(fingerprint, now_s)
    return isinstance(decision, outcomes.NotRun)


class SharedQuarantineTest(unittest.TestCase):
    """Daemons that exchange updates."""

    def setUp(self) -> None:
        """Create three daemons."""
        self.daemons = [SharedQuarantine() for _ in range(3)]

    def _crash_everywhere(self, *fingerprints: str) -> None:
        """Let a target crash at each daemon, a second apart."""
        for number, daemon in enumerate(self.daemons):
            crash(daemon, f't{number}', float(number), *fingerprints)
            exchange(self.daemons, number + 0.1)

    def test_a_crash_at_each_daemon(self) -> None:
        """Guards against crashes that no daemon counts together."""
        self._crash_everywhere(_POISON)
        for daemon in self.daemons:
            self.assertTrue(is_refused(daemon, _POISON, 3.0))

    def test_too_many_crashes_beside_another_request(self) -> None:
        """Guards against a request that is spared as another was there, too.

        Two candidates are not told apart after two crashes.
        """
        self._crash_everywhere(_POISON, 'x')
        for daemon in self.daemons:
            self.assertTrue(is_refused(daemon, _POISON, 3.0))

    def test_a_request_in_progress_goes_on_until_too_many_crashes(self) -> None:
        """Guards against a cut stream that was on two crashed engines."""
        daemon = self.daemons[0]
        crash(daemon, 't0', 1.0, _POISON)
        crash(daemon, 't1', 1.1, _POISON)
        self.assertTrue(is_refused(daemon, _POISON, 1.2))
        self.assertFalse(daemon.quarantine.must_stop(_POISON, 1.2))
        crash(daemon, 't2', 1.3, _POISON)
        self.assertTrue(daemon.quarantine.must_stop(_POISON, 1.4))

    def test_drafts_that_had_begun_to_write(self) -> None:
        """Guards against blame of what is sent on with a deadly request.

        That one writes nothing, and two crashes are enough to know it.
        """
        daemon = self.daemons[0]
        for number in range(_MAX_CRASHES + 1):
            target = f't{number}'
            runs = [RunAtRisk('x', (), has_written=True)]
            if not is_refused(daemon, _POISON, float(number)):
                runs.append(RunAtRisk(_POISON))
            for run in runs:
                daemon.quarantine.started(run.fingerprint, (target,))
            daemon.crashed(target, runs, float(number))
            exchange(self.daemons, number + 0.1)
            for each in self.daemons:
                self.assertEqual(
                    is_refused(each, _POISON, number + 0.2), number > 0
                )
                self.assertFalse(is_refused(each, 'x', number + 0.2))

    def test_a_request_that_writes_before_each_crash(self) -> None:
        """Guards against a request that is never known as it has written."""
        for number in range(_MAX_WEAK_CRASHES):
            daemon = self.daemons[number % 3]
            target = f't{number}'
            daemon.quarantine.started(_POISON, (target,))
            run = RunAtRisk(_POISON, (), has_written=True)
            daemon.crashed(target, [run], float(number))
            exchange(self.daemons, number + 0.1)
        for daemon in self.daemons:
            self.assertTrue(is_refused(daemon, _POISON, 5.0))

    def test_a_read_that_completes_elsewhere(self) -> None:
        """Guards against refusals of a read that all daemons send all the time.

        It is in flight at each crash, and completes at one of the daemons.
        """
        self.daemons[0].quarantine.completed(_READ, (), 0.0)
        for number in range(2 * _MAX_CRASHES):
            daemon = self.daemons[number % 3]
            crash(daemon, f't{number}', 1.0 + number, _POISON, _READ)
            exchange(self.daemons, 1.1 + number)
            exchange(self.daemons, 1.2 + number)
        for daemon in self.daemons:
            self.assertFalse(is_refused(daemon, _READ, 8.0))
            self.assertTrue(is_refused(daemon, _POISON, 8.0))

    def test_a_completion_lifts_the_quarantine_of_all_daemons(self) -> None:
        """Guards against a quarantine that a late update brings back."""
        self._crash_everywhere(_POISON)
        late = self.daemons[2].outgoing(_REPEAT_S, 3.0)
        self.daemons[0].quarantine.completed(_POISON, (), 3.0)
        self.daemons[0].collect(3.0)
        exchange(self.daemons[:2], 3.1)
        self.daemons[1].receive(late, 30.0)
        exchange(self.daemons, 30.1)
        for daemon in self.daemons:
            self.assertFalse(is_refused(daemon, _POISON, 31.0))

    def test_a_daemon_that_starts_later(self) -> None:
        """Guards against a new daemon that lets the request crash targets."""
        self._crash_everywhere(_POISON)
        newcomer = SharedQuarantine()
        exchange([*self.daemons, newcomer], 60.0)
        self.assertTrue(is_refused(newcomer, _POISON, 60.0))

    def test_repeated_notices_do_not_prolong_a_quarantine(self) -> None:
        """Guards against daemons that keep a request out for good."""
        self._crash_everywhere(_POISON)
        now_s = 3.0
        while now_s < _LONG_S:
            exchange(self.daemons, now_s)
            now_s += _INTERVAL_S
        for daemon in self.daemons:
            self.assertFalse(is_refused(daemon, _POISON, now_s))

    def test_lost_updates(self) -> None:
        """Guards against a daemon that has missed an update and never learns."""
        for seed in range(50):
            self.setUp()
            now_s = 0.0
            for number, daemon in enumerate(self.daemons):
                crash(daemon, f't{number}', now_s, _POISON)
                for _ in range(3):
                    now_s += _INTERVAL_S
                    exchange(self.daemons, now_s, loss=0.4, seed=seed)
            for number in range(20):
                now_s += _INTERVAL_S
                exchange(self.daemons, now_s, loss=0.4, seed=seed + number)
            for daemon in self.daemons:
                self.assertTrue(is_refused(daemon, _POISON, now_s), seed)

    def test_updates_are_bounded(self) -> None:
        """Guards against datagrams that grow with the crashes."""
        daemon = self.daemons[0]
        for number in range(200):
            crash(daemon, f't{number}', 1.0, f'a{number // 4}')
        self.assertLessEqual(len(daemon.outgoing(_REPEAT_S, 1.0)), 64)
