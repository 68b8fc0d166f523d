"""A client resumes a stream of a service that is no model."""

from __future__ import annotations

import asyncio
import pathlib
import re
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'part2lib'))

import harness  # noqa: E402

SERVICE = 'wuno96b'
EVENTS = 20
EVENT_PAUSE_S = 0.02
STREAMS = 8
ROUTE = {
    'name': 'r-stream',
    'host': harness.HOST_NAME,
    'prefix': '/lohu930/',
    'route_kind': 'streaming',
    'timeout_ms': 20000,
    'goal_ms': 500,
    'priority': 1,
    'service': SERVICE,
    'max_attempts': 2,
    'public': False,
    'sticky': False,
    'resumable': True,
    'gap_goal_ms': 200,
}


class Streamer(harness.Target):
    """Server that streams numbered events and resumes after Last-Event-Id."""

    async def run(self, method, target, headers, body, reader, writer):
        request = headers.get('attempt-id', '')
        after = headers.get('last-event-id')
        self.record.line(
            f'{self.name}: runs {request}, Last-Event-Id {after or "absent"}'
        )
        lines = ['HTTP/1.1 200 OK']
        own = self.own_headers(headers)
        own['Response-Seal'] = self.seal(headers)
        own['Content-Type'] = 'text/event-stream'
        own['Transfer-Encoding'] = 'chunked'
        lines.extend(f'{name}: {text}' for name, text in own.items())
        writer.write('\r\n'.join((*lines, '', '')).encode())
        for number in range(int(after or 0) + 1, EVENTS + 1):
            event = b'id: %d\ndata: piece %d\n\n' % (number, number)
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


def pieces(body: bytes) -> list[int]:
    """Return the numbers of the complete events."""
    whole = body[: body.rfind(b'\n\n') + 2]
    return [int(text) for text in re.findall(rb'id: (\d+)\n', whole)]


async def case(record, scratch, trouble):
    store = harness.Store(record)
    await store.start()
    servers = [
        Streamer(name, SERVICE, store, record) for name in ('i-one', 'i-two')
    ]
    for server in servers:
        await server.start()
    await store.put(
        'op',
        'config',
        harness.configuration([ROUTE], [harness.plain_service(SERVICE)]),
    )
    daemons = [
        harness.Daemon(f'front-pnw-a-{number}', store.address, scratch)
        for number in (1, 2)
    ]
    for daemon in daemons:
        daemon.start()
    held = True
    try:
        for daemon in daemons:
            await daemon.until_ready()
        for stream in range(STREAMS):
            got: list[int] = []
            headers = {'Deadline-Ms': '20000', 'Key': harness.KEY}
            for attempt, daemon in enumerate(daemons):
                request = f'q{stream:03d}{attempt}'
                is_first = attempt == 0
                answer = await harness.send(
                    daemon.address,
                    'POST',
                    '/lohu930/2f',
                    {**headers, 'Attempt-Id': request},
                    b'draft',
                    stop_after=150 if trouble and is_first else None,
                )
                received = pieces(answer.body)
                got.extend(received)
                record.line(
                    f'client: {request} at {daemon.name}, Last-Event-Id '
                    f'{headers.get("Last-Event-Id", "absent")}: '
                    f'{answer.status}, pieces {received}, '
                    f'{"whole" if answer.is_whole else "connection reset"}'
                )
                if answer.is_whole:
                    break
                assert received, 'the connection broke before any piece'
                headers['Last-Event-Id'] = str(received[-1])
            if got != list(range(1, EVENTS + 1)):
                record.line(f'stream {stream}: the client has {got}')
                held = False
        return held
    finally:
        for daemon in daemons:
            daemon.end()
        for server in servers:
            server.stop()
        store.stop()


harness.run_case(case, FOLDER)
