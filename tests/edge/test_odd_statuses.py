"""Tests of answers whose status is none of HTTP."""

from __future__ import annotations

import unittest

from nutmegspoke.edge.answer_reader import (
    AnswerEnd,
    AnswerEvent,
    AnswerHead,
    AnswerReader,
)
from nutmegspoke.retries.target_faults import TargetFaults
from tests.edge.test_daemon import DaemonCase

# Not those from 100 to 199: they announce another answer.
_ODD = (0, 7, 99, 600, 999)


class OddStatusesTest(DaemonCase):
    """An answer with an odd status does not reach the caller."""

    async def test_calls(self) -> None:
        """Guards against status 000 that a caller gets as an answer."""
        target = await self.deployment.add_service('r1')
        for status in _ODD:
            target.faults.failures = 1
            target.faults.failure_status = status
            with self.subTest(status=status):
                answer = await self.deployment.call('/calls/1')
                self.assertEqual((answer.status, answer.body), (502, b''))
                self.assertNotIn('Response-Seal', answer.headers)
                answer = await self.deployment.call('/calls/1')
                self.assertEqual(answer.status, 200)
        # A call that may have run is not sent again.
        self.assertEqual(len(target.caller_requests()), 2 * len(_ODD))

    async def test_drafts(self) -> None:
        """Guards against status 000 in place of a stream."""
        await self._start_chain()
        engine = self.deployment.targets['x1']
        for status in _ODD:
            engine.faults.failures = 9
            engine.faults.failure_status = status
            # The engine's faults must not keep the next draft from it.
            self.deployment.daemon.view.faults = TargetFaults()
            received = len(engine.caller_requests())
            with self.subTest(status=status):
                answer = await self.deployment.call('/drafts/1')
                self.assertGreater(len(engine.caller_requests()), received)
                self.assertIn(answer.status, (502, 504))
                self.assertNotIn('Response-Seal', answer.headers)


class OddHeadsTest(unittest.TestCase):
    """A head with an odd status is no answer."""

    def setUp(self) -> None:
        """Expect the answer to request 1."""
        self.events: list[AnswerEvent] = []
        self.reader = AnswerReader(self.events.append)
        self.reader.expect(lambda headers: (b'Attempt-Id', b'1') in headers)

    def test_a_refusal(self) -> None:
        """Guards against a promise that a request has not run."""
        for status in _ODD:
            self.setUp()
            fault = self.reader.feed(_answer(status, b'Not-Executed: 1\r\n'))
            self.assertEqual(fault, f'invalid status {status}')
            self.assertEqual(self.events, [])
            self.assertFalse(self.reader.keep_alive)

    def test_the_statuses_of_http(self) -> None:
        """Statuses from 200 to 599 are answers."""
        for status in (200, 299, 418, 503, 599):
            self.setUp()
            self.assertEqual(self.reader.feed(_answer(status)), '')
            head, *_, end = self.events
            self.assertIsInstance(head, AnswerHead)
            self.assertIsInstance(end, AnswerEnd)

    def test_an_odd_answer_to_another_request_is_skipped(self) -> None:
        """Guards against an answer that is lost for a late one before it."""
        late = _answer(0).replace(b'Attempt-Id: 1', b'Attempt-Id: 0')
        self.assertEqual(self.reader.feed(late + _answer(200)), '')
        (head, *_) = self.events
        self.assertEqual(getattr(head, 'status', None), 200)


def _answer(status: int, headers: bytes = b'') -> bytes:
    head = b'HTTP/1.1 %03d X\r\nAttempt-Id: 1\r\n%s' % (status, headers)
    return head + b'Content-Length: 2\r\n\r\nno'
