"""The daemons of a zone that read the store for it are cut off from it."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))
import rig

# 15 in each of three zones.
_DAEMONS = 45
_ZONES = ('z-a', 'z-b', 'z-c')
# At most 3 of 45 are cut off, 7 in 100.
_MOST_CUT = 3
_READER_BYTES = 1_000
_CUT_S = 5.5
_CHANGE_AFTER_S = 0.1
_APPLY_S = 2.0
_PAUSE_S = 0.35
_REVOKED = 'key-2'


def tables(version, keys):
    tenants = [{'name': 'team-1', 'api_keys': keys, 'priority': 1}]
    return rig.configuration(version, tenants=tenants)


async def find_readers(record, daemons, paths):
    """Return the numbers of the daemons of a zone that read the store."""
    before = [path.passed for path in paths]
    await asyncio.sleep(4)
    passed = [
        path.passed - earlier for path, earlier in zip(paths, before, strict=True)
    ]
    readers = [
        number
        for number, daemon in enumerate(daemons)
        if daemon.zone == _ZONES[0] and passed[number] > _READER_BYTES
    ]
    record.say(f'bytes on the paths to the store in 4 s: {passed}')
    if not 0 < len(readers) <= _MOST_CUT:
        raise RuntimeError(f'{len(readers)} daemons of {_ZONES[0]} read the store')
    return readers


async def case(record, folder):
    store = rig.Store()
    address = await store.start()
    paths = [rig.Proxy(address) for _ in range(_DAEMONS)]
    daemons = [
        rig.Daemon(
            record, number, await path.start(), folder,
            _ZONES[number % len(_ZONES)],
        )
        for number, path in enumerate(paths)
    ]
    engines = [rig.Engine(record, store, f'i-{name}') for name in 'abcd']
    sent = {}
    is_over = False

    async def send_all(daemon):
        calls = []
        while not is_over:
            for key in (rig.KEY, _REVOKED):
                name = f'{daemon.name}-{key}-{len(calls) // 2}'
                sent[name] = record.now_s()
                call = rig.call(record, daemon, name, f'/sends/{name}', Key=key)
                calls.append(asyncio.create_task(call))
            await asyncio.sleep(_PAUSE_S)
        await asyncio.gather(*calls)

    try:
        store.put_json('op', 'config', tables(1, [rig.KEY, _REVOKED]))
        for engine in engines:
            engine.slots = 48
            await engine.join()
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            await daemon.until_ready()
        await asyncio.sleep(8)
        cut = await find_readers(record, daemons, paths)
        # All requests go to daemons that stay in touch with the store.
        sending = [
            asyncio.create_task(send_all(daemon))
            for number, daemon in enumerate(daemons)
            if number not in cut
        ]
        await asyncio.sleep(2)
        for number in cut if rig.is_troubled() else ():
            paths[number].cut()
            record.say(f'the path of {daemons[number].name} to the store is cut')
        await asyncio.sleep(_CHANGE_AFTER_S)
        store.put_json('op', 'config', tables(2, [rig.KEY]))
        accepted_s = record.now_s()
        record.say(f'the store accepts version 2, without {_REVOKED}')
        engines[0].drain()
        await asyncio.sleep(_CUT_S - _CHANGE_AFTER_S)
        for number in cut if rig.is_troubled() else ():
            paths[number].heal()
            record.say(f'the path of {daemons[number].name} works again')
        await asyncio.sleep(0.5)
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
    return judge(record, engines, sent, accepted_s)


def judge(record, engines, sent, accepted_s):
    """Check that the revoked key is refused in time, by daemons in touch."""
    ran = {name for engine in engines for name in engine.ran}
    late = sorted(
        (round(sent[name] - accepted_s, 2), name)
        for name in ran
        if _REVOKED in name and sent[name] > accepted_s + _APPLY_S
    )
    record.say(
        f'CONFIG: {len(late)} requests ran that were sent with {_REVOKED} later'
        f' than {_APPLY_S:.0f} s after the acknowledgement: {late}'
    )
    drained = [
        round(at_s - accepted_s, 2)
        for _, at_s in engines[0].arrived
        if at_s > accepted_s + rig.DRAIN_S
    ]
    record.say(
        f'also seen, not judged: {len(drained)} requests reached the leaving'
        f' {engines[0].name} later than {rig.DRAIN_S:.0f} s: {drained}'
    )
    return not late


if __name__ == '__main__':
    rig.main(case, pathlib.Path(__file__).parent)
