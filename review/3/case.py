"""Engines leave as a reader reaches the store again, after a failure of the store."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))
import rig

# Where there are more than a dozen, six of them read the list of engines for all.
_DAEMONS = 30
_ZONES = ('z-a', 'z-b', 'z-c')
_DOWN_S = 8.0
_CALM_S = 6.0
_CUT_S = 5.5
# A quarter of the engines leave, one after the other.
_ENGINES = 20
_LEAVING = 5
_LEAVE_GAP_S = 0.35
# Time for which an engine serves after its entry is removed.
_SERVES_ON_S = 8.0
_PAUSE_S = 0.15


class BusyStore(rig.Store):
    """A store that answers 503, and does nothing, while it is busy."""

    is_busy = False

    async def answer(self, method, target, headers, body, reader, writer):
        if self.is_busy:
            writer.write(rig.encode(503, {'Store-Era': '1'}, b''))
            await writer.drain()
            return True
        return await super().answer(
            method, target, headers, body, reader, writer
        )


async def find_reader(record, paths):
    """Return the number of a daemon that reads the list of engines.

    Of the daemons that read much, it is the one that reads least: the leader
    also writes.
    """
    before = [path.passed for path in paths]
    await asyncio.sleep(4)
    passed = [
        path.passed - earlier for path, earlier in zip(paths, before, strict=True)
    ]
    record.say(f'bytes on the paths to the store in 4 s: {passed}')
    much = max(passed) / 3
    return min((count, n) for n, count in enumerate(passed) if count > much)[1]


async def case(record, folder):
    store = BusyStore()
    address = await store.start()
    paths = [rig.Proxy(address) for _ in range(_DAEMONS)]
    daemons = [
        rig.Daemon(
            record, number, await path.start(), folder,
            _ZONES[number % len(_ZONES)],
        )
        for number, path in enumerate(paths)
    ]
    engines = [
        rig.Engine(record, store, f'i-{number}', _ZONES[number % len(_ZONES)])
        for number in range(_ENGINES)
    ]
    leaving = engines[:_LEAVING]
    sent = {}
    replies = {}
    removed_s = {}
    exits = []
    is_over = False

    async def send_all(daemon):
        calls = []
        while not is_over:
            name = f'{daemon.name}-send-{len(calls)}'
            sent[name] = record.now_s()
            call = rig.call(record, daemon, name, f'/sends/{name}')
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(_PAUSE_S)
        for reply in await asyncio.gather(*calls):
            replies[reply.name] = reply

    async def exit_later(engine):
        await asyncio.sleep(_SERVES_ON_S)
        record.say(f'engine {engine.name} exits; {engine.active} requests ran')
        engine.stop()

    try:
        store.put_json('op', 'config', rig.configuration())
        for engine in engines:
            engine.slots = 24
            await engine.join()
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            await daemon.until_ready()
        await asyncio.sleep(6)
        if rig.is_troubled():
            store.is_busy = True
            record.say('the store is down: it answers 503')
        await asyncio.sleep(_DOWN_S)
        store.is_busy = False
        record.say('the store is sound')
        await asyncio.sleep(_CALM_S)
        cut = await find_reader(record, paths)
        # All requests go to daemons that are never cut off.
        sending = [
            asyncio.create_task(send_all(daemon))
            for number, daemon in enumerate(daemons)
            if number != cut
        ]
        if rig.is_troubled():
            paths[cut].cut()
            record.say(f'the path of {daemons[cut].name} to the store is cut')
        await asyncio.sleep(_CUT_S)
        if rig.is_troubled():
            paths[cut].heal()
            record.say(f'the path of {daemons[cut].name} works again')
        for engine in leaving:
            await asyncio.sleep(_LEAVE_GAP_S)
            engine.retire()
            removed_s[engine.name] = record.now_s()
            exits.append(asyncio.create_task(exit_later(engine)))
        await asyncio.gather(*exits)
        await asyncio.sleep(1)
        is_over = True
        await asyncio.gather(*sending)
    finally:
        for daemon in daemons:
            await daemon.end()
        for path in paths:
            path.stop()
        store.stop()
        for engine in engines:
            engine.stop()
    return judge(record, leaving, sent, replies, removed_s)


def judge(record, leaving, sent, replies, removed_s):
    """Check that daemons that were not cut off stop using the engines."""
    late = {}
    for engine in leaving:
        for name, _ in engine.arrived:
            after_s = sent[name] - removed_s[engine.name]
            if after_s > rig.DRAIN_S:
                daemon = name.partition('-send')[0]
                late.setdefault(daemon, []).append((after_s, name))
    count = sum(len(found) for found in late.values())
    record.say(
        f'DRAIN: {count} requests that were sent more than {rig.DRAIN_S:.0f} s'
        ' after the entry was removed reached such an engine'
    )
    for daemon, found in sorted(late.items()):
        statuses = sorted({replies[name].status for _, name in found})
        record.say(
            f'{daemon}: {len(found)}, the last sent {max(found)[0]:.2f} s after'
            f' the removal; statuses {statuses}'
        )
    return not late


if __name__ == '__main__':
    rig.main(case, pathlib.Path(__file__).parent)
