"""Tests of a run of a draft."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec

from nutmegspoke.errors import BrokenInvariantError
from nutmegspoke.pipelines.decisions import (
    AnswerDiffers,
    ReplyDropped,
    SendStep,
    TokenReady,
)
from nutmegspoke.pipelines.recovery import ReplayStrategy
from nutmegspoke.pipelines.resume import ResumePoint, stage_records
from nutmegspoke.pipelines.run import DraftRun
from tests import builders_pipelines as build

_PROMPT_LENGTH = len(build.PROMPT.split())


class RunCase(unittest.TestCase):
    """Base of tests of a run on engines in this process."""

    def setUp(self) -> None:
        """Start a draft."""
        self.engines = build.engines()
        self.run_ = build.run()
        self.decision = self.run_.begin()
        self.delivered: list[int] = []
        self.steps_run: list[tuple[str, int]] = []

    def run_step(self, decision: SendStep | None = None) -> Any:
        """Return the reply of the stage to the step in flight."""
        sent = decision or self.decision
        reply = build.run_step(self.engines, sent.stage.target, sent.step)
        self.steps_run.append((sent.stage.target, getattr(reply, 'count', 0)))
        return reply

    def advance(self, steps: int = 1) -> None:
        """Run some steps."""
        for _ in range(steps):
            self.follow(self.run_.accept(self.run_step()))

    def follow(self, decision: Any) -> None:
        """Record the token and the next step of a decision."""
        self.decision = decision
        if isinstance(decision, TokenReady):
            self.delivered.append(decision.token)
            self.decision = decision.following

    def finish(self) -> list[int]:
        """Run all remaining steps and return the delivered tokens."""
        while self.decision is not None:
            self.advance()
        return self.delivered

    def point(self) -> ResumePoint:
        """Return the current resume point of the caller."""
        run = self.run_
        return ResumePoint(
            stream_id='s1',
            fingerprint='',
            attempt=run.attempt,
            position=run.position,
            count=run.answer.count,
            last_token=run.last_token,
            digest=run.answer.digest,
            seed=7,
            stages=stage_records(run.chain),
        )


class ReplyTest(RunCase):
    """Only the expected reply changes a run."""

    def test_a_wrong_reply_changes_nothing(self) -> None:
        """Guards against replies of other steps, at each stage of the chain."""
        mismatches = {
            'stream_id': 'other stream',
            'attempt': 'other attempt',
            'target': 'other target',
            'first_layer': 'other layers',
            'stop_layer': 'other layers',
            'position': 'other position',
            'count': 'count',
        }
        for _ in range(7):
            reply = self.run_step()
            for field, reason in mismatches.items():
                before = getattr(reply, field)
                fault = 'x' if isinstance(before, str) else before + 1
                changed = msgspec.structs.replace(reply, **{field: fault})
                dropped = self.run_.accept(changed)
                allowed = {reason, 'hidden count'} if reply.hidden else {reason}
                if field == 'count' and self.decision.step.prompt:
                    allowed = {'hidden count'}
                self.assertIn(dropped.reason, allowed, field)
            self.follow(self.run_.accept(reply))
            self.assertIsInstance(self.run_.accept(reply), ReplyDropped)
        self.assertEqual(self.finish(), build.expected_answer())

    def test_the_last_stage_must_give_a_token(self) -> None:
        """A reply of the last stage without a token is dropped."""
        self.advance(2)
        reply = msgspec.structs.replace(self.run_step(), token=None)
        self.assertEqual(self.run_.accept(reply), ReplyDropped('no token'))

    def test_a_chain_must_cover_the_layers(self) -> None:
        """A chain with a gap (layers that no engine holds) or overlap raises."""
        for stages in (('a:0-2', 'c:4-6'), ('e:0-4', 'b:2-4', 'c:4-6')):
            with self.assertRaises(BrokenInvariantError):
                build.run(build.chain(*stages))
            with self.assertRaises(BrokenInvariantError):
                self.run_.restart(build.chain(*stages))

    def test_every_chain_gives_the_right_answer(self) -> None:
        """Includes parts of layer ranges and an engine that serves two stages."""
        for stages in (
            ('f:0-6',),
            ('f:0-2', 'b:2-4', 'f:4-6'),
            ('e:0-1', 'f:1-5', 'c:5-6'),
        ):
            self.run_ = build.run(build.chain(*stages), stream_id=str(stages))
            self.decision, self.delivered = self.run_.begin(), []
            self.assertEqual(self.finish(), build.expected_answer())


class RecoveryTest(RunCase):
    """Recovery after a loss."""

    def test_resend_after_a_lost_reply(self) -> None:
        """A resend costs one step, and the late reply is dropped."""
        for _ in range(12):
            late = self.run_step()
            self.decision = self.run_.resend()
            dropped = self.run_.accept(late)
            self.assertEqual(dropped, ReplyDropped('other attempt'))
            self.advance()
        self.assertEqual(self.finish(), build.expected_answer())
        self.assertEqual(len(self.steps_run), 3 * 8 + 12)

    def test_rerun_keeps_delivered_tokens(self) -> None:
        """The prompt and the delivered tokens run over the new chain."""
        self.advance(3 * 4 + 1)
        self.decision = self.run_.restart(build.OTHER_CHAIN)
        self.steps_run.clear()
        self.assertEqual(self.finish(), build.expected_answer())
        filled = _PROMPT_LENGTH + 4
        self.assertEqual(
            self.steps_run[:3],
            [('a', filled), ('d', filled), ('c', filled)],
        )

    def test_replay_fills_the_replacement_only(self) -> None:
        """The stages that are not replaced run each position once."""
        for lost, stage_index in (('a', 0), ('b', 1), ('c', 2)):
            self.engines = build.engines()
            self.delivered = []
            self.run_ = DraftRun(
                build.plan(),
                build.CHAIN,
                1,
                ReplayStrategy(1_000),
            )
            self.decision = self.run_.begin()
            self.advance(3 * 4 + stage_index)
            replaced = build.chain('f:0-2', 'f:2-4', 'f:4-6')[stage_index]
            chain = list(build.CHAIN)
            chain[stage_index] = replaced
            self.decision = self.run_.restart(tuple(chain))
            self.steps_run.clear()
            self.assertEqual(self.finish(), build.expected_answer(), lost)
            self.assertEqual(self.steps_run[0], ('f', _PROMPT_LENGTH + 4))
            counts = {count for _, count in self.steps_run[1:]}
            self.assertEqual(counts, {1})

    def test_replay_keeps_no_more_than_its_limit(self) -> None:
        """Beyond the limit the inputs are dropped and the draft is run again."""
        strategy = ReplayStrategy(2 * _PROMPT_LENGTH + 4)
        self.run_ = DraftRun(build.plan(), build.CHAIN, 1, strategy)
        self.decision = self.run_.begin()
        self.advance(3 * 2)
        self.assertEqual(strategy.kept_count, 2 * _PROMPT_LENGTH + 2)
        self.advance(3 * 2 + 1)
        self.assertEqual(strategy.kept_count, 0)
        self.decision = self.run_.restart(build.OTHER_CHAIN)
        self.assertEqual(self.decision.step.prompt, build.PROMPT)
        self.assertEqual(self.finish(), build.expected_answer())

    def test_no_replay_if_another_stage_changes_too(self) -> None:
        """If two stages are replaced, the draft is run again."""
        self.run_ = DraftRun(build.plan(), build.CHAIN, 1, ReplayStrategy(99))
        self.decision = self.run_.begin()
        self.advance(3 * 2 + 1)
        self.decision = self.run_.restart(
            build.chain('a:0-2', 'd:2-4', 'f:4-6')
        )
        self.assertEqual(self.decision.step.prompt, build.PROMPT)
        self.assertEqual(self.finish(), build.expected_answer())

    def test_inputs_of_an_earlier_chain_are_dropped(self) -> None:
        """Only inputs of the stages of the current chain are stored."""
        strategy = ReplayStrategy(1_000)
        self.run_ = DraftRun(build.plan(), build.CHAIN, 1, strategy)
        self.decision = self.run_.begin()
        self.advance(3 * 2 + 1)
        self.decision = self.run_.restart(build.chain('e:0-4', 'c:4-6'))
        self.advance(2)
        self.assertEqual(strategy.kept_count, _PROMPT_LENGTH + 2)
        self.assertEqual(self.finish(), build.expected_answer())


class ResumeTest(RunCase):
    """Another daemon resumes an answer."""

    def resume(
        self,
        over: Any = build.CHAIN,
        strategy: Any = None,
        **changes: Any,
    ) -> ResumePoint:
        """Deliver four tokens, then resume in another run."""
        self.run_ = build.run(over)
        self.decision = self.run_.begin()
        self.advance(len(over) * 4 + len(over) - 1)
        point = msgspec.structs.replace(self.point(), **changes)
        self.run_ = DraftRun(
            build.plan(seed=point.seed),
            over,
            point.next_attempt,
            strategy,
        )
        self.decision = self.run_.resume(point)
        self.steps_run.clear()
        return point

    def test_stages_that_hold_the_stream_go_on(self) -> None:
        """Each further token takes one step per stage."""
        self.resume()
        self.assertEqual(self.finish(), build.expected_answer())
        self.assertEqual({count for _, count in self.steps_run}, {1})

    def test_stages_that_lost_it_run_it_again(self) -> None:
        """No token is delivered twice, also after a further loss."""
        self.resume()
        self.engines = build.engines()
        self.decision = self.run_.restart(build.CHAIN)
        self.advance(3 * 6)
        self.assertEqual(self.delivered, build.expected_answer()[:6])
        self.decision = self.run_.restart(build.OTHER_CHAIN)
        self.assertEqual(self.finish(), build.expected_answer())

    def test_no_replay_without_all_inputs(self) -> None:
        """A resumed run does not know the first inputs and restarts."""
        for lost in ('b', 'f'):
            self.engines, self.delivered = build.engines(), []
            over = build.CHAIN if lost == 'b' else build.chain('f:0-6')
            self.resume(over, ReplayStrategy(1_000))
            self.advance(len(over))
            while self.decision.stage.target != lost:
                self.advance()
            engine = self.engines[lost]
            engine.load(engine.first_layer, engine.stop_layer)
            self.decision = self.run_.restart(over)
            self.assertEqual(self.decision.step.prompt, build.PROMPT)
            self.assertEqual(self.finish(), build.expected_answer())

    def test_different_tokens_end_the_draft(self) -> None:
        """Guards against joining tokens of two different answers."""
        self.resume(seed=8)
        self.decision = self.run_.restart(build.CHAIN)
        self.advance(3 * 4)
        self.assertIsInstance(self.decision, AnswerDiffers)
        self.assertEqual(len(self.delivered), 4)

    def test_the_previous_daemon_never_reaches_the_attempt(self) -> None:
        """Steps of the previous daemon are refused, also after restarts."""
        self.resume()
        previous = build.run()
        previous_step = previous.begin()
        self.advance(3)
        for _ in range(5):
            previous_step = previous.restart(build.CHAIN)
            refusal = self.run_step(previous_step)
            self.assertEqual(refusal.reason, 'old_attempt')
        self.assertEqual(self.finish(), build.expected_answer())
