"""Tests of the quarantine of parts of prompts, shared by several daemons."""

from __future__ import annotations

import random
import unittest

from nutmegspoke.retries.notices import (
    ClearNotice,
    QuarantineNotice,
    RunAtRisk,
    merge_notices,
)
from nutmegspoke.retries.prompt_parts import PartQuarantine, PartSettings
from nutmegspoke.retries.shared_quarantine import SharedQuarantine

_FATAL = 'fa7a1'
_ROUTE_PART = 'c0'
_SUBJECT_PART = 'c1'
_REPEAT_S = 1.5
_INTERVAL_S = 0.5
_DAEMONS = 3
_MAX_CRASHES = 5
_SEEDS = 60
# Longer than a first quarantine.
_LONG_S = 700.0


def exchange(
    daemons: list[SharedQuarantine],
    now_s: float,
    loss: float = 0.0,
    source: random.Random | None = None,
) -> None:
    """Let each daemon send one update to each other one.

    :param loss: share of the updates that are lost.
    """
    source = source or random.Random(0)
    for daemon in daemons:
        notices = daemon.outgoing(_REPEAT_S, now_s)
        for other in daemons:
            if other is not daemon and source.random() >= loss:
                other.receive(notices, now_s)


def is_refused(daemon: SharedQuarantine, now_s: float, *parts: str) -> bool:
    """Return whether a daemon refuses a prompt with some parts."""
    return daemon.parts.check(parts, now_s) is not None


class SharedPartsCase(unittest.TestCase):
    """Base class with daemons that exchange updates."""

    def setUp(self) -> None:
        """Create the daemons."""
        self.daemons = [SharedQuarantine() for _ in range(_DAEMONS)]
        self.crashes = 0
        self.requests = 0

    def crash(
        self, now_s: float, *prompts: tuple[str, ...], daemon: int = 0
    ) -> None:
        """Let a target crash with requests at risk, and tell all daemons."""
        self.crashes += 1
        at_risk = []
        for parts in prompts:
            self.requests += 1
            at_risk.append(RunAtRisk(f'request-{self.requests}', parts))
        self.crash_again(now_s, at_risk, daemon)
        exchange(self.daemons, now_s + 0.1)

    def crash_again(
        self,
        now_s: float,
        at_risk: list[RunAtRisk],
        daemon: int = 0,
    ) -> None:
        """Let a target crash under given requests."""
        crashed = self.daemons[daemon]
        target = f't{self.crashes}'
        for run in at_risk:
            crashed.quarantine.started(run.fingerprint, (target,))
        crashed.crashed(target, at_risk, now_s)

    def prove(self, now_s: float, *parts: str, daemon: int = 0) -> None:
        """Let a run with parts write for a while, and tell all daemons."""
        self.daemons[daemon].parts.proved_sound(parts, now_s)
        self.daemons[daemon].collect(now_s)
        exchange(self.daemons, now_s + 0.1)

    def assert_refused(self, now_s: float, *parts: str) -> None:
        """Check that all daemons refuse a prompt."""
        for daemon in self.daemons:
            self.assertTrue(is_refused(daemon, now_s, *parts), parts)

    def assert_served(self, now_s: float, *parts: str) -> None:
        """Check that all daemons let a prompt run."""
        for daemon in self.daemons:
            self.assertFalse(is_refused(daemon, now_s, *parts), parts)


class CulpritTest(SharedPartsCase):
    """The part that crashes targets is told from those beside it."""

    def test_a_crash_at_each_daemon(self) -> None:
        """Guards against crashes that no daemon counts together."""
        self.prove(0.0, _ROUTE_PART)
        for number in range(_DAEMONS):
            self.crash(number + 1.0, (_ROUTE_PART, _FATAL), daemon=number)
        self.assert_refused(4.0, _ROUTE_PART, _FATAL)
        self.assert_refused(4.0, 'any', _FATAL)
        self.assert_served(4.0, _ROUTE_PART, _SUBJECT_PART)

    def test_one_request_that_is_sent_again(self) -> None:
        """Guards against refusals of a subject for one request of it.

        The request itself is quarantined, by its fingerprint.
        """
        for number in range(_MAX_CRASHES):
            self.crashes += 1
            at_risk = [RunAtRisk('same', (_ROUTE_PART, _SUBJECT_PART))]
            self.crash_again(float(number), at_risk)
        self.assert_served(5.0, _ROUTE_PART, _SUBJECT_PART)

    def test_parts_that_always_come_together(self) -> None:
        """Guards against refusals of a sound part that came with each crash.

        A prompt with it alone shows that it is sound.
        """
        for now_s in (1.0, 2.0, 3.0):
            self.crash(now_s, (_SUBJECT_PART, _FATAL))
        self.assert_refused(4.0, _SUBJECT_PART, _FATAL)
        self.assert_served(4.0, _SUBJECT_PART)
        self.prove(4.5, _SUBJECT_PART, daemon=1)
        self.assert_served(5.0, _SUBJECT_PART)
        self.assert_refused(5.0, _FATAL)

    def test_a_part_alone_that_crashes_one_more(self) -> None:
        """Guards against a part that is spared as another one came with it."""
        for now_s in (1.0, 2.0, 3.0):
            self.crash(now_s, (_SUBJECT_PART, _FATAL))
        self.crash(4.0, (_FATAL,))
        self.assert_refused(5.0, _FATAL)
        self.assert_served(5.0, _SUBJECT_PART)

    def test_what_was_at_risk_beside_it(self) -> None:
        """Guards against refusals of what was on the crashed targets, too."""
        for now_s in (1.0, 2.0, 3.0):
            self.crash(now_s, (_FATAL,), (_SUBJECT_PART,), ('c2', 'c3'))
            self.prove(now_s + 0.6, _SUBJECT_PART, daemon=2)
            self.prove(now_s + 0.7, 'c2', 'c3', daemon=1)
        self.assert_refused(4.0, _FATAL)
        for part in (_SUBJECT_PART, 'c2', 'c3'):
            self.assert_served(4.0, part)

    def test_parts_of_drafts_that_had_begun_to_write(self) -> None:
        """Guards against blame of a subject whose drafts are sent on.

        Five crashes are still enough, for a part that crashes targets later.
        """
        for number in range(_MAX_CRASHES):
            self.assert_served(float(number), _SUBJECT_PART)
            self.crashes += 1
            runs = [RunAtRisk(f'r{number}', (_SUBJECT_PART,), has_written=True)]
            self.crash_again(float(number), runs)
            exchange(self.daemons, number + 0.1)
        self.assert_refused(5.0, _SUBJECT_PART)

    def test_targets_that_end_together(self) -> None:
        """Guards against refusals of a whole route as its engines have ended.

        All run the part of the route, and no run is left to prove it sound.
        """
        self.prove(0.0, _ROUTE_PART, daemon=1)
        for number in range(2 * _MAX_CRASHES):
            self.crash(10.0 + 0.1 * number, (_ROUTE_PART, f's{number}'))
        self.assert_served(12.0, _ROUTE_PART)

    def test_crashes_that_a_known_part_explains(self) -> None:
        """Guards against a sound part that is refused beside a known one.

        A last target ends by another cause.
        """
        self.prove(0.0, _ROUTE_PART)
        for number in range(3 * _MAX_CRASHES):
            self.crash(1.0 + number, (_ROUTE_PART, _FATAL))
        self.crash(18.0, (_ROUTE_PART, _SUBJECT_PART))
        self.assert_refused(20.0, _FATAL)
        self.assert_served(20.0, _ROUTE_PART)

    def test_a_part_that_was_sound_before(self) -> None:
        """Guards against a part that crashes targets since a change of them.

        What proved it sound was before the crashes.
        """
        self.prove(0.0, _FATAL, daemon=1)
        for number in range(_MAX_CRASHES):
            self.crash(1.0 + number, (_FATAL,), daemon=number % _DAEMONS)
        self.assert_refused(6.0, _FATAL)

    def test_a_part_that_runs_between_crashes(self) -> None:
        """Guards against refusals of a part that is often at risk."""
        for number in range(4 * _MAX_CRASHES):
            self.crash(1.0 + number, (_ROUTE_PART, f's{number}'))
            self.prove(1.6 + number, _ROUTE_PART, daemon=number % _DAEMONS)
        self.assert_served(25.0, _ROUTE_PART)

    def test_random_days(self) -> None:
        """Guards against orders of events that the other tests don't have.

        A fatal part, sound parts beside it, ends of targets without a cause,
        and lost updates. The fatal part must be refused by all daemons after
        five crashes, and no common part at the end.
        """
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                self.setUp()
                self._play_random_day(random.Random(seed))

    def _play_random_day(self, source: random.Random) -> None:
        common = (_ROUTE_PART, _SUBJECT_PART, 'c2', 'c3')
        fatal_crashes = 0
        now_s = 0.0
        for _ in range(120):
            now_s += source.random()
            daemon = source.randrange(_DAEMONS)
            sound = tuple(source.sample(common, 2))
            event = source.random()
            if event < 0.2:
                if not is_refused(self.daemons[daemon], now_s, _FATAL, *sound):
                    fatal_crashes += 1
                    self.crash(now_s, (*sound, _FATAL), sound, daemon=daemon)
            elif event < 0.3:
                self.crash(now_s, sound, daemon=daemon)
            else:
                self.prove(now_s, *sound, daemon=daemon)
            exchange(self.daemons, now_s + 0.2, loss=0.3, source=source)
        self.assertLessEqual(fatal_crashes, _MAX_CRASHES)
        for part in common:
            self.assert_served(now_s, part)


class NewsTest(SharedPartsCase):
    """Daemons learn of quarantines and of their ends."""

    def _quarantine(self) -> None:
        for now_s in (1.0, 2.0, 3.0):
            self.crash(now_s, (_FATAL,))

    def test_a_daemon_that_starts_later(self) -> None:
        """Guards against a new daemon that lets the part crash targets."""
        self._quarantine()
        self.daemons.append(SharedQuarantine())
        exchange(self.daemons, 60.0)
        self.assert_refused(60.0, _FATAL)

    def test_a_quarantine_ends(self) -> None:
        """Guards against daemons that prolong each other's quarantines."""
        self._quarantine()
        now_s = 4.0
        while now_s < _LONG_S:
            exchange(self.daemons, now_s)
            now_s += _INTERVAL_S
        self.assert_served(now_s, _FATAL)

    def test_a_second_quarantine_is_longer(self) -> None:
        """Guards against a crash every ten minutes for as long as it comes."""
        self._quarantine()
        self.crash(_LONG_S, (_FATAL,))
        self.assert_refused(_LONG_S + 601.0, _FATAL)

    def test_a_proof_that_one_daemon_has_missed(self) -> None:
        """Guards against a quarantine that a late update brings back."""
        self._quarantine()
        late = self.daemons[2].outgoing(_REPEAT_S, 3.5)
        self.prove(4.0, _FATAL)
        for now_s in (4.5, 5.0, 30.0):
            self.daemons[1].receive(late, now_s)
            exchange(self.daemons, now_s)
        self.assert_served(31.0, _FATAL)

    def test_a_proof_before_the_crashes_lifts_nothing(self) -> None:
        """Guards against a late proof that lets the part crash targets.

        The daemon that has it hears of the crashes last.
        """
        late = SharedQuarantine()
        late.parts.proved_sound((_FATAL,), 0.0)
        for number in range(_MAX_CRASHES):
            self.crash(1.0 + number, (_FATAL,))
        for now_s in (5.5, 6.0):
            exchange([*self.daemons, late], now_s)
        self.assert_refused(7.0, _FATAL)

    def test_updates_are_bounded(self) -> None:
        """Guards against datagrams that grow with crashes and proofs."""
        for number in range(200):
            self.crash(1.0, (f'a{number // 4}',))
            self.prove(1.0, f'b{number}')
        daemon = self.daemons[0]
        self.assertLessEqual(len(daemon.outgoing(_REPEAT_S, 1.0)), 96)

    def test_relays_keep_the_requests_at_risk_of_all(self) -> None:
        """Guards against evidence that is lost where updates are summed up."""
        at_risk = [RunAtRisk('r1', (_FATAL,)), RunAtRisk('r2', (_ROUTE_PART,))]
        for daemon, run in zip(self.daemons, at_risk, strict=False):
            daemon.quarantine.started(run.fingerprint, ('t',))
            daemon.crashed('t', [run], 1.0)
        notices = [
            notice
            for daemon in self.daemons
            for notice in daemon.outgoing(_REPEAT_S, 1.0)
        ]
        (merged,) = merge_notices(notices)
        self.assertEqual(sorted(merged.at_risk), at_risk)


class OddNoticeTest(unittest.TestCase):
    """Notices that no daemon should send."""

    def test_impossible_numbers(self) -> None:
        """Guards against quarantines and proofs without an end."""
        for number in (float('nan'), float('-inf'), -1.0):
            quarantine = PartQuarantine(PartSettings())
            clear = ClearNotice('parts:a', number)
            quarantine.receive_notice(clear, 0.0, 1.0)
            quarantine.receive_notice(
                QuarantineNotice('parts:a', 't', number), 0.0, 1.0
            )
            self.assertIsNone(quarantine.check(('a',), 2.0))
            for target in 'xyz':
                quarantine.crashed(target, [RunAtRisk(target, ('a',))], 3.0)
            self.assertIsNotNone(quarantine.check(('a',), 4.0))

    def test_names_without_parts(self) -> None:
        """Guards against a notice by which all prompts are refused."""
        quarantine = PartQuarantine(PartSettings())
        for name in ('parts:', 'parts:,', 'digest'):
            quarantine.receive_notice(
                QuarantineNotice(name, 't', 60.0), 0.0, 1.0
            )
        self.assertIsNone(quarantine.check((), 2.0))
        self.assertIsNone(quarantine.check(('a',), 2.0))


class OldEvidenceTest(unittest.TestCase):
    """Evidence that is long ago."""

    def test_old_crashes_do_not_count(self) -> None:
        """Guards against a part that is refused for crashes of other days."""
        quarantine = PartQuarantine(PartSettings())
        for number in range(2 * _MAX_CRASHES):
            quarantine.crashed(
                f't{number}',
                [RunAtRisk(f'r{number}', ('a',))],
                500.0 * number,
            )
        self.assertIsNone(quarantine.check(('a',), 500.0 * number + 1.0))
