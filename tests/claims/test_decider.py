"""Tests of single paths through the claim decider."""

from __future__ import annotations

import unittest

from nutmegspoke import metadata_store, outcomes
from nutmegspoke.claims import rows, steps
from nutmegspoke.claims.decider import ClaimDecider, ClaimLimits
from tests import builders_claims as build

_Reason = outcomes.RefusalReason
_NOW_S = 1000.0


class Gone(steps.UnknownLiveness):
    """Knows that all other daemons have ended."""

    def is_gone(self, daemon: str, now_s: float) -> bool:
        """Return ``True``."""
        return True


def decider(
    name: str, liveness: steps.DaemonLiveness | None = None
) -> ClaimDecider:
    """Create a decider with the usual limits."""
    return ClaimDecider(
        name, liveness or steps.UnknownLiveness(), ClaimLimits()
    )


class ClaimCase(unittest.IsolatedAsyncioTestCase):
    """A store with scripted faults."""

    def setUp(self) -> None:
        """Create the store."""
        self.tables = build.FakeTables()

    async def claim(
        self,
        daemon: ClaimDecider,
        nonce: str = 'n1',
        **changes: object,
    ) -> steps.Step:
        """Take a call to ``Proceed`` or ``Answer``."""
        request = build.claim_request(nonce, **changes)
        step = daemon.begin(request, _NOW_S)
        while not isinstance(step, steps.Proceed | steps.Answer):
            if isinstance(step, steps.CommitClaim):
                commit = await self.tables.commit(step.transaction)
                step = daemon.committed(step.key, commit, _NOW_S)
            else:
                found = await self.tables.read(step.key)
                step = daemon.read(step.key, found, _NOW_S)
        return step

    async def write(self, daemon: ClaimDecider, now_s: float = _NOW_S) -> None:
        """Send all writes that are due."""
        for write in daemon.due(now_s):
            commit = await self.tables.commit(write.transaction)
            daemon.settled(write.key, commit, now_s)

    def row(self) -> rows.ClaimRow:
        """Return the claim row."""
        return rows.decode_claim(self.tables.store.row(build.KEY).body)

    def finish(self, daemon: ClaimDecider, outcome: outcomes.Outcome) -> None:
        """Let the call leave and end."""
        self.assertEqual(daemon.dispatch(build.KEY, _NOW_S), steps.Proceed())
        daemon.finish(build.KEY, outcome, _NOW_S)


class InsertInDoubtTest(ClaimCase):
    """The answer to the insert is lost."""

    async def test_held_once_read_back_or_sent_again(self) -> None:
        """Whatever became of the first insert, one claim is held."""
        for fault in ('lost', 'dropped', 'late'):
            with self.subTest(fault=fault):
                self.tables = build.FakeTables(fault)
                self.assertEqual(
                    await self.claim(decider('d1')),
                    steps.Proceed(),
                )
                self.assertEqual(self.row().nonce, 'n1')
                results = self.tables.apply_late_writes()
                self.assertTrue(
                    all(
                        isinstance(each, metadata_store.Conflict)
                        for each in results
                    )
                )

    async def test_given_up_is_released_before_the_late_insert(self) -> None:
        """The caller is refused, and the late insert takes no effect."""
        self.tables.script = ['late', 'late', 'late']
        daemon = decider('d1')
        step = await self.claim(daemon)
        self.assertEqual(step.outcome.reason, _Reason.STORE_UNAVAILABLE)
        self.assertIsNotNone(step.outcome.retry_after_s)
        await self.write(daemon)
        self.tables.apply_late_writes()
        self.assertEqual(self.row().state, rows.ClaimState.RELEASED)
        self.assertEqual(daemon.open_count, 0)
        step = await self.claim(decider('d2'), 'n2')
        self.assertEqual(step, steps.Proceed())

    async def test_late_insert_after_a_release_takes_no_effect(self) -> None:
        """A released row stays, so that its key is never absent again."""
        self.tables.script = ['late']
        daemon = decider('d1')
        await self.claim(daemon)
        self.finish(daemon, outcomes.NotRun(_Reason.TARGET_REFUSED))
        await self.write(daemon)
        self.tables.apply_late_writes()
        self.assertEqual(self.row().state, rows.ClaimState.RELEASED)

    async def test_late_insert_before_the_release(self) -> None:
        """The release meets the late insert and replaces it."""
        self.tables.script = ['late', 'down']
        daemon = decider('d1')
        await self.claim(daemon)
        self.tables.apply_late_writes()
        await self.write(daemon)
        await self.write(daemon)
        self.assertEqual(self.row().state, rows.ClaimState.RELEASED)


class OutcomeInDoubtTest(ClaimCase):
    """The store fails after the run."""

    async def test_memory_answers_until_the_store_is_back(self) -> None:
        """Repeats get the answer from memory, later from the store."""
        daemon = decider('d1')
        await self.claim(daemon)
        self.finish(daemon, outcomes.Completed(200, b'sent'))
        self.tables.is_down = True
        for now_s in (1000.0, 1001.0, 1002.0):
            await self.write(daemon, now_s)
        repeat = await self.claim(daemon, 'n2')
        self.assertEqual(
            (repeat.outcome.body, repeat.outcome.replayed), (b'sent', True)
        )
        self.tables.is_down = False
        self.tables.script = ['lost']
        await self.write(daemon, 1100.0)
        await self.write(daemon, 1200.0)
        self.assertEqual(daemon.open_count, 0)
        repeat = await self.claim(decider('d2'), 'n3')
        self.assertEqual(repeat.outcome.body, b'sent')

    async def test_waits_grow_between_writes(self) -> None:
        """A store that is down gets few writes."""
        daemon = decider('d1')
        await self.claim(daemon)
        self.finish(daemon, outcomes.Completed(200))
        self.tables.is_down = True
        waits_s = []
        now_s = _NOW_S
        for _ in range(8):
            await self.write(daemon, now_s)
            waits_s.append(daemon.next_due_s() - now_s)
            now_s = daemon.next_due_s()
        self.assertEqual(waits_s, sorted(waits_s))
        self.assertLessEqual(waits_s[-1], ClaimLimits().max_retry_s)
        self.assertGreater(waits_s[-1], 10 * waits_s[0])

    async def test_a_large_answer_is_not_kept(self) -> None:
        """A repeat is never given a part of an answer."""
        daemon = decider('d1')
        await self.claim(daemon)
        self.finish(daemon, outcomes.Completed(200, bytes(70_000)))
        await self.write(daemon)
        repeat = await self.claim(decider('d2'), 'n2')
        self.assertIsInstance(repeat.outcome, outcomes.Unknown)
        self.assertLess(len(self.tables.store.row(build.KEY).body), 1000)


class OtherHolderTest(ClaimCase):
    """Another daemon or request holds the claim."""

    async def test_running_then_unknown(self) -> None:
        """A holder that leaves no outcome in time makes it unknown."""
        await self.claim(decider('d1'))
        other = decider('d2')
        early = await self.claim(other, 'n2')
        self.assertEqual(early.outcome.reason, _Reason.KEY_RUNNING)
        self.assertIsNotNone(early.outcome.retry_after_s)
        self.assertEqual(
            outcomes.executed(early.outcome),
            outcomes.Executed.UNKNOWN,
        )
        late = await self.claim(other, 'n3', run_limit_s=-1.0)
        self.assertEqual(
            late.outcome.reason,
            outcomes.UnknownReason.HOLDER_GONE,
        )

    async def test_unknown_at_once_if_the_holder_is_gone(self) -> None:
        """A known end of the holder, or an earlier process of this name."""
        await self.claim(decider('d1'))
        for daemon in (decider('d2', Gone()), decider('d1')):
            step = await self.claim(daemon, 'n2')
            self.assertIsInstance(step.outcome, outcomes.Unknown)

    async def test_key_with_another_body(self) -> None:
        """Refused for good, here and elsewhere, also after the outcome."""
        daemon = decider('d1')
        await self.claim(daemon)
        for other in (daemon, decider('d2')):
            step = await self.claim(other, 'n2', fingerprint='other')
            self.assertEqual(step.outcome.reason, _Reason.KEY_REUSED)
            self.assertIsNone(step.outcome.retry_after_s)
        self.finish(daemon, outcomes.Completed(200))
        await self.write(daemon)
        step = await self.claim(daemon, 'n3', fingerprint='other')
        self.assertEqual(step.outcome.reason, _Reason.KEY_REUSED)

    async def test_two_daemons_at_once(self) -> None:
        """Both have sent their insert; one is told that the other runs."""
        first, second = decider('d1'), decider('d2')
        step1 = first.begin(build.claim_request('n1'), _NOW_S)
        step2 = second.begin(build.claim_request('n2'), _NOW_S)
        commit2 = await self.tables.commit(step2.transaction)
        commit1 = await self.tables.commit(step1.transaction)
        held = second.committed(build.KEY, commit2, _NOW_S)
        told = first.committed(build.KEY, commit1, _NOW_S)
        self.assertEqual(held, steps.Proceed())
        self.assertEqual(told.outcome.reason, _Reason.KEY_RUNNING)

    async def test_a_row_that_cannot_be_read_is_unknown(self) -> None:
        """A row of a later release is not taken for a free key."""
        self.tables.store.apply(
            metadata_store.Transaction(
                (), (metadata_store.Write(build.KEY, b'\xc1'),)
            ),
        )
        step = await self.claim(decider('d1'))
        self.assertIsInstance(step.outcome, outcomes.Unknown)


class RowTest(unittest.TestCase):
    """Keys and fingerprints."""

    def test_keys_do_not_run_into_each_other(self) -> None:
        """Separators inside names make no two claims the same."""
        self.assertNotEqual(
            rows.claim_key('a/b', 'c', 'k'),
            rows.claim_key('a', 'b/c', 'k'),
        )
        self.assertNotEqual(
            rows.call_fingerprint('POST', '/a', b'bc'),
            rows.call_fingerprint('POST', '/ab', b'c'),
        )
