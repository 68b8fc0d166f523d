"""Tests of the writer of server-sent events."""

from __future__ import annotations

import asyncio
import unittest

from nutmegspoke import outcomes
from nutmegspoke.border.answers import StreamWriter
from nutmegspoke.border.completions import CompletionCall
from nutmegspoke.border.drafts import DraftToken

_CALL = CompletionCall('m', 'p', 2, None, is_streamed=True, is_chat=False)


class _FakeCaller:
    """Connection of a caller that reads a limited number of events."""

    def __init__(self, max_events: int = 100) -> None:
        self.sent: list[bytes] = []
        self.is_ended = False
        self.is_aborted = False
        self.transport = self
        self._max_events = max_events

    async def respond(self, **head: object) -> _FakeCaller:
        return self

    async def send(self, event: bytes) -> None:
        if len(self.sent) >= self._max_events:
            await asyncio.Event().wait()
        self.sent.append(event)

    async def eof(self) -> None:
        self.is_ended = True

    def abort(self) -> None:
        self.is_aborted = True


async def _stream(closed: list[bool], tokens: int):
    try:
        for number in range(tokens):
            yield DraftToken(number, 'a ', f'id{number}')
        yield outcomes.Completed(status=200)
    finally:
        closed.append(True)


class StreamWriterTest(unittest.IsolatedAsyncioTestCase):
    """Tests of how streams end."""

    async def test_a_resume_after_the_last_token_gets_its_end(self) -> None:
        """A resume after the last token gets the event that ends the stream."""
        caller = _FakeCaller()
        writer = StreamWriter(caller, _CALL, 'r1', 1.0)
        outcome = await writer.write(_stream([], tokens=0))
        self.assertIsInstance(outcome, outcomes.Completed)
        self.assertTrue(writer.has_begun)
        self.assertEqual(caller.sent, [b'data: [DONE]\n\n'])
        self.assertTrue(caller.is_ended)

    async def test_a_caller_that_does_not_read_is_cut_off(self) -> None:
        """A caller that does not read is disconnected; the outcome is unknown."""
        caller = _FakeCaller(max_events=1)
        closed: list[bool] = []
        writer = StreamWriter(caller, _CALL, 'r1', 0.01)
        outcome = await writer.write(_stream(closed, tokens=2))
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertTrue(caller.is_aborted)
        self.assertEqual(closed, [True])
