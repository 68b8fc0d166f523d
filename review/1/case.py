"""An engine crashes in the middle of streams whose event ids have 19 digits."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))
import rig
import streams

# Ids like nanoseconds since 1970, which fit into 64 bits.
_FIRST_ID = int(os.environ.get('FIRST_ID', 1_764_000_000_000_000_000))
_STREAMS = 60
_PAUSE_S = 0.05


async def case(record, folder):
    store = rig.Store()
    daemon = rig.Daemon(record, 1, await store.start(), folder)
    engines = [
        streams.StreamEngine(record, store, f'i-{name}', _FIRST_ID)
        for name in 'abcdef'
    ]
    tasks = []
    try:
        store.put_json(
            'op',
            'config',
            rig.configuration(
                routes=[streams.route('recaps', '/recaps/', is_resumable=True)],
                services=[streams.service()],
            ),
        )
        for engine in engines:
            await engine.join()
        await daemon.start()
        await daemon.until_ready()
        await asyncio.sleep(3.5)
        for number in range(_STREAMS):
            name = f'recap-{number}'
            tasks.append(
                asyncio.create_task(
                    streams.call(record, daemon, name, f'/recaps/{number}')
                )
            )
            await asyncio.sleep(_PAUSE_S)
            if number == _STREAMS // 2 and rig.is_troubled():
                max(engines, key=lambda engine: engine.active).crash()
        replies = await asyncio.gather(*tasks)
    finally:
        await daemon.end()
        store.stop()
        for engine in engines:
            engine.stop()
    broken = 0
    for reply in replies:
        whole = engines[0].whole(reply.name)
        is_sound = whole == reply.body if reply.is_whole else (
            whole.startswith(reply.body)
        )
        if reply.status == 200 and not is_sound:
            broken += 1
            pieces = [
                line
                for line in reply.body.decode().split('\n')
                if line.startswith('data:')
            ]
            twice = len(pieces) - len(set(pieces))
            record.say(f'ORDER: {reply.name} has {twice} pieces twice')
    statuses = sorted({reply.status for reply in replies})
    record.say(f'{broken} of {len(replies)} streams broken, statuses {statuses}')
    return not broken


if __name__ == '__main__':
    rig.main(case, pathlib.Path(__file__).parent)
