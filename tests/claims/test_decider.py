"""Tests of individual paths through the claim decider."""

from __future__ import annotations

import unittest

from nutmegspoke import metadata_store, outcomes
from nutmegspoke.claims import rows, steps
from nutmegspoke.claims.decider import ClaimDecider, ClaimLimits
from tests import builders_claims as build

_Reason = outcomes.RefusalReason
_NOW_S = 1000.0


class AllOthersGone(steps.UnknownLiveness):
    """Liveness that reports all other daemons as ended."""

    def is_gone(self, daemon: str, now_s: float) -> bool:
        """Return ``True``."""
        return True


def decider(
    name: str, liveness: steps.DaemonLiveness | None = None
) -> ClaimDecider:
    """Create a decider with default limits."""
    return ClaimDecider(
        name, liveness or steps.UnknownLiveness(), ClaimLimits()
    )


class ClaimCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a table service that fails by a script."""

    def setUp(self) -> None:
        """Create the table service."""
        self.tables = build.FakeTables()

    async def claim(
        self,
        daemon: ClaimDecider,
        nonce: str = 'n1',
        **changes: object,
    ) -> steps.Step:
        """Claim a call and return the final ``Proceed`` or ``Answer``."""
        request = build.claim_request(nonce, **changes)
        step = daemon.begin(request, _NOW_S)
        while not isinstance(step, steps.Proceed | steps.Answer):
            if isinstance(step, steps.CommitClaim):
                commit = await self.tables.commit(step.transaction)
                step = daemon.handle_insert_result(step.key, commit, _NOW_S)
            else:
                found = await self.tables.read(step.key)
                step = daemon.handle_row(step.key, found, _NOW_S)
        return step

    async def write(self, daemon: ClaimDecider, now_s: float = _NOW_S) -> None:
        """Send all writes that are due."""
        for write in daemon.due_writes(now_s):
            commit = await self.tables.commit(write.transaction)
            daemon.handle_write_result(write.key, commit, now_s)

    def row(self) -> rows.ClaimRow:
        """Return the claim row."""
        return rows.decode_claim(self.tables.store.row(build.KEY).body)

    def finish(self, daemon: ClaimDecider, outcome: outcomes.Outcome) -> None:
        """Dispatch the call and finish it."""
        self.assertEqual(daemon.dispatch(build.KEY, _NOW_S), steps.Proceed())
        daemon.finish(build.KEY, outcome, _NOW_S)


class InsertInDoubtTest(ClaimCase):
    """The result of the insert is in doubt."""

    async def test_held_once_read_back_or_sent_again(self) -> None:
        """One claim is held, whether or not the first insert took effect."""
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
        """Guards against a late insert that blocks the key after a refusal."""
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
        """The released row stays, so that the late insert finds no absent row."""
        self.tables.script = ['late']
        daemon = decider('d1')
        await self.claim(daemon)
        self.finish(daemon, outcomes.NotRun(_Reason.TARGET_REFUSED))
        await self.write(daemon)
        self.tables.apply_late_writes()
        self.assertEqual(self.row().state, rows.ClaimState.RELEASED)

    async def test_late_insert_before_the_release(self) -> None:
        """A release replaces the late insert of its own claim."""
        self.tables.script = ['late', 'down']
        daemon = decider('d1')
        await self.claim(daemon)
        self.tables.apply_late_writes()
        await self.write(daemon)
        await self.write(daemon)
        self.assertEqual(self.row().state, rows.ClaimState.RELEASED)


class OutcomeInDoubtTest(ClaimCase):
    """The table service fails after the call has run."""

    async def test_memory_answers_until_the_store_is_back(self) -> None:
        """Later calls get the answer from memory, then from the table service."""
        daemon = decider('d1')
        await self.claim(daemon)
        self.finish(daemon, outcomes.Completed(200, b'sent'))
        self.tables.is_down = True
        for now_s in (1000.0, 1001.0, 1002.0):
            await self.write(daemon, now_s)
        later_step = await self.claim(daemon, 'n2')
        self.assertEqual(
            (later_step.outcome.body, later_step.outcome.replayed),
            (b'sent', True),
        )
        self.tables.is_down = False
        self.tables.script = ['lost']
        await self.write(daemon, 1100.0)
        await self.write(daemon, 1200.0)
        self.assertEqual(daemon.open_count, 0)
        later_step = await self.claim(decider('d2'), 'n3')
        self.assertEqual(later_step.outcome.body, b'sent')

    async def test_waits_grow_between_writes(self) -> None:
        """A table service that is down gets fewer and fewer writes."""
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
        """A later call gets an unknown outcome, never a truncated answer."""
        daemon = decider('d1')
        await self.claim(daemon)
        self.finish(daemon, outcomes.Completed(200, bytes(70_000)))
        await self.write(daemon)
        later_step = await self.claim(decider('d2'), 'n2')
        self.assertIsInstance(later_step.outcome, outcomes.Unknown)
        self.assertLess(len(self.tables.store.row(build.KEY).body), 1000)


class OtherHolderTest(ClaimCase):
    """Another daemon or request holds the claim."""

    async def test_running_then_unknown(self) -> None:
        """The outcome is unknown if the holder stores none in time."""
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
        """The holder has ended, or was an earlier process of the same name."""
        await self.claim(decider('d1'))
        for daemon in (decider('d2', AllOthersGone()), decider('d1')):
            step = await self.claim(daemon, 'n2')
            self.assertIsInstance(step.outcome, outcomes.Unknown)

    async def test_key_with_another_body(self) -> None:
        """Refused without a retry time at both daemons, also after the outcome."""
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
        """Two inserts at the same time: one proceeds, the other is refused."""
        first, second = decider('d1'), decider('d2')
        step1 = first.begin(build.claim_request('n1'), _NOW_S)
        step2 = second.begin(build.claim_request('n2'), _NOW_S)
        commit2 = await self.tables.commit(step2.transaction)
        commit1 = await self.tables.commit(step1.transaction)
        held = second.handle_insert_result(build.KEY, commit2, _NOW_S)
        refused = first.handle_insert_result(build.KEY, commit1, _NOW_S)
        self.assertEqual(held, steps.Proceed())
        self.assertEqual(refused.outcome.reason, _Reason.KEY_RUNNING)

    async def test_a_row_that_cannot_be_read_is_unknown(self) -> None:
        """Guards against running a call whose row a newer version wrote."""
        self.tables.store.apply(
            metadata_store.Transaction(
                (), (metadata_store.Write(build.KEY, b'\xc1'),)
            ),
        )
        step = await self.claim(decider('d1'))
        self.assertIsInstance(step.outcome, outcomes.Unknown)


class RowTest(unittest.TestCase):
    """Keys and fingerprints of claim rows."""

    def test_parts_of_keys_are_separated(self) -> None:
        """Names that contain separators do not make different claims equal."""
        self.assertNotEqual(
            rows.claim_key('a/b', 'c', 'k'),
            rows.claim_key('a', 'b/c', 'k'),
        )
        self.assertNotEqual(
            rows.call_fingerprint('POST', '/a', b'bc'),
            rows.call_fingerprint('POST', '/ab', b'c'),
        )
