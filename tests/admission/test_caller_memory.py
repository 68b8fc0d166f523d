"""Tests of the memory that requests of all callers take together."""

from __future__ import annotations

import unittest

from nutmegspoke.admission.answer_memory import (
    AnswerMemory,
    HeldAnswer,
    shared_bytes,
)
from nutmegspoke.admission.caller_memory import (
    SMALL_BYTES,
    CallerAccount,
    CallerMemory,
)

_MEMORY_BYTES = 300_000_000
_BODY_BYTES = 4_194_304
_CALLERS = 100


class CallerMemoryTest(unittest.TestCase):
    """Requests share memory; those that stall make room for the others."""

    def setUp(self) -> None:
        """Hold nothing."""
        self.answers = AnswerMemory.from_memory_limit(_MEMORY_BYTES)
        self.memory = CallerMemory(self.answers, _MEMORY_BYTES)
        self.shed: list[str] = []

    def test_many_bodies_that_stop_short(self) -> None:
        """Guards against a process that holds all bodies of many callers.

        Each of them was within the limit, all of them together were not.
        """
        for number in range(_CALLERS):
            self._open(str(number)).hold_waiting(_BODY_BYTES)
            self.memory.shed_excess(0.0)
            self.assertLessEqual(
                self.memory.held_bytes, shared_bytes(_MEMORY_BYTES)
            )
        self.assertEqual(self.memory.shed_count, len(self.shed))
        self.assertTrue(self.shed)

    def test_who_progresses_stays(self) -> None:
        """Guards against a caller that is refused though others stall.

        It holds most, but has just come further.
        """
        limit = self.memory.limit_bytes
        stalled = self._open('stalled')
        stalled.hold_waiting(limit // 3)
        moving = self._open('moving')
        moving.hold_waiting(limit)
        moving.progressed(10.0)
        self.memory.shed_excess(10.0)
        self.assertEqual(self.shed, ['stalled'])

    def test_who_holds_most_goes_first(self) -> None:
        """Guards against many refusals where one is enough."""
        limit = self.memory.limit_bytes
        for share in (4, 1, 3):
            self._open(str(share)).hold_waiting(limit // share)
        self.memory.shed_excess(1.0)
        self.assertEqual(self.shed, ['1'])

    def test_small_requests_are_not_refused(self) -> None:
        """Guards against ordinary callers that pay for a crowd."""
        small = self._open('small')
        small.hold_waiting(SMALL_BYTES)
        self._open('large').hold_waiting(2 * self.memory.limit_bytes)
        self.memory.shed_excess(100.0)
        self.assertEqual(self.shed, ['large'])
        self.assertEqual(self.memory.held_bytes, SMALL_BYTES)
        self.assertTrue(self.memory.make_room(SMALL_BYTES, 100.0))

    def test_an_answer_that_is_not_read_makes_room(self) -> None:
        """Guards against answers that callers leave unread for long."""
        self._open('unread').hold_unread(self.memory.limit_bytes)
        self._open('body').hold_waiting(_BODY_BYTES)
        self.memory.shed_excess(1.0)
        self.assertEqual(self.shed, ['unread'])

    def test_requests_that_run_are_bounded(self) -> None:
        """Guards against whole requests that together take all memory.

        What runs can't be refused any more, so the next one doesn't begin.
        """
        started = 0
        while self.memory.make_room(2 * _BODY_BYTES, 0.0):
            self._open('running').hold_running(2 * _BODY_BYTES)
            started += 1
        self.assertLessEqual(self.memory.held_bytes, self.memory.limit_bytes)
        self.assertGreater(started, 1)
        self.assertEqual(self.shed, [])

    def test_a_request_alone_runs(self) -> None:
        """Guards against a host so small that it refuses each large request."""
        self.memory.set_memory_limit(_BODY_BYTES)
        self.assertTrue(self.memory.make_room(2 * _BODY_BYTES, 0.0))

    def test_a_whole_request_takes_the_place_of_a_part(self) -> None:
        """A request that could run is served rather than one that waits."""
        self._open('running').hold_running(SMALL_BYTES)
        self._open('part').hold_waiting(self.memory.limit_bytes)
        self.assertTrue(self.memory.make_room(2 * _BODY_BYTES, 1.0))
        self.assertEqual(self.shed, ['part'])

    def test_answers_and_requests_share(self) -> None:
        """Guards against two limits that together exceed the memory."""
        alone = self.memory.limit_bytes
        answer = HeldAnswer(self.answers)
        answer.add(_BODY_BYTES)
        self.assertEqual(self.memory.limit_bytes, alone - _BODY_BYTES)
        for _ in range(_CALLERS):
            HeldAnswer(self.answers).add(_BODY_BYTES)
        self.assertEqual(self.memory.limit_bytes, alone // 2)

    def test_the_share_of_answers_is_as_before(self) -> None:
        """Guards against a host of the usual size that holds less answers."""
        self.assertEqual(self.answers.longest_bytes(), 8_388_608)
        self.assertGreater(shared_bytes(_MEMORY_BYTES), _MEMORY_BYTES * 0.3)

    def test_all_is_given_back(self) -> None:
        """Guards against memory that is counted for connections that ended."""
        account = self._open('gone')
        account.hold_waiting(_BODY_BYTES)
        account.hold_running(_BODY_BYTES)
        account.hold_unread(_BODY_BYTES)
        account.release()
        self.assertEqual(self.memory.held_bytes, 0)
        self.assertEqual(self.memory.running_bytes, 0)
        self.assertTrue(self.memory.make_room(self.memory.limit_bytes, 0.0))
        self.assertEqual(self.shed, [])

    def _open(self, name: str) -> CallerAccount:
        """Return the account of a connection that gives back what it can."""

        def shed() -> None:
            self.shed.append(name)
            account.hold_waiting(0)
            account.hold_unread(0)

        account = CallerAccount(self.memory, shed, 0.0)
        return account
