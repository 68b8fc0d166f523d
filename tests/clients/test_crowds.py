"""Tests of crowds of clients that stay outside the limits.

Each crowd is small, and the limits in the settings are low. Nothing here
depends on the speed of the machine.
"""

from __future__ import annotations

import unittest

from tests.clients import system
from tests.clients.crowd import Crowd, Flood

_CROWD = 40
_MEGABYTE = 1_000_000
_KILOBYTE = 1_000
_CALL = '/calls/1'
_DRAFT = '/drafts/1'
_LARGE = '/calls/large'
_LENGTH = 'Content-Length: {0}'
_CHUNKED = system.request_head(_CALL, 'Transfer-Encoding: chunked') + b'\r\n'
_LARGE_CHUNK = b'10000\r\n%s\r\n' % bytes(65_536)
_SMALL_CHUNK = b'2\r\nab\r\n'
# Chunks that together stay just below the limit on bodies.
_LARGE_CHUNKS = system.MAX_BODY_BYTES // 65_536 - 1
_PIPELINED_BYTES = 250_000


class CrowdTest(unittest.IsolatedAsyncioTestCase):
    """The entry host lives, keeps to its limits and serves ordinary callers."""

    async def asyncSetUp(self) -> None:
        """Start a store, targets and an entry host with low limits."""
        self.system = system.System()
        self.addAsyncCleanup(self.system.stop)
        await self.system.start()
        self.crowd = Crowd((self.system.ip, self.system.port))
        self.addCleanup(self.crowd.leave)
        self.before = self.system.usage()

    async def test_requests_within_the_limits_in_calm(self) -> None:
        """Guards against limits that ordinary callers meet."""
        body = bytes(system.MAX_BODY_BYTES)
        for path in (_CALL, _DRAFT):
            self.assertEqual(await self.system.ask(path, body), 200)
        self.assertEqual(await self.system.ask(_LARGE), 200)
        await self._check_bounds()

    async def test_heads_over_the_limit(self) -> None:
        """Guards against memory taken by whole heads over the limit."""
        start = system.request_head(_CALL, 'A: ')[:-2]
        await self._check(
            Flood(start, b'x' * _KILOBYTE, 4 * _KILOBYTE, b'\r\n\r\n')
        )

    async def test_heads_without_end(self) -> None:
        """Guards against memory taken by ever more headers."""
        line = b'A: %s\r\n' % (b'x' * _KILOBYTE)
        await self._check(
            Flood(system.request_head(_CALL), line, 4 * _KILOBYTE)
        )

    async def test_a_header_line_without_end(self) -> None:
        """Guards against a line that is collected before it is counted."""
        start = system.request_head(_CALL) + b'A: '
        await self._check(Flood(start, b'x' * _KILOBYTE, 4 * _KILOBYTE))

    async def test_a_header_name_without_end(self) -> None:
        """Guards against a name that is collected before it is counted."""
        start = system.request_head(_CALL)
        await self._check(Flood(start, b'x' * _KILOBYTE, 4 * _KILOBYTE))

    async def test_very_many_headers(self) -> None:
        """Guards against memory taken by each header beside its bytes."""
        start = system.request_head(_CALL)
        await self._check(Flood(start, b'A:\r\n', _MEGABYTE))

    async def test_empty_lines_without_end(self) -> None:
        """Guards against empty lines before a request that nobody counts."""
        await self._check(Flood(b'', b'\r\n', 2 * _MEGABYTE))

    async def test_a_request_line_without_end(self) -> None:
        """Guards against memory taken by the path of a request."""
        await self._check(
            Flood(b'GET /calls/', b'x' * _KILOBYTE, 4 * _KILOBYTE)
        )

    async def test_announced_bodies_far_over_the_limit(self) -> None:
        """Guards against bodies that are held though they are too large."""
        start = system.request_head(_CALL, _LENGTH.format(100 * _MEGABYTE))
        flood = Flood(start + b'\r\n', bytes(_KILOBYTE), 8 * _KILOBYTE)
        await self._check(flood)

    async def test_chunked_bodies_far_over_the_limit(self) -> None:
        """Guards against chunks that are held though they are too many."""
        await self._check(Flood(_CHUNKED, _LARGE_CHUNK, 128))

    async def test_announced_bodies_that_stop_short(self) -> None:
        """Guards against bodies within the limit that together are too much."""
        start = system.request_head(_CALL, _LENGTH.format(4 * _MEGABYTE))
        flood = Flood(
            start + b'\r\n', bytes(_KILOBYTE), 4 * _KILOBYTE - 1, b'x'
        )
        await self._check(flood)

    async def test_whole_bodies_in_large_chunks(self) -> None:
        """Guards against memory taken by many whole requests at once."""
        await self._check(
            Flood(_CHUNKED, _LARGE_CHUNK, _LARGE_CHUNKS, b'0\r\n\r\n')
        )

    async def test_large_chunks_that_stop_short(self) -> None:
        """Guards against chunked bodies that together are too much."""
        await self._check(Flood(_CHUNKED, _LARGE_CHUNK, _LARGE_CHUNKS))

    async def test_small_chunks_that_stop_short(self) -> None:
        """Guards against memory taken by each chunk beside its bytes."""
        await self._check(Flood(_CHUNKED, _SMALL_CHUNK, 80 * _KILOBYTE))

    async def test_chunk_extensions_without_end(self) -> None:
        """Guards against an extension that nobody counts."""
        start = _CHUNKED + b'2;a='
        await self._check(Flood(start, b'x' * _KILOBYTE, 4 * _KILOBYTE))

    async def test_chunk_sizes_without_end(self) -> None:
        """Guards against digits of a size that nobody counts."""
        await self._check(Flood(_CHUNKED, b'0' * _KILOBYTE, 4 * _KILOBYTE))

    async def test_a_trailer_line_without_end(self) -> None:
        """Guards against a trailer that is collected before it is counted."""
        start = _CHUNKED + b'0\r\nA: '
        await self._check(Flood(start, b'x' * _KILOBYTE, 4 * _KILOBYTE))

    async def test_trailers_without_end(self) -> None:
        """Guards against memory taken by ever more trailers."""
        start = _CHUNKED + b'0\r\n'
        line = b'A: %s\r\n' % (b'x' * _KILOBYTE)
        await self._check(Flood(start, line, 4 * _KILOBYTE))

    async def test_pipelines_that_are_not_read(self) -> None:
        """Guards against memory taken by requests that wait in line."""
        head = system.request_head(_LARGE, _LENGTH.format(_PIPELINED_BYTES))
        request = b'%s\r\n%s' % (head, bytes(_PIPELINED_BYTES))
        await self._check(Flood(b'', request, 16))

    async def test_answers_that_are_not_read(self) -> None:
        """Guards against memory taken by answers that nobody reads."""
        head = system.request_head(_LARGE, _LENGTH.format(0)) + b'\r\n'
        await self._check(Flood(b'', head, 8), count=2 * _CROWD)

    async def test_more_silent_connections_than_descriptors(self) -> None:
        """Guards against descriptors taken by connections without requests."""
        await self._check(Flood(), count=system.MAX_DESCRIPTORS)

    async def test_more_begun_requests_than_descriptors(self) -> None:
        """Guards against descriptors taken by requests that don't end."""
        flood = Flood(system.request_head(_CALL))
        await self._check(flood, count=system.MAX_DESCRIPTORS)

    async def test_half_closed_connections(self) -> None:
        """Guards against memory of callers that closed their side."""
        start = system.request_head(_CALL, _LENGTH.format(4 * _MEGABYTE))
        flood = Flood(
            start + b'\r\n',
            bytes(_KILOBYTE),
            4 * _KILOBYTE - 1,
            is_half_closed=True,
        )
        await self._check(flood)

    async def test_half_closed_pipelines(self) -> None:
        """Guards against answers to callers that closed their side."""
        head = system.request_head(_LARGE, _LENGTH.format(0)) + b'\r\n'
        await self._check(Flood(b'', head, 8, is_half_closed=True))

    async def _check(self, flood: Flood, count: int = _CROWD) -> None:
        """Check the bounds while a crowd is there and after it has left."""
        await self.crowd.send(flood, count)
        await self.system.wait_read()
        await self._check_bounds()
        await self._check_service()
        self.crowd.leave()
        self.assertEqual(await self.system.wait_released(self.before), 0)
        await self._check_service()
        body = bytes(system.MAX_BODY_BYTES)
        self.assertEqual(await self.system.ask(_CALL, body), 200)
        await self._check_bounds()

    async def _check_service(self) -> None:
        for path in (_CALL, _DRAFT):
            self.assertEqual(await self.system.ask(path, b'{}'), 200, path)

    async def _check_bounds(self) -> None:
        self.assertIsNone(self.system.process.poll(), self.system.log())
        usage = self.system.usage()
        self.assertLess(usage.peak_bytes, system.MEMORY_BYTES)
        self.assertLess(usage.descriptors, system.MAX_DESCRIPTORS)
