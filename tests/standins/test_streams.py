"""Tests of the engine stand-in's attempts and cache lengths."""

from __future__ import annotations

import unittest

import msgspec

from nutmegspoke.engine_protocol import RefusalKind, StepRefusal
from tests import builders_pipelines as build


class StreamCachesTest(unittest.TestCase):
    """A stage takes a step once, at its cache length, of the newest attempt."""

    def setUp(self) -> None:
        """Run the prompt at the first stage."""
        self.held = build.engines()
        self.first = build.run().begin().step
        self.reply = build.run_step(self.held, 'a', self.first)
        self.length = self.reply.count

    def ask(self, name: str = 'a', **changes: object) -> object:
        """Give the first step, changed, to an engine."""
        step = msgspec.structs.replace(self.first, **changes)
        return build.run_step(self.held, name, step)

    def refusal(self, name: str = 'a', **changes: object) -> StepRefusal:
        """Give a step that must be refused."""
        refusal = self.ask(name, **changes)
        self.assertIsInstance(refusal, StepRefusal)
        return refusal

    def test_the_same_step_twice_is_run_once(self) -> None:
        """The second one is refused with the length that the stage holds."""
        refusal = self.refusal()
        self.assertEqual(refusal.reason, RefusalKind.CACHE_LENGTH)
        self.assertEqual(refusal.cache_length, self.length)

    def test_a_higher_attempt_truncates_and_gives_the_same(self) -> None:
        """A retry after a lost reply does not run a position twice."""
        again = self.ask(attempt=2)
        self.assertEqual(again.hidden, self.reply.hidden)
        following = {'prompt': '', 'tokens': (5,), 'position': self.length}
        once = self.ask(attempt=2, **following)
        twice = self.ask(attempt=3, **following)
        self.assertEqual(once.hidden, twice.hidden)

    def test_an_older_attempt_is_refused(self) -> None:
        """Whatever its position."""
        self.ask(attempt=2)
        for position in (0, self.length):
            refusal = self.refusal(attempt=1, position=position)
            self.assertEqual(
                (refusal.reason, refusal.attempt),
                (RefusalKind.OLD_ATTEMPT, 2),
            )

    def test_an_ended_stream_does_not_come_back(self) -> None:
        """A late step of an ended attempt is refused, a newer one runs."""
        self.assertFalse(self.held['a'].cancel('s1', attempt=0))
        self.assertTrue(self.held['a'].cancel('s1', attempt=1))
        self.assertEqual(self.refusal().reason, RefusalKind.OLD_ATTEMPT)
        self.assertEqual(self.held['a'].stream_count(), 0)
        self.assertEqual(self.ask(attempt=2).hidden, self.reply.hidden)

    def test_every_layer_of_a_step_must_be_filled(self) -> None:
        """Layers that a shorter range left empty are noticed."""
        self.ask('e', stop_layer=2)
        step = {'prompt': '', 'tokens': (5,), 'position': self.length}
        refusal = self.refusal('e', stop_layer=4, attempt=2, **step)
        self.assertEqual(
            (refusal.reason, refusal.cache_length),
            (RefusalKind.CACHE_LENGTH, 0),
        )

    def test_layers_that_it_does_not_hold(self) -> None:
        """A changed range refuses the old one and has lost its caches."""
        self.held['a'].load(0, 1)
        self.assertEqual(self.refusal().reason, RefusalKind.LAYERS)
        self.assertEqual(self.held['a'].stream_count(), 0)

    def test_an_imported_cache_goes_on(self) -> None:
        """Exported and imported, the next step gives the same."""
        block = self.held['a'].export('s1', 0, 2)
        self.assertTrue(self.held['f'].take(block))
        step = {'prompt': '', 'tokens': (5,), 'position': self.length}
        there = self.ask('f', **step)
        self.assertEqual(there.hidden, self.ask(**step).hidden)
        self.ask('f', attempt=2)
        self.assertFalse(self.held['f'].take(block))
