"""Tests of the engine stand-in's attempts and cache lengths."""

from __future__ import annotations

import unittest

import msgspec

from nutmegspoke.engine_protocol import RefusalKind, StepRefusal
from tests import builders_pipelines as build


class StreamCachesTest(unittest.TestCase):
    """A stage runs a step once, at its cache length and highest attempt."""

    def setUp(self) -> None:
        """Run the prompt at the first stage of a chain."""
        self.engines = build.engines()
        self.first = build.run().begin().step
        self.reply = build.run_step(self.engines, 'a', self.first)
        self.length = self.reply.count

    def run_step(self, name: str = 'a', **changes: object) -> object:
        """Run the first step on an engine, with some fields changed."""
        step = msgspec.structs.replace(self.first, **changes)
        return build.run_step(self.engines, name, step)

    def expect_refusal(self, name: str = 'a', **changes: object) -> StepRefusal:
        """Run a step that must be refused, and return the refusal."""
        refusal = self.run_step(name, **changes)
        self.assertIsInstance(refusal, StepRefusal)
        return refusal

    def test_the_same_step_twice_is_run_once(self) -> None:
        """The second one is refused with the cache length of the stage."""
        refusal = self.expect_refusal()
        self.assertEqual(refusal.reason, RefusalKind.CACHE_LENGTH)
        self.assertEqual(refusal.cache_length, self.length)

    def test_a_higher_attempt_truncates_and_gives_the_same(self) -> None:
        """A retry after a lost reply does not run a position twice."""
        repeated = self.run_step(attempt=2)
        self.assertEqual(repeated.hidden, self.reply.hidden)
        following = {'prompt': '', 'tokens': (5,), 'position': self.length}
        first = self.run_step(attempt=2, **following)
        second = self.run_step(attempt=3, **following)
        self.assertEqual(first.hidden, second.hidden)

    def test_an_older_attempt_is_refused(self) -> None:
        """An older attempt is refused at any position."""
        self.run_step(attempt=2)
        for position in (0, self.length):
            refusal = self.expect_refusal(attempt=1, position=position)
            self.assertEqual(
                (refusal.reason, refusal.attempt),
                (RefusalKind.OLD_ATTEMPT, 2),
            )

    def test_an_ended_stream_does_not_come_back(self) -> None:
        """A late step of an ended attempt is refused; a higher one runs."""
        self.assertFalse(self.engines['a'].cancel('s1', attempt=0))
        self.assertTrue(self.engines['a'].cancel('s1', attempt=1))
        self.assertEqual(self.expect_refusal().reason, RefusalKind.OLD_ATTEMPT)
        self.assertEqual(self.engines['a'].stream_count(), 0)
        self.assertEqual(self.run_step(attempt=2).hidden, self.reply.hidden)

    def test_every_layer_of_a_step_must_be_filled(self) -> None:
        """A step is refused if a shorter range left some layers empty."""
        self.run_step('e', stop_layer=2)
        step = {'prompt': '', 'tokens': (5,), 'position': self.length}
        refusal = self.expect_refusal('e', stop_layer=4, attempt=2, **step)
        self.assertEqual(
            (refusal.reason, refusal.cache_length),
            (RefusalKind.CACHE_LENGTH, 0),
        )

    def test_layers_that_it_does_not_hold(self) -> None:
        """A change of layers drops the caches; the old range is refused."""
        self.engines['a'].load(0, 1)
        self.assertEqual(self.expect_refusal().reason, RefusalKind.LAYERS)
        self.assertEqual(self.engines['a'].stream_count(), 0)

    def test_an_imported_cache_goes_on(self) -> None:
        """The next step after an import has the same output."""
        block = self.engines['a'].export('s1', 0, 2)
        self.assertTrue(self.engines['f'].import_block(block))
        step = {'prompt': '', 'tokens': (5,), 'position': self.length}
        imported_reply = self.run_step('f', **step)
        self.assertEqual(imported_reply.hidden, self.run_step(**step).hidden)
        self.run_step('f', attempt=2)
        self.assertFalse(self.engines['f'].import_block(block))
