"""Tests of evidence: trails, buffer, names and stories."""

from __future__ import annotations

import unittest

from nutmegspoke import outcomes
from nutmegspoke.evidence import names, records, trails
from nutmegspoke.evidence.buffer import BufferLimits, EvidenceBuffer
from nutmegspoke.evidence.story import describe_change, describe_request
from nutmegspoke.tables.changes import ChangeRecord


def _matched(*, is_repeatable: bool = True) -> records.Matched:
    return records.Matched('drafts', 'engines', 'desk', 7, is_repeatable)


def _record(
    request_id: str,
    *events: records.Event,
    outcome: outcomes.Outcome | None = None,
    status: int = 200,
) -> records.RequestRecord:
    kept = trails.Trails('d1')
    kept.begin(request_id, 100.0, 60.0)
    for number, event in enumerate(events):
        kept.note(request_id, event, 100.5 + number)
    return kept.end(request_id, outcome or outcomes.Completed(200), status, 109)


class StoryTest(unittest.TestCase):
    """Stories from records alone."""

    def test_a_draft_whose_stage_died(self) -> None:
        """The story shows both attempts, the loss and the receipts."""
        record = _record(
            'd1.1.ab',
            _matched(),
            records.ChainChosen(1, (records.ChainStage('e1', '0-6'),)),
            records.AttemptLost(1, 'e1', 'connection reset'),
            records.ChainChosen(2, (records.ChainStage('e2', '0-6'),), 3),
            records.ReceiptsVerified('beef', 9, 6),
        )
        decoded = records.decode_record(records.encode_record(record))
        self.assertEqual(decoded, record)
        self.assertEqual(
            describe_request(decoded),
            'request d1.1.ab\n'
            'received by d1 at 1970-01-01T00:01:00.000+00:00\n'
            '    0.500 s  matched route drafts, pool engines, team desk, '
            'revision 7; it may be repeated\n'
            '    1.500 s  attempt 1 over e1 layers 0-6, after 0 tokens\n'
            '    2.500 s  attempt 1 lost at e1: connection reset\n'
            '    3.500 s  attempt 2 over e2 layers 0-6, after 3 tokens\n'
            '    4.500 s  receipts cover 9 tokens, each over layers 0-6 once '
            'and in order; digest beef\n'
            '    9.000 s  caller told: it ran, status 200',
        )

    def test_a_call_whose_outcome_is_unknown(self) -> None:
        """The story says that nobody can know, and the claim's key."""
        record = _record(
            'd1.1.cd',
            _matched(is_repeatable=False),
            records.ClaimStep('inserted', 'claim/x', 'n1'),
            records.CallSent(1, 's1'),
            outcome=outcomes.Unknown(
                outcomes.UnknownReason.ANSWER_LOST,
                retry_after_s=2.0,
            ),
            status=502,
        )
        self.assertIs(record.kind, records.RecordKind.NON_REPEATABLE)
        story = describe_request(record)
        self.assertIn('it may not be repeated', story)
        self.assertIn('claim inserted: claim/x, nonce n1', story)
        self.assertTrue(
            story.endswith(
                'caller told: it is not known whether it ran, '
                'reason answer_lost, status 502, come back after 2.0 s',
            ),
        )

    def test_a_change(self) -> None:
        """The story shows who made it and who has it."""
        change = ChangeRecord(8, 'c1', 'ann', 60.0, 7, ())
        adoption = records.AdoptionRecord('d1', 8, 7, 'peer', 61.0)
        story = describe_change(change, (), (adoption,))
        self.assertIn('made by ann at 1970-01-01T00:01:00.000+00:00', story)
        self.assertIn('in force at d1 after about 1.0 s, by peer', story)
        self.assertIn('no daemon', describe_change(change, (), ()))

    def test_a_caller_who_hung_up(self) -> None:
        """The record is closed once and says so."""
        kept = trails.Trails('d1')
        kept.begin('d1.1.gh', 100.0, 60.0)
        record = kept.abandon('d1.1.gh', 101.0)
        self.assertIn('hung up before it was told', describe_request(record))
        self.assertIsNone(kept.abandon('d1.1.gh', 102.0))
        self.assertEqual(len(kept), 0)

    def test_a_long_trail_is_bounded(self) -> None:
        """Events over the limit are counted."""
        events = [records.CallSent(number, 't') for number in range(70)]
        record = _record('d1.1.ef', *events)
        self.assertEqual(len(record.events), trails.MAX_EVENTS)
        self.assertEqual(record.dropped_events, 70 - trails.MAX_EVENTS)


class BufferTest(unittest.TestCase):
    """Batches and drops."""

    def test_a_batch_is_found_from_the_request_id(self) -> None:
        """Records of one minute share an object; sent again it is the same."""
        buffer = EvidenceBuffer('s1', BufferLimits())
        for request_id in ('d1.a.1', 'd1.b.2', 'd1.a.3'):
            buffer.add(_record(request_id, _matched()))
        batch = buffer.next_batch()
        self.assertEqual(buffer.next_batch(), batch)
        place = names.RequestLocation.from_request_id('d1.a.3')
        self.assertTrue(batch.name.startswith(place.prefix))
        held = records.decode_batch(batch.body)
        self.assertEqual(
            [record.request_id for record in held],
            ['d1.a.1', 'd1.a.3'],
        )
        buffer.mark_stored()
        other = buffer.next_batch()
        self.assertNotEqual(other.name, batch.name)
        buffer.mark_stored()
        self.assertIsNone(buffer.next_batch())
        self.assertEqual((len(buffer), buffer.buffered_bytes), (0, 0))
        self.assertIsNone(names.RequestLocation.from_request_id('nonsense'))

    def test_non_repeatable_calls_are_dropped_last(self) -> None:
        """What is dropped is counted by kind, the least important first."""
        precious = _record('d1.a.1', _matched(is_repeatable=False))
        common = _record('d1.a.2', _matched())
        size_bytes = len(records.encode_record(precious))
        buffer = EvidenceBuffer('s1', BufferLimits(max_bytes=3 * size_bytes))
        buffer.add(precious)
        for _ in range(5):
            buffer.add(common)
        buffer.add(precious)
        buffer.add(precious)
        kept = []
        while (batch := buffer.next_batch()) is not None:
            kept.extend(records.decode_batch(batch.body))
            buffer.mark_stored()
        self.assertEqual(kept, [precious] * 3)
        self.assertEqual(
            buffer.dropped,
            {records.RecordKind.REPEATABLE: 5},
        )
        for _ in range(4):
            buffer.add(precious)
        self.assertEqual(buffer.dropped[records.RecordKind.NON_REPEATABLE], 1)
