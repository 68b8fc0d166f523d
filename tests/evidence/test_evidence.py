"""Tests of evidence: trails, buffer, object names and text."""

from __future__ import annotations

import unittest

from nutmegspoke import outcomes
from nutmegspoke.evidence import names, records, trails
from nutmegspoke.evidence.buffer import BufferLimits, EvidenceBuffer
from nutmegspoke.evidence.story import describe_change, describe_request
from nutmegspoke.tables.changes import ChangeRecord


def _build_matched(*, is_repeatable: bool = True) -> records.Matched:
    return records.Matched('drafts', 'engines', 'desk', 7, is_repeatable)


def _build_record(
    request_id: str,
    *events: records.Event,
    outcome: outcomes.Outcome | None = None,
    status: int = 200,
) -> records.RequestRecord:
    open_trails = trails.Trails('d1')
    open_trails.begin(request_id, 100.0, 60.0)
    for number, event in enumerate(events):
        open_trails.add_event(request_id, event, 100.5 + number)
    return open_trails.end(
        request_id, outcome or outcomes.Completed(200), status, 109
    )


class StoryTest(unittest.TestCase):
    """Tests of the text of a record."""

    def test_a_draft_whose_stage_died(self) -> None:
        """The text shows both attempts, the loss and the receipts."""
        record = _build_record(
            'd1.1.ab',
            _build_matched(),
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
        """The text says that the outcome is unknown and names the claim."""
        record = _build_record(
            'd1.1.cd',
            _build_matched(is_repeatable=False),
            records.ClaimStep('inserted', 'claim/x', 'n1'),
            records.CallSent(1, 's1'),
            outcome=outcomes.Unknown(
                outcomes.UnknownReason.ANSWER_LOST,
                retry_after_s=2.0,
            ),
            status=502,
        )
        self.assertIs(record.kind, records.RecordKind.NON_REPEATABLE)
        text = describe_request(record)
        self.assertIn('it may not be repeated', text)
        self.assertIn('claim inserted: claim/x, nonce n1', text)
        self.assertTrue(
            text.endswith(
                'caller told: it is not known whether it ran, '
                'reason answer_lost, status 502, come back after 2.0 s',
            ),
        )

    def test_a_change(self) -> None:
        """The text names the operator and the daemons that adopted it."""
        change = ChangeRecord(8, 'c1', 'ann', 60.0, 7, ())
        adoption = records.AdoptionRecord('d1', 8, 7, 'peer', 61.0)
        text = describe_change(change, (), (adoption,))
        self.assertIn('made by ann at 1970-01-01T00:01:00.000+00:00', text)
        self.assertIn('in force at d1 after about 1.0 s, by peer', text)
        self.assertIn('no daemon', describe_change(change, (), ()))

    def test_a_caller_who_hung_up(self) -> None:
        """Abandoning a request yields a single record that says so."""
        open_trails = trails.Trails('d1')
        open_trails.begin('d1.1.gh', 100.0, 60.0)
        record = open_trails.abandon('d1.1.gh', 101.0)
        self.assertIn('hung up before it was told', describe_request(record))
        self.assertIsNone(open_trails.abandon('d1.1.gh', 102.0))
        self.assertEqual(len(open_trails), 0)

    def test_a_long_trail_is_bounded(self) -> None:
        """Events over the limit are dropped and counted."""
        events = [records.CallSent(number, 't') for number in range(70)]
        record = _build_record('d1.1.ef', *events)
        self.assertEqual(len(record.events), trails.MAX_EVENTS)
        self.assertEqual(record.dropped_events, 70 - trails.MAX_EVENTS)


class BufferTest(unittest.TestCase):
    """Tests of batches and of dropped records."""

    def test_a_batch_is_found_from_the_request_id(self) -> None:
        """Records of one minute share an object; a retry is identical."""
        buffer = EvidenceBuffer('s1', BufferLimits())
        for request_id in ('d1.a.1', 'd1.b.2', 'd1.a.3'):
            buffer.add(_build_record(request_id, _build_matched()))
        batch = buffer.next_batch()
        self.assertEqual(buffer.next_batch(), batch)
        location = names.RequestLocation.from_request_id('d1.a.3')
        self.assertTrue(batch.name.startswith(location.prefix))
        stored = records.decode_batch(batch.body)
        self.assertEqual(
            [record.request_id for record in stored],
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
        """Drops are counted by kind; the least important go first."""
        non_repeatable = _build_record(
            'd1.a.1', _build_matched(is_repeatable=False)
        )
        repeatable = _build_record('d1.a.2', _build_matched())
        size_bytes = len(records.encode_record(non_repeatable))
        buffer = EvidenceBuffer('s1', BufferLimits(max_bytes=3 * size_bytes))
        buffer.add(non_repeatable)
        for _ in range(5):
            buffer.add(repeatable)
        buffer.add(non_repeatable)
        buffer.add(non_repeatable)
        stored = []
        while (batch := buffer.next_batch()) is not None:
            stored.extend(records.decode_batch(batch.body))
            buffer.mark_stored()
        self.assertEqual(stored, [non_repeatable] * 3)
        self.assertEqual(
            buffer.dropped,
            {records.RecordKind.REPEATABLE: 5},
        )
        for _ in range(4):
            buffer.add(non_repeatable)
        self.assertEqual(buffer.dropped[records.RecordKind.NON_REPEATABLE], 1)
