"""Tests of the settlement of claims by an operator."""

from __future__ import annotations

import unittest

from nutmegspoke import metadata_store, outcomes
from nutmegspoke.claims import rows
from nutmegspoke.claims.settlement import SettleRefusal, Verdict, settle
from tests import builders_claims as build


def stored(**fields: object) -> metadata_store.StoredRow:
    """Build the stored row of a claim of the daemon ``d1``."""
    row = rows.ClaimRow(
        **{
            'nonce': 'n',
            'daemon': 'd1',
            'fingerprint': 'f',
            'state': rows.ClaimState.INSERTED,
            **fields,
        },
    )
    return metadata_store.StoredRow(build.KEY, 7, rows.encode_claim(row))


class SettleTest(unittest.TestCase):
    """Only claims with an unknown outcome can be settled."""

    def test_refused(self) -> None:
        """No claim, a known outcome, a release, or a holder that is alive."""
        done = rows.StoredOutcome(rows.OutcomeKind.COMPLETED, 200)
        for found, live, refusal in (
            (
                metadata_store.StoredRow(build.KEY, 0),
                (),
                SettleRefusal.NO_CLAIM,
            ),
            (
                stored(state=rows.ClaimState.DONE, outcome=done),
                (),
                SettleRefusal.HAS_OUTCOME,
            ),
            (
                stored(state=rows.ClaimState.RELEASED),
                (),
                SettleRefusal.HAS_OUTCOME,
            ),
            (stored(), ('d1',), SettleRefusal.HOLDER_LIVES),
        ):
            for verdict in Verdict:
                refused = settle(found, verdict, 'ann', live)
                self.assertEqual(refused, refusal)

    def test_write_requires_the_version_that_was_read(self) -> None:
        """The write names the operator and conflicts if the row has changed."""
        lost = rows.StoredOutcome(rows.OutcomeKind.UNKNOWN, reason='x')
        unknown = stored(state=rows.ClaimState.DONE, outcome=lost)
        for found, live in ((stored(), ()), (unknown, ('d1',))):
            write = settle(found, Verdict.RAN, 'ann', live)
            self.assertEqual(
                write.conditions,
                (metadata_store.Condition(build.KEY, 7),),
            )
            row = rows.decode_claim(write.writes[0].body)
            self.assertEqual(row.state, rows.ClaimState.SETTLED)
            self.assertEqual(row.settled_by, 'ann')
            outcome = rows.from_stored(row.outcome)
            self.assertIsInstance(outcome, outcomes.Unknown)

    def test_not_run_frees_the_key(self) -> None:
        """The claim is released, so that the next call with its key may run."""
        write = settle(stored(), Verdict.NOT_RUN, 'ann', ())
        row = rows.decode_claim(write.writes[0].body)
        self.assertEqual(row.state, rows.ClaimState.RELEASED)
        self.assertIsNone(row.outcome)
