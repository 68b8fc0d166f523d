"""Property: each whole request gets one answer, whatever changes meanwhile."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from typing import Any

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from tests.edge import changing_tables as play

_requests = st.tuples(
    st.just('request'),
    st.sampled_from(play.PATHS),
    st.sampled_from(play.METHODS),
    st.one_of(st.just({}), st.sampled_from(play.ODD_HEADERS)),
    st.booleans(),
)
_changes = st.tuples(
    st.just('change'),
    st.sampled_from(play.CHANGES),
    st.integers(0, 3),
    st.booleans(),
)
_faults = st.tuples(
    st.just('fault'),
    st.sampled_from(play.TARGETS),
    st.sampled_from(play.FAULTS),
)
_losses = st.tuples(
    st.just('fault'), st.sampled_from(play.TARGETS), st.just('lose')
)
# Requests run or wait at faulty targets, then the tables change under them,
# then targets are lost so that some requests need others.
_steps = st.tuples(
    st.lists(_faults, min_size=1, max_size=3),
    st.lists(_requests, min_size=2, max_size=5),
    st.lists(_changes, min_size=1, max_size=3),
    st.lists(_losses, max_size=2),
    st.lists(st.one_of(_requests, _changes), max_size=4),
).map(lambda parts: list(itertools.chain.from_iterable(parts)))
# Logged ends of an answer that had begun.
_CUT_OUTCOMES = frozenset(('cut', 'error'))


class ChangingTablesTest(unittest.TestCase):
    """Requests of each kind are read, wait, run and are retried meanwhile."""

    @settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=20,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given(_steps)
    def test_each_request_gets_one_answer(
        self, steps: list[tuple[Any, ...]]
    ) -> None:
        """Guards against a connection closed without an answer."""
        asyncio.run(self._play(steps))

    async def _play(self, steps: list[tuple[Any, ...]]) -> None:
        game = play.Play()
        await game.start()
        for kind, *parts in steps:
            match kind, parts:
                case 'request', [path, method, headers, is_whole]:
                    await game.request(path, method, headers, is_whole=is_whole)
                case 'change', [change, skipped, is_awaited]:
                    await game.change(change, skipped, is_awaited=is_awaited)
                case 'fault', [target, fault]:
                    await game.break_target(target, fault)
        for answered in await game.finish():
            self._check(game, answered)

    def _check(self, game: play.Play, answered: play.Answered) -> None:
        request_id = answered.request_id
        self.assertTrue(answered.has_head, request_id)
        if answered.is_one_answer:
            return
        lines = [
            line
            for line in game.deployment.events('request_ended')
            if line['request'] == request_id
        ]
        outcomes = {line['outcome'] for line in lines if line['reason']}
        self.assertTrue(outcomes & _CUT_OUTCOMES, (request_id, lines))
