"""Tests of the memory for answers that are held until they are complete."""

from __future__ import annotations

import unittest

from nutmegspoke.admission.answer_memory import (
    MAX_ANSWER_BYTES,
    AnswerMemory,
    HeldAnswer,
)

_PART_BYTES = 65_536
_MEMORY_BYTES = 300_000_000
_SMALL_BYTES = 800


class AnswerMemoryTest(unittest.TestCase):
    """Answers share memory; those without end leave room for the others."""

    def setUp(self) -> None:
        """Hold nothing."""
        self.memory = AnswerMemory.from_memory_limit(_MEMORY_BYTES)

    def test_many_answers_without_end(self) -> None:
        """Guards against a process that holds all bytes of faulty targets.

        Each of them was bounded, all of them together were not.
        """
        growing = [HeldAnswer(self.memory) for _ in range(200)]
        largest_bytes = 0
        while growing:
            for answer in tuple(growing):
                is_held = answer.add(_PART_BYTES)
                largest_bytes = max(largest_bytes, self.memory.held_bytes)
                if not is_held:
                    answer.release()
                    growing.remove(answer)
                small = HeldAnswer(self.memory)
                self.assertTrue(small.add(_SMALL_BYTES))
                small.release()
        self.assertLess(largest_bytes, _MEMORY_BYTES / 2)
        self.assertEqual(self.memory.held_bytes, 0)
        self.assertEqual(self.memory.refused_count, 200)

    def test_a_long_answer_alone(self) -> None:
        """One answer may be as long as before."""
        answer = HeldAnswer(self.memory)
        self.assertTrue(answer.add(MAX_ANSWER_BYTES))
        self.assertFalse(answer.add(1))
