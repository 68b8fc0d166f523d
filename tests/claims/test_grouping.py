"""Tests of batched claim writes and of the daemon's share of writes."""

from __future__ import annotations

import unittest

from nutmegspoke import metadata_store, outcomes
from nutmegspoke.claims.grouping import CommitGroups
from nutmegspoke.claims.share import ShareSettings, WriteShare
from tests import builders_claims as build


def insert(key: str) -> metadata_store.Transaction:
    """Build the insert of an absent row."""
    return metadata_store.Transaction(
        (metadata_store.Condition(key, 0),),
        (metadata_store.Write(key, b'new'),),
    )


class CommitGroupsTest(unittest.TestCase):
    """Transactions are grouped and the results of groups are split."""

    def setUp(self) -> None:
        """Create a store and groups of at most four members."""
        self.store = build.RowStore()
        self.groups = CommitGroups(max_members=4)

    def run_all(self) -> dict[int, metadata_store.CommitResult]:
        """Commit all groups and return the results by number."""
        found = {}
        while (group := self.groups.next_group()) is not None:
            commit = self.store.apply(group.transaction())
            for part in self.groups.resolve(group, commit):
                found[part.number] = part.commit
        return found

    def test_a_failed_member_does_not_fail_its_neighbours(self) -> None:
        """Only the insert of an existing row gets a conflict, with that row."""
        self.store.apply(insert('b'))
        numbers = {key: self.groups.add(insert(key)) for key in 'abc'}
        found = self.run_all()
        for key in 'ac':
            self.assertEqual(
                [row.key for row in found[numbers[key]].rows], [key]
            )
            self.assertIsInstance(found[numbers[key]], metadata_store.Committed)
        self.assertEqual(
            found[numbers['b']],
            metadata_store.Conflict(
                (metadata_store.StoredRow('b', 1, b'new'),)
            ),
        )

    def test_one_commit_for_a_whole_group(self) -> None:
        """Nine writes without conflicts take three commits."""
        numbers = {self.groups.add(insert(key)) for key in 'abcdefghi'}
        self.assertEqual(set(self.run_all()), numbers)
        self.assertEqual(self.store.commit_count, 3)

    def test_a_key_is_in_flight_once(self) -> None:
        """A second write of a key waits for the first one's result."""
        for _ in range(2):
            self.groups.add(insert('a'))
        first = self.groups.next_group()
        self.assertEqual(len(first.members), 1)
        self.assertIsNone(self.groups.next_group())
        self.groups.resolve(first, metadata_store.Unavailable('down'))
        self.assertEqual(len(self.groups.next_group().members), 1)

    def test_a_group_in_doubt_is_in_doubt_for_all_members(self) -> None:
        """Every member of a group in doubt is in doubt."""
        for key in 'ab':
            self.groups.add(insert(key))
        doubt = metadata_store.InDoubt('timeout')
        parts = self.groups.resolve(self.groups.next_group(), doubt)
        self.assertEqual([part.commit for part in parts], [doubt, doubt])


class WriteShareTest(unittest.TestCase):
    """Claims are refused when the daemon's share is used up."""

    def test_all_daemons_together_stay_inside_the_limit(self) -> None:
        """Ten daemons under full load write 400 rows per second."""
        shares = [WriteShare(ShareSettings()) for _ in range(10)]
        writes = 0
        for share in shares:
            share.set_daemon_count(10)
        for tick in range(1000):
            now_s = 100.0 + tick / 100
            for share in shares:
                if share.refusal(now_s) is None:
                    share.spend(now_s)
                    share.spend(now_s)
                    writes += 2
        self.assertLessEqual(writes, 400 * (10 + 2) + 2 * 10)
        self.assertGreater(writes, 400 * 10)

    def test_refused_callers_get_different_retry_times(self) -> None:
        """Guards against refused callers that all retry at the same time."""
        share = WriteShare(ShareSettings(writes_per_s=10.0))
        while share.refusal(1.0) is None:
            share.spend(1.0)
        refusals = [share.refusal(1.0) for _ in range(5)]
        waits_s = [refusal.retry_after_s for refusal in refusals]
        self.assertEqual(refusals[0].reason, outcomes.RefusalReason.CLAIM_LIMIT)
        gaps_s = [
            later - sooner
            for sooner, later in zip(waits_s, waits_s[1:], strict=False)
        ]
        for gap_s in gaps_s:
            self.assertAlmostEqual(gap_s, 0.2)
