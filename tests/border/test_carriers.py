"""Both carriers before real sockets of engines in this process."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import unittest
from typing import Any

import aiohttp
from aiohttp import web

from nutmegspoke import outcomes
from nutmegspoke.border.clock import SystemClock
from nutmegspoke.border.draft_chains import DraftChains
from nutmegspoke.border.drafts import DraftService
from nutmegspoke.border.engine_client import RelayCarrier
from nutmegspoke.border.pass_on import PassOnCarrier
from nutmegspoke.border.quarantine import QuarantineService
from nutmegspoke.border.router import Router, RouterOptions
from nutmegspoke.pipelines.resume import ResumeSigner
from nutmegspoke.standins.engine import Engine, Pace
from nutmegspoke.standins.faults import FaultOrder
from tests import builders_pipelines as build

_PROGRESS_TIMEOUT_S = 1.5


class CarrierCases:
    """Cases that hold for each carrier."""

    carrier_class: Any = None

    async def asyncSetUp(self) -> None:
        """Serve the engines and start a draft service."""
        self.held = build.engines()
        self.targets = build.FakeTargets(tuple('abcd'), build.LAYER_COUNT)
        self.engines: dict[str, Engine] = {}
        self.runners: dict[str, web.AppRunner] = {}
        for name in 'abcd':
            address = await self._serve(name)
            self.targets.set_address(name, address)
        sessions = [
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=is_fresh),
            )
            for is_fresh in (False, True)
        ]
        for session in sessions:
            self.addAsyncCleanup(session.close)
        clock = SystemClock()
        options = RouterOptions('least_in_flight')
        self.signer = ResumeSigner(build.SECRET)
        self.drafts = DraftService(
            clock,
            self.carrier_class(*sessions),
            self.signer,
            DraftChains(
                clock,
                self.targets,
                Router(clock, self.targets, options),
                build.FakeGate(),
                QuarantineService(clock),
            ),
        )
        now_s = clock.now_s()
        request = build.draft_request(
            received_s=now_s,
            deadline_s=now_s + 30,
        )
        route = dataclasses.replace(
            request.route,
            progress_timeout_s=_PROGRESS_TIMEOUT_S,
        )
        self.request = dataclasses.replace(request, route=route)

    async def _serve(self, name: str) -> str:
        pace = Pace(1e9, 0, time.monotonic)
        engine = Engine(self.held[name], pace, 'fanletter', '1', 0)
        runner = web.AppRunner(engine.app(), shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        self.engines[name] = engine
        self.runners[name] = runner
        host, port = runner.addresses[0][:2]
        return f'{host}:{port}'

    async def take(self, change: Any = None, name: str = 'r1') -> list[int]:
        """Return the tokens of a draft; change something after the third."""
        tokens = []
        request = dataclasses.replace(self.request, request_id=name)
        async for item in self.drafts.stream(request):
            if isinstance(item, outcomes.Completed):
                continue
            tokens.append(self.signer.read(item.event_id).last_token)
            if change is not None and len(tokens) == 3:
                await change()
        return tokens

    def told(self) -> set[str]:
        """Return what the directory heard."""
        return {what for what, _ in self.targets.reports}

    async def test_every_receipt_of_a_whole_answer(self) -> None:
        """The answer is right and the engines keep nothing."""
        self.assertEqual(await self.take(), build.expected_answer())
        await self.drafts.stop()
        streams = [held.stream_count() for held in self.held.values()]
        self.assertEqual(sum(streams), 0)

    async def test_stage_loses_its_cache(self) -> None:
        """It runs again without blame."""

        async def empty() -> None:
            self.held['b'].load(2, 4)

        self.assertEqual(await self.take(empty), build.expected_answer())
        self.assertEqual(self.told(), set())

    async def test_stage_ends(self) -> None:
        """Its spare goes on, and the directory hears of it."""

        async def end() -> None:
            await self.runners['b'].cleanup()

        self.assertEqual(await self.take(end), build.expected_answer())
        self.assertEqual(
            {address for _, address in self.targets.reports},
            {self.targets.address('b')},
        )

    async def test_first_stage_is_silent_on_open_connections(self) -> None:
        """A new connection goes on with the same engine, at once."""
        await asyncio.gather(*(self.take(name=f'w{n}') for n in range(4)))

        async def silence() -> None:
            self.engines['a'].board.give(FaultOrder(fault='silence'))

        self.assertEqual(await self.take(silence), build.expected_answer())
        heard = [('old silent', self.targets.address('a'))]
        self.assertEqual(self.targets.reports, heard)

    async def test_reply_is_lost_with_its_connection(self) -> None:
        """The engine lives: it is sent the step again, without blame."""

        async def lose() -> None:
            for engine in self.engines.values():
                engine.board.give(FaultOrder(fault='lose_answer', count=1))

        self.assertEqual(await self.take(lose), build.expected_answer())
        self.assertEqual(self.told(), set())

    async def test_leaving_stage_gets_no_new_stream(self) -> None:
        """The refusal is told and the spare serves."""
        self.engines['b'].board.give(FaultOrder(fault='leave'))
        self.assertEqual(await self.take(), build.expected_answer())
        self.assertEqual(self.told(), {'leaving'})


class RelayTest(CarrierCases, unittest.IsolatedAsyncioTestCase):
    """The daemon carries each step."""

    carrier_class = RelayCarrier


class PassOnTest(CarrierCases, unittest.IsolatedAsyncioTestCase):
    """The engines pass steps on."""

    carrier_class = PassOnCarrier
