"""Engines of a model, each of which holds all layers, and clients of streams."""

import asyncio
import json

import rig

LAYERS = 80
EVENTS = 50
EVENT_PAUSE_S = 0.04


def service(name='engines'):
    """Return the service of the engines, with the figures of the pages' example."""
    return {
        'name': name,
        'health_path': '/healthz',
        'max_conns': 978,
        'protocol': 'h1',
        'tls': False,
        'engine': {
            'slots': 96,
            'kv_capacity': 50000,
            'kv_bytes': 1836000,
            'link_mbps': 400000.0,
            'stride': 3,
            'models': [
                {'name': 'm', 'pace': 1.0, 'load_s': 14.0, 'warm_s': 1.0}
            ],
            'step_ms': 1.02,
            'per_seq_ms': 0.01428,
            'context_per_k': 0.01912,
            'read_per_s': 105000.0,
            'pairs_per_m': 0.309,
            'chunk': 512,
            'report_lag_ms': 200.0,
            'loads_per_s': 0.0,
            'loads_at_once': 5,
            'delays': [],
            'usual': {'prompt': 774, 'answer': 203},
            'layers': LAYERS,
            'layer_mb': 1750.0,
            'act_bytes': 91800,
            'pipe_mbps': 18000.0,
            'kinds': [
                {
                    'name': 'whole',
                    'size_mb': 172000.0,
                    'pace': 1.0,
                    'read_factor': 1.0,
                }
            ],
        },
    }


def route(name, prefix, *, is_resumable, **more):
    return rig.route(
        name,
        prefix,
        'streaming',
        'engines',
        **{
            'timeout_ms': 20000,
            'goal_ms': 500,
            'max_attempts': 2,
            'sticky': True,
            'resumable': is_resumable,
            'gap_goal_ms': 200,
        }
        | more,
    )


class StreamEngine(rig.Engine):
    """An engine that holds all layers and answers with events.

    :param first_id: id of the event before the first one of each stream.
    """

    def __init__(self, record, store, name, first_id=0, zone='z-a'):
        super().__init__(record, store, name, zone, 'engines')
        self.slots = 96
        self.first_id = first_id
        self.orders = 0
        self.layers = {'from': 0, 'to': LAYERS, 'version': 1}

    def entry(self):
        return super().entry() | {
            'route_kind': 'whole',
            'layers': self.layers,
            'phase': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
        }

    def event(self, name, number):
        """Return an event; it is the same at all engines."""
        identity = self.first_id + number
        return f'id: {identity}\ndata: {name} piece {number}\n\n'.encode()

    def whole(self, name):
        return b''.join(
            self.event(name, number) for number in range(1, EVENTS + 1)
        )

    def crash(self):
        """End at once: no port, no connections, no more heartbeats."""
        self.record.say(f'engine {self.name} crashes; {self.active} streams')
        self._beats.cancel()
        self.stop()

    async def answer(self, method, target, headers, body, reader, writer):
        if target == '/v1/report':
            report = {
                'phase': 'both',
                'route_kind': 'whole',
                'layers': self.layers,
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False,
                'seq_no': self.orders,
                'queued': 0,
                'active': self.active,
                'kv_used': 0,
                'kv_total': 8000000,
                'pace': 1.0,
                'handles': 0,
                'stalled': [],
                'born': self.born,
            }
            content = json.dumps(report).encode()
            kind = {'Content-Type': 'application/json'}
            writer.write(rig.encode(200, kind, content))
            await writer.drain()
            return True
        if target == '/v1/order':
            self.orders += 1
            order = json.loads(body)
            self.record.say(f'order at {self.name}: {order}')
            if order['op'] == 'place':
                self.layers = {
                    'from': order['from'], 'to': order['to'], 'version': 1
                }
            writer.write(rig.encode(202, {}, b''))
            await writer.drain()
            return True
        return await super().answer(
            method, target, headers, body, reader, writer
        )

    async def run(self, name, method, headers, body, reader, writer):
        after = headers.get('last-event-id', '')
        begin = int(after) - self.first_id + 1 if after else 1
        self.ran.append(name)
        self.record.say(f'{name} runs at {self.name}, after event {after or "-"}')
        own = self.own_headers(headers) | {
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
            'Response-Seal': f'seal.{name}.{self.name}',
        }
        head = ['HTTP/1.1 200 OK', *(f'{key}: {own[key]}' for key in own)]
        writer.write('\r\n'.join((*head, '', '')).encode())
        self.active += 1
        try:
            for number in range(begin, EVENTS + 1):
                event = self.event(name, number)
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_PAUSE_S)
        finally:
            self.active -= 1
        self.completed.append(name)
        self.record.say(f'{name} ends at {self.name}')
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


async def call(record, daemon, name, path, deadline_ms=20000, **more):
    """Send a request for a stream as a client, on a new connection."""
    headers = {
        'Host': rig.HOST,
        'Attempt-Id': name,
        'Model': 'm',
        'Token-Counts': f'760,{EVENTS * 3}',
        'Prompt-Prefix': f'5c1e07a2:40,{name.encode().hex()}:720',
        'Deadline-Ms': str(deadline_ms),
        'Key': rig.KEY,
        'Content-Length': '4',
    } | more
    lines = [f'POST {path} HTTP/1.1']
    lines += [f'{key}: {text}' for key, text in headers.items()]
    record.say(f'{name} sent to {daemon.name}, POST {path}')
    reply = rig.Reply(name)
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            reader, writer = await asyncio.open_connection(daemon.ip, daemon.port)
            writer.write('\r\n'.join((*lines, '', 'note')).encode())
            first, reply.headers = await rig.read_head(reader)
            reply.status = int(first.split(' ')[1])
            if 'chunked' in reply.headers.get('transfer-encoding', ''):
                while size := int(await reader.readuntil(b'\r\n'), 16):
                    part = await reader.readexactly(size + 2)
                    reply.body += part[:-2]
            else:
                reply.body = await rig.read_body(reader, reply.headers)
            reply.is_whole = True
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.say(f'{name} client: {error!r}')
    finally:
        if writer is not None:
            writer.close()
    reply.answered_s = record.now_s()
    record.say(
        f'{name} client gets {reply.status}, {reply.body.count(b"data:")} events,'
        f' {"complete" if reply.is_whole else "broken off"}'
    )
    return reply
