"""Tests of the draft service with engines in this process."""

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
    """Base class with a draft service, its carrier and its directory."""

    def setUp(self) -> None:
        """Create a service with several engines for each layer."""
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

    async def collect_items(
        self, drafts: Any = None, **changes: Any
    ) -> list[Any]:
        """Return all items of a draft."""
        service = drafts or self.drafts
        request = build.draft_request(**changes)
        items = [item async for item in service.stream(request)]
        await service.stop()
        return items

    def assert_complete(
        self,
        items: list[Any],
        first: int = 0,
        prompt: str = build.PROMPT,
    ) -> None:
        """Check that all tokens from ``first`` on and the completion came."""
        *tokens, end = items
        self.assertEqual(end, _COMPLETED)
        numbers = [token.number for token in tokens]
        self.assertEqual(numbers, list(range(first, 8)))
        points = [self.signer.read(token.event_id) for token in tokens]
        last_tokens = [point.last_token for point in points]
        self.assertEqual(last_tokens, build.expected_answer(prompt)[first:])

    def assert_nothing_left(self) -> None:
        """Check that no draft is counted and no engine holds a stream."""
        self.assertEqual(set(self.targets.in_flight.values()), {0})
        self.assertEqual(self.gate.inside, 0)
        streams = [held.stream_count() for held in self.held.values()]
        self.assertEqual(sum(streams), 0)


class LossTest(DraftCase):
    """Answers are complete in spite of lost steps."""

    async def test_each_fault_at_each_step(self) -> None:
        """Each fault is survived; only faults of the target are reported."""
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
        for fault, report in faults.items():
            for step in range(24):
                self.setUp()
                self.carrier.script = ['ok'] * step + [fault]
                self.assert_complete(await self.collect_items())
                reported = {kind for kind, _ in self.targets.reports}
                self.assertEqual(reported, {report} if report else set(), fault)
                self.assert_nothing_left()

    async def test_two_faults_and_the_same_twice(self) -> None:
        """Two faults are survived, except two crashes without a token between.

        Those look like a request that crashes its targets, so the draft ends
        with an unknown outcome.
        """
        kinds = ('reset', 'dead', 'lost_reply', 'empty', 'twice', 'old')
        for first in kinds:
            for second in kinds:
                for steps_between in (0, 6):
                    self.setUp()
                    between = ['ok'] * steps_between
                    faults = [first, *between, second]
                    self.carrier.script = ['ok'] * 7 + faults
                    items = await self.collect_items()
                    if {first, second} <= {'reset', 'dead'} and not between:
                        lost = outcomes.UnknownReason.STREAM_LOST
                        self.assertEqual(items[-1].reason, lost)
                        self.assertEqual(len(items), 3)
                    else:
                        self.assert_complete(items)
                    self.assertEqual(set(self.targets.in_flight.values()), {0})

    async def test_layers_change_under_a_draft(self) -> None:
        """A stage that lost its layers refuses; another engine takes over."""
        stream = self.drafts.stream(build.draft_request())
        items = [await anext(stream) for _ in range(3)]
        self.held['b'].load(0, 2)
        self.assert_complete(items + [item async for item in stream])

    async def test_refused_when_nothing_ran(self) -> None:
        """A draft that cannot have run is refused with the reason.

        The reasons: refused connections, no chain, and a past deadline.
        """
        self.carrier.dead = set('abcdef')
        (outcome,) = await self.collect_items()
        self.assertEqual(
            (outcome.reason, outcomes.executed(outcome).value),
            (outcomes.RefusalReason.TARGET_UNREACHABLE, 'no'),
        )
        (outcome,) = await self.collect_items()
        self.assertEqual(outcome.reason, outcomes.RefusalReason.NO_TARGET)
        self.targets.hidden.clear()
        (outcome,) = await self.collect_items(deadline_s=0.0)
        self.assertEqual(outcome.reason, outcomes.RefusalReason.DEADLINE)

    async def test_what_may_have_run_is_unknown(self) -> None:
        """A reset may come after the step ran, so the outcome is unknown."""
        self.carrier.script = ['dead']
        self.carrier.dead = set('bcdef')
        (outcome,) = await self.collect_items()
        self.assertEqual(outcome.reason, outcomes.UnknownReason.STREAM_LOST)

    async def asyncTearDown(self) -> None:
        """Stop the service."""
        await self.drafts.stop()


class PoisonTest(DraftCase):
    """A request that crashes every engine that runs it."""

    async def test_two_crashes_and_no_more(self) -> None:
        """It is quarantined after two crashes; other drafts complete."""
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
            self.collect_items(prompt='poison', route=patient),
            *map(finish, range(3)),
        )
        self.assertEqual(
            [outcome.reason for outcome in crashing],
            [outcomes.UnknownReason.STREAM_LOST],
        )
        self.assertEqual(len(self.carrier.dead), 2)
        (outcome,) = await self.collect_items(request_id='r9', prompt='poison')
        self.assertEqual(outcome.reason, outcomes.RefusalReason.QUARANTINED)
        self.assertGreater(outcome.retry_after_s, 0)
        self.assertEqual(len(self.carrier.dead), 2)
        for text, items in zip(quiet, answers, strict=True):
            self.assert_complete(items, prompt=text)


class HangUpTest(DraftCase):
    """Callers that disconnect and resume."""

    async def test_hang_up_ends_the_streams(self) -> None:
        """The stream is cancelled on every stage when the caller disconnects."""
        stream = self.drafts.stream(build.draft_request())
        await anext(stream)
        await stream.aclose()
        await self.drafts.stop()
        self.assertEqual(sorted(self.carrier.cancelled), ['a', 'b', 'c'])
        self.assert_nothing_left()

    async def test_slow_reader_gets_no_step_ahead(self) -> None:
        """The next step is sent only after the caller has read the token."""
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
        """A resume after any token completes the answer.

        The caches are kept, lost by one or all stages, or cancelled because
        the caller disconnected.
        """
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
                rest = await self.collect_items(
                    other,
                    request_id='r2',
                    seed=99,
                    resume_from=tokens[-1].event_id,
                )
                self.assert_complete(tokens + rest)
                await stream.aclose()

    async def test_a_daemon_that_wakes_changes_nothing(self) -> None:
        """The steps of a daemon that was superseded by a resume are refused."""
        stream = self.drafts.stream(build.draft_request())
        tokens = [await anext(stream) for _ in range(3)]
        resumed = self.daemon().stream(
            build.draft_request(resume_from=tokens[-1].event_id),
        )
        tokens.append(await anext(resumed))
        late = [item async for item in stream]
        self.assertEqual(late[-1].reason, outcomes.UnknownReason.STREAM_LOST)
        self.assertEqual(len(late), 1)
        self.assert_complete(tokens + [item async for item in resumed])

    async def test_two_resumes_of_one_event(self) -> None:
        """Two resumes after the same event both complete the answer."""
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
            self.assert_complete(items[number], first=1)

    async def test_another_answer_is_not_spliced(self) -> None:
        """A resume ends if the repeated tokens have another digest."""
        stream = self.drafts.stream(build.draft_request())
        token = [await anext(stream) for _ in range(3)][-1]
        point = msgspec.structs.replace(
            self.signer.read(token.event_id),
            digest='another',
        )
        for held in self.held.values():
            held.load(held.first_layer, held.stop_layer)
        (outcome,) = await self.collect_items(
            resume_from=self.signer.sign(point)
        )
        self.assertEqual(outcome.reason, outcomes.UnknownReason.RESUME_MISMATCH)
        await stream.aclose()

    async def test_a_wrong_event_id_is_refused(self) -> None:
        """Event ids with a wrong signature or of another request are refused."""
        token, *_ = await self.collect_items()
        for changes in (
            {'resume_from': 'x'},
            {'resume_from': token.event_id, 'prompt': 'another'},
            {'resume_from': token.event_id, 'team': 'another'},
        ):
            (outcome,) = await self.collect_items(**changes)
            self.assertEqual(outcome.reason, outcomes.RefusalReason.BAD_REQUEST)


class MixingCarrier(build.FakeCarrier):
    """Carrier that delays and mixes up replies of all streams, by a seed."""

    def __init__(self, held: Any, seed: int) -> None:
        """Create a carrier without past replies."""
        super().__init__(held)
        self._random = random.Random(seed)
        self._past_replies: list[StepReply] = []

    async def carry(self, *arguments: Any) -> StepReply | StepRefusal:
        """Return a reply late, and sometimes a wrong one."""
        step = arguments[1]
        reply = await super().carry(*arguments)
        for _ in range(self._random.randrange(4)):
            await asyncio.sleep(0)
        if isinstance(reply, StepReply):
            self._past_replies.append(reply)
        draw = self._random.random()
        if draw < 0.04:
            return self._random.choice(self._past_replies)
        if draw < 0.06:
            same = [
                past_reply
                for past_reply in self._past_replies[-2_000:]
                if past_reply.stream_id == step.stream_id
            ]
            return self._random.choice(same or [reply])
        if draw < 0.07:
            return await super().carry(*arguments)
        return reply


class CrossingTest(DraftCase):
    """Concurrent streams with mixed-up replies."""

    async def test_two_hundred_streams(self) -> None:
        """Each of 200 callers gets its own complete answer."""
        drafts = self.daemon(MixingCarrier(self.held, seed=5))
        prompts = [f'{build.PROMPT} {number}' for number in range(_STREAMS)]
        answers = await asyncio.gather(
            *(
                self.collect_items(
                    drafts,
                    request_id=f'r{number}',
                    prompt=prompt,
                    deadline_s=1e9,
                )
                for number, prompt in enumerate(prompts)
            ),
        )
        for prompt, items in zip(prompts, answers, strict=True):
            self.assert_complete(items, prompt=prompt)
        self.assert_nothing_left()
