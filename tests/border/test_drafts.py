"""Tests of the draft service before engines in this process."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import unittest
from typing import Any

import msgspec

from nutmegspoke import outcomes
from nutmegspoke.border.draft_chains import DraftChains
from nutmegspoke.border.drafts import DraftService
from nutmegspoke.border.quarantine import QuarantineService
from nutmegspoke.border.router import Router, RouterOptions
from nutmegspoke.engine_protocol import StepRefusal, StepReply
from nutmegspoke.pipelines.resume import ResumeSigner
from tests import builders_pipelines as build

_STREAMS = 200
_COMPLETED = outcomes.Completed(status=200)


class DraftCase(unittest.IsolatedAsyncioTestCase):
    """A draft service, its carrier and its directory."""

    def setUp(self) -> None:
        """Start with several engines for each layer."""
        self.held = build.engines()
        self.carrier = build.FakeCarrier(self.held)
        self.targets = build.FakeTargets(tuple('abcdef'), build.LAYER_COUNT)
        self.clock = build.TickingClock()
        self.gate = build.FakeGate()
        self.quarantine = QuarantineService(self.clock)
        self.signer = ResumeSigner(build.SECRET)
        self.drafts = self.daemon()

    def daemon(self, carrier: Any = None) -> DraftService:
        """Build a draft service."""
        chosen = carrier or self.carrier
        options = RouterOptions('least_in_flight')
        return DraftService(
            self.clock,
            chosen,
            self.signer,
            DraftChains(
                self.clock,
                self.targets,
                Router(self.clock, self.targets, options),
                self.gate,
                self.quarantine,
            ),
        )

    async def take(self, drafts: Any = None, **changes: Any) -> list[Any]:
        """Return all items of a draft."""
        service = drafts or self.drafts
        request = build.draft_request(**changes)
        items = [item async for item in service.stream(request)]
        await service.stop()
        return items

    def assert_whole(
        self,
        items: list[Any],
        first: int = 0,
        prompt: str = build.PROMPT,
    ) -> None:
        """The right tokens from one on, then the completion."""
        *tokens, end = items
        self.assertEqual(end, _COMPLETED)
        numbers = [token.number for token in tokens]
        self.assertEqual(numbers, list(range(first, 8)))
        points = [self.signer.read(token.event_id) for token in tokens]
        told = [point.last_token for point in points]
        self.assertEqual(told, build.expected_answer(prompt)[first:])

    def assert_nothing_left(self) -> None:
        """No work is counted and no engine holds a stream."""
        self.assertEqual(set(self.targets.in_flight.values()), {0})
        self.assertEqual(self.gate.inside, 0)
        streams = [held.stream_count() for held in self.held.values()]
        self.assertEqual(sum(streams), 0)


class LossTest(DraftCase):
    """The answer is whole whatever is lost."""

    async def test_each_fault_at_each_step(self) -> None:
        """And the directory hears of what is the target's fault only."""
        faults = {
            'reset': 'reset',
            'unreachable': 'refused',
            'target_silent': 'silent',
            'connection_reset': '',
            'connection_silent': 'old silent',
            'lost_reply': 'old silent',
            'bad_reply': '',
            'twice': '',
            'empty': '',
            'old': '',
        }
        for fault, word in faults.items():
            for step in range(24):
                self.setUp()
                self.carrier.script = ['ok'] * step + [fault]
                self.assert_whole(await self.take())
                heard = {told for told, _ in self.targets.reports}
                self.assertEqual(heard, {word} if word else set(), fault)
                self.assert_nothing_left()

    async def test_two_faults_and_the_same_twice(self) -> None:
        """Any two, with a token between them or none.

        Two crashes with no token between them look like a request that
        crashes its targets: it ends, and says that it may have run.
        """
        kinds = ('reset', 'dead', 'lost_reply', 'empty', 'twice', 'old')
        for first in kinds:
            for second in kinds:
                for steps_between in (0, 6):
                    self.setUp()
                    between = ['ok'] * steps_between
                    faults = [first, *between, second]
                    self.carrier.script = ['ok'] * 7 + faults
                    items = await self.take()
                    if {first, second} <= {'reset', 'dead'} and not between:
                        lost = outcomes.UnknownReason.STREAM_LOST
                        self.assertEqual(items[-1].reason, lost)
                        self.assertEqual(len(items), 3)
                    else:
                        self.assert_whole(items)
                    self.assertEqual(set(self.targets.in_flight.values()), {0})

    async def test_layers_change_under_a_draft(self) -> None:
        """The stage refuses and the draft goes on elsewhere."""
        stream = self.drafts.stream(build.draft_request())
        items = [await anext(stream) for _ in range(3)]
        self.held['b'].load(0, 2)
        self.assert_whole(items + [item async for item in stream])

    async def test_nothing_ran_is_told(self) -> None:
        """Refused connections only, no chain, and a deadline gone by."""
        self.carrier.dead = set('abcdef')
        (told,) = await self.take()
        self.assertEqual(
            (told.reason, outcomes.executed(told).value),
            (outcomes.RefusalReason.TARGET_UNREACHABLE, 'no'),
        )
        (told,) = await self.take()
        self.assertEqual(told.reason, outcomes.RefusalReason.NO_TARGET)
        self.targets.hidden.clear()
        (told,) = await self.take(deadline_s=0.0)
        self.assertEqual(told.reason, outcomes.RefusalReason.DEADLINE)

    async def test_what_may_have_run_is_unknown(self) -> None:
        """A reset may have come after the step ran."""
        self.carrier.script = ['dead']
        self.carrier.dead = set('bcdef')
        (told,) = await self.take()
        self.assertEqual(told.reason, outcomes.UnknownReason.STREAM_LOST)

    async def asyncTearDown(self) -> None:
        """End the service."""
        await self.drafts.stop()


class PoisonTest(DraftCase):
    """A request that crashes every engine that runs it."""

    async def test_two_crashes_and_no_more(self) -> None:
        """It ends, is refused at once then; its passengers complete."""
        quiet = [f'quiet request {number}' for number in range(3)]
        streams = [
            self.drafts.stream(
                build.draft_request(request_id=text, prompt=text)
            )
            for text in quiet
        ]
        answers = [[await anext(stream)] for stream in streams]
        self.carrier.poison = 'poison'
        patient = dataclasses.replace(
            build.draft_request().route,
            progress_timeout_s=30.0,
        )

        async def finish(number: int) -> None:
            async for item in streams[number]:
                answers[number].append(item)
                await asyncio.sleep(0)

        crashing, *_ = await asyncio.gather(
            self.take(prompt='poison', route=patient),
            *map(finish, range(3)),
        )
        self.assertEqual(
            [told.reason for told in crashing],
            [outcomes.UnknownReason.STREAM_LOST],
        )
        self.assertEqual(len(self.carrier.dead), 2)
        (told,) = await self.take(request_id='r9', prompt='poison')
        self.assertEqual(told.reason, outcomes.RefusalReason.QUARANTINED)
        self.assertGreater(told.retry_after_s, 0)
        self.assertEqual(len(self.carrier.dead), 2)
        for text, items in zip(quiet, answers, strict=True):
            self.assert_whole(items, prompt=text)


class HangUpTest(DraftCase):
    """A caller who goes and comes back."""

    async def test_hang_up_ends_the_streams(self) -> None:
        """Every stage is told, and no later step is sent."""
        stream = self.drafts.stream(build.draft_request())
        await anext(stream)
        await stream.aclose()
        await self.drafts.stop()
        self.assertEqual(sorted(self.carrier.cancelled), ['a', 'b', 'c'])
        self.assert_nothing_left()

    async def test_slow_reader_gets_no_step_ahead(self) -> None:
        """The next step is sent when the caller has taken its token."""
        stream = self.drafts.stream(build.draft_request())
        for count in range(1, 8):
            await anext(stream)
            for _ in range(20):
                await asyncio.sleep(0)
            lengths = {
                self.held[name].export('r1', layer, layer + 1).digests
                for name, layer in (('a', 0), ('b', 2), ('c', 4))
            }
            held = {len(digests[0]) - 1 for digests in lengths}
            self.assertEqual(held, {len(build.PROMPT.split()) + count - 1})
        await stream.aclose()

    async def test_resume_at_each_token(self) -> None:
        """Held by the stages, lost by some, or cancelled by a hang-up."""
        for count in range(1, 9):
            for lost in ('', 'b', 'abcdef', 'hang up'):
                self.setUp()
                stream = self.drafts.stream(build.draft_request())
                tokens = [await anext(stream) for _ in range(count)]
                if lost == 'hang up':
                    await stream.aclose()
                    await self.drafts.stop()
                    lost = ''
                for name in lost:
                    held = self.held[name]
                    held.load(held.first_layer, held.stop_layer)
                other = self.daemon()
                rest = await self.take(
                    other,
                    request_id='r2',
                    seed=99,
                    resume_from=tokens[-1].event_id,
                )
                self.assert_whole(tokens + rest)
                await stream.aclose()

    async def test_a_daemon_that_wakes_changes_nothing(self) -> None:
        """Its steps are refused, and it delivers no token more."""
        stream = self.drafts.stream(build.draft_request())
        tokens = [await anext(stream) for _ in range(3)]
        resumed = self.daemon().stream(
            build.draft_request(resume_from=tokens[-1].event_id),
        )
        tokens.append(await anext(resumed))
        late = [item async for item in stream]
        self.assertEqual(late[-1].reason, outcomes.UnknownReason.STREAM_LOST)
        self.assertEqual(len(late), 1)
        self.assert_whole(tokens + [item async for item in resumed])

    async def test_two_resumes_of_one_event(self) -> None:
        """Both answers are right."""
        stream = self.drafts.stream(build.draft_request())
        event_id = (await anext(stream)).event_id
        resumed = [
            self.daemon().stream(build.draft_request(resume_from=event_id))
            for _ in range(2)
        ]
        items: list[list[Any]] = [[], []]
        for _ in range(7):
            for number, other in enumerate(resumed):
                items[number].append(await anext(other))
        for number, other in enumerate(resumed):
            items[number].extend([item async for item in other])
            self.assert_whole(items[number], first=1)

    async def test_another_answer_is_not_spliced(self) -> None:
        """A digest that differs ends the draft with the reason."""
        stream = self.drafts.stream(build.draft_request())
        token = [await anext(stream) for _ in range(3)][-1]
        point = msgspec.structs.replace(
            self.signer.read(token.event_id),
            digest='another',
        )
        for held in self.held.values():
            held.load(held.first_layer, held.stop_layer)
        (told,) = await self.take(resume_from=self.signer.sign(point))
        self.assertEqual(told.reason, outcomes.UnknownReason.RESUME_MISMATCH)
        await stream.aclose()

    async def test_a_wrong_event_id_is_refused(self) -> None:
        """Of another key, or of another request."""
        token, *_ = await self.take()
        for changes in (
            {'resume_from': 'x'},
            {'resume_from': token.event_id, 'prompt': 'another'},
            {'resume_from': token.event_id, 'team': 'another'},
        ):
            (told,) = await self.take(**changes)
            self.assertEqual(told.reason, outcomes.RefusalReason.BAD_REQUEST)


class MixingCarrier(build.FakeCarrier):
    """Mixes up the answers of all streams, by a seed."""

    def __init__(self, held: Any, seed: int) -> None:
        """Begin without answers."""
        super().__init__(held)
        self._random = random.Random(seed)
        self._seen: list[StepReply] = []

    async def carry(self, *arguments: Any) -> StepReply | StepRefusal:
        """Answer late, and now and then with another answer than asked for."""
        step = arguments[1]
        reply = await super().carry(*arguments)
        for _ in range(self._random.randrange(4)):
            await asyncio.sleep(0)
        if isinstance(reply, StepReply):
            self._seen.append(reply)
        draw = self._random.random()
        if draw < 0.04:
            return self._random.choice(self._seen)
        if draw < 0.06:
            same = [
                seen
                for seen in self._seen[-2_000:]
                if seen.stream_id == step.stream_id
            ]
            return self._random.choice(same or [reply])
        if draw < 0.07:
            return await super().carry(*arguments)
        return reply


class CrossingTest(DraftCase):
    """Two hundred streams at once."""

    async def test_two_hundred_streams(self) -> None:
        """Each caller gets its own answer, whole."""
        drafts = self.daemon(MixingCarrier(self.held, seed=5))
        prompts = [f'{build.PROMPT} {number}' for number in range(_STREAMS)]
        answers = await asyncio.gather(
            *(
                self.take(
                    drafts,
                    request_id=f'r{number}',
                    prompt=prompt,
                    deadline_s=1e9,
                )
                for number, prompt in enumerate(prompts)
            ),
        )
        for prompt, items in zip(prompts, answers, strict=True):
            self.assert_whole(items, prompt=prompt)
        self.assert_nothing_left()
