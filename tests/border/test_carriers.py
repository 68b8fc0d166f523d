"""Tests of both carriers over real sockets to engines in this process."""

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
from nutmegspoke.standins.engine import Engine, SimulatedAccelerator
from nutmegspoke.standins.faults import FaultOrder
from tests import builders_pipelines as build

_PROGRESS_TIMEOUT_S = 1.5


class CarrierCases:
    """Tests that run with each carrier."""

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
        accelerator = SimulatedAccelerator(1e9, 0, time.monotonic)
        engine = Engine(self.held[name], accelerator, 'fanletter', '1', 0)
        runner = web.AppRunner(engine.app(), shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        self.engines[name] = engine
        self.runners[name] = runner
        host, port = runner.addresses[0][:2]
        return f'{host}:{port}'

    async def collect_tokens(
        self, change: Any = None, name: str = 'r1'
    ) -> list[int]:
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

    def reported_faults(self) -> set[str]:
        """Return the kinds of faults reported to the directory."""
        return {kind for kind, _ in self.targets.reports}

    async def test_every_receipt_of_a_whole_answer(self) -> None:
        """A draft without faults is complete and leaves no stream behind."""
        self.assertEqual(await self.collect_tokens(), build.expected_answer())
        await self.drafts.stop()
        streams = [held.stream_count() for held in self.held.values()]
        self.assertEqual(sum(streams), 0)

    async def test_stage_loses_its_cache(self) -> None:
        """A stage that lost its cache is not reported as faulty."""

        async def empty() -> None:
            self.held['b'].load(2, 4)

        self.assertEqual(
            await self.collect_tokens(empty), build.expected_answer()
        )
        self.assertEqual(self.reported_faults(), set())

    async def test_stage_ends(self) -> None:
        """A replica takes over, and the end of the engine is reported."""

        async def end() -> None:
            await self.runners['b'].cleanup()

        self.assertEqual(
            await self.collect_tokens(end), build.expected_answer()
        )
        self.assertEqual(
            {address for _, address in self.targets.reports},
            {self.targets.address('b')},
        )

    async def test_first_stage_is_silent_on_open_connections(self) -> None:
        """The draft goes on with the same engine on a new connection."""
        await asyncio.gather(
            *(self.collect_tokens(name=f'w{n}') for n in range(4))
        )

        async def silence() -> None:
            self.engines['a'].fault_injector.activate(
                FaultOrder(fault='silence')
            )

        self.assertEqual(
            await self.collect_tokens(silence), build.expected_answer()
        )
        expected_reports = [('old silent', self.targets.address('a'))]
        self.assertEqual(self.targets.reports, expected_reports)

    async def test_reply_is_lost_with_its_connection(self) -> None:
        """The step is sent again, and the engine is not reported as faulty."""

        async def lose() -> None:
            for engine in self.engines.values():
                engine.fault_injector.activate(
                    FaultOrder(fault='lose_answer', count=1)
                )

        self.assertEqual(
            await self.collect_tokens(lose), build.expected_answer()
        )
        self.assertEqual(self.reported_faults(), set())

    async def test_leaving_stage_gets_no_new_stream(self) -> None:
        """The refusal is reported, and a replica takes over."""
        self.engines['b'].fault_injector.activate(FaultOrder(fault='leave'))
        self.assertEqual(await self.collect_tokens(), build.expected_answer())
        self.assertEqual(self.reported_faults(), {'leaving'})


class RelayTest(CarrierCases, unittest.IsolatedAsyncioTestCase):
    """The daemon sends each step."""

    carrier_class = RelayCarrier


class PassOnTest(CarrierCases, unittest.IsolatedAsyncioTestCase):
    """The engines pass steps on to each other."""

    carrier_class = PassOnCarrier
