"""Tests of targets that send bytes without end that are no answer."""

from __future__ import annotations

import asyncio
import json
import tracemalloc
import unittest

from nutmegspoke.admission.answer_memory import AnswerMemory
from nutmegspoke.edge.answer_reader import (
    AnswerEvent,
    AnswerHead,
    AnswerPart,
    AnswerReader,
)
from tests import builders_edge as build
from tests.builders_endless import (
    ENDLESS_ANSWERS,
    ENDLESS_CALL_ANSWERS,
    EndlessAnswer,
    EndlessTarget,
)
from tests.edge.stream_loop_case import StreamLoopCase
from tests.edge.test_daemon import DaemonCase
from tests.edge.world import WAIT_S, CallResult

_PIECE_BYTES = 65_536
_CALLS = 40
# Well above the limits of the reader.
_MAX_FED_BYTES = 33_554_432


def _feed_until_fault(reader: AnswerReader, answer: EndlessAnswer) -> int:
    """Return how many bytes a reader takes before it reports a fault."""
    fed_bytes = len(answer.start)
    fault = reader.feed(answer.start)
    repeated = answer.repeated * (_PIECE_BYTES // len(answer.repeated))
    while not fault and fed_bytes < _MAX_FED_BYTES:
        fed_bytes += len(repeated)
        fault = reader.feed(repeated)
    return fed_bytes


class EndlessAnswerTest(unittest.TestCase):
    """The reader stops at bytes without end."""

    def setUp(self) -> None:
        """Expect the answer to a request with an id."""
        self.events: list[AnswerEvent] = []
        self.reader = AnswerReader(self.events.append)
        self.reader.expect(lambda headers: (b'Id', b'1') in headers)

    def test_bytes_without_end(self) -> None:
        """Guards against memory and time spent on bytes without end."""
        for name, answer in ENDLESS_ANSWERS.items():
            with self.subTest(name):
                self.setUp()
                fed_bytes = _feed_until_fault(self.reader, answer)
                self.assertLess(fed_bytes, _MAX_FED_BYTES)
                self.assertFalse(self.reader.keep_alive)

    def test_many_headers(self) -> None:
        """Guards against short headers that take many times their bytes.

        Four hundred heads of 64 KB took 500 MB.
        """
        for name in ('headers', 'trailers'):
            with self.subTest(name):
                self.setUp()
                answer = ENDLESS_ANSWERS[name]
                self.reader.feed(answer.start)
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                fault = self.reader.feed(answer.repeated * 2_000)
                held_bytes, _ = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertEqual(fault, 'too many headers')
                self.assertLess(held_bytes, _PIECE_BYTES)

    def test_an_answer_with_many_headers(self) -> None:
        """Guards against a limit that true answers reach."""
        headers = b'A: b\r\n' * 200
        head = b'HTTP/1.1 200 OK\r\nId: 1\r\n' + headers
        self.assertEqual(
            self.reader.feed(head + b'Content-Length: 0\r\n\r\n'), ''
        )
        self.assertFalse(self.reader.is_expecting)

    def test_a_long_answer(self) -> None:
        """Guards against a limit on answers instead of on other bytes."""
        head = b'HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n'
        self.assertEqual(self.reader.feed(head), '')
        chunks = b'4\r\nbody\r\n' * (_PIECE_BYTES // 9)
        for _ in range(_MAX_FED_BYTES // _PIECE_BYTES):
            self.assertEqual(self.reader.feed(chunks), '')
            self.events.clear()
        self.assertEqual(self.reader.feed(b'0\r\n\r\n'), '')
        self.assertTrue(self.reader.keep_alive)

    def test_small_chunks_are_joined(self) -> None:
        """Guards against an event for each of many tiny chunks.

        The cost of an event grows with the part of the body that is buffered.
        """
        self.reader.feed(
            b'HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n'
            + b'1\r\nx\r\n' * 1_000
        )
        head, part = self.events
        self.assertIsInstance(head, AnswerHead)
        self.assertEqual(part, AnswerPart(b'x' * 1_000))

    def test_trailers_are_no_headers(self) -> None:
        """Guards against trailers that are returned to the caller as headers."""
        self.reader.feed(
            b'HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'0\r\nA: b\r\n\r\n'
        )
        head = self.events[0]
        assert isinstance(head, AnswerHead)
        names = [name for name, _ in head.headers]
        self.assertEqual(names, [b'Id', b'Transfer-Encoding'])
        self.assertFalse(self.reader.is_expecting)


class EndlessTargetTest(DaemonCase):
    """A call to a target that sends bytes without end."""

    async def test_calls_are_answered(self) -> None:
        """Guards against calls that wait for the end of such bytes in vain.

        The calls have much time, so that only a limit on bytes ends them.
        """
        await self._serve_long_calls()
        target = EndlessTarget()
        server = await target.start()
        self.addCleanup(server.close)
        await self.deployment.list_target(
            'r1', target.address, service='records', layers=None
        )
        for name, answer in ENDLESS_CALL_ANSWERS.items():
            with self.subTest(name):
                target.answer = answer
                target.has_ended.clear()
                result = await self.deployment.call(
                    '/calls/1', **{'Deadline-Ms': '60000'}
                )
                self.assertEqual(result.status, 502)
                async with asyncio.timeout(WAIT_S):
                    await target.has_ended.wait()

    async def test_many_at_once(self) -> None:
        """Guards against a daemon that runs out of memory with all its calls.

        Each answer was bounded; a hundred together took twice its memory.
        """
        await self._serve_long_calls()
        target = EndlessTarget()
        server = await target.start()
        self.addCleanup(server.close)
        await self.deployment.list_target(
            'r1', target.address, service='records', layers=None
        )
        await self.deployment.add_service('r2')
        memory = self._answer_memory()
        for name in ('body', 'chunks', 'long body'):
            with self.subTest(name):
                target.answer = ENDLESS_CALL_ANSWERS[name]
                calls = [
                    asyncio.create_task(self._call_slowly(number))
                    for number in range(_CALLS)
                ]
                peak_bytes = await self._measure_peak(calls)
                statuses = {(await call).status for call in calls}
                self.assertLessEqual(statuses, {200, 502})
                self.assertIn(200, statuses)
                limit_bytes = self.deployment.host.limits.memory_bytes
                self.assertLess(peak_bytes, limit_bytes / 2)
                self.assertEqual(memory.held_bytes, 0)

    def _answer_memory(self) -> AnswerMemory:
        daemon = self.deployment.daemon
        return daemon._connections.answer_memory  # noqa: SLF001

    async def _call_slowly(self, number: int) -> CallResult:
        """Send a call that may run once, with much time."""
        return await self.deployment.call(
            f'/calls/{number}', **{'Deadline-Ms': '60000'}
        )

    async def _measure_peak(self, calls: list[asyncio.Task[CallResult]]) -> int:
        """Return the most bytes that are held until all calls have ended."""
        memory = self._answer_memory()
        peak_bytes = 0
        async with asyncio.timeout(WAIT_S):
            while not all(call.done() for call in calls):
                peak_bytes = max(peak_bytes, memory.held_bytes)
                await asyncio.sleep(0)
        return peak_bytes

    async def _serve_long_calls(self) -> None:
        document = json.loads(build.wire_configuration())
        for route in document['routes']:
            route['timeout_ms'] = 60_000
        await self.deployment.serve_tables(version=8, routes=document['routes'])


class StreamLoopEndlessTargetTest(StreamLoopCase, EndlessTargetTest):
    """The tests of endless targets on the event loop of the daemon."""
