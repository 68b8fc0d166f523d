"""Mutations of copies of slow requests."""

from __future__ import annotations

from tests.mutation_types import Mutation

_CALLS = 'nutmegspoke/edge/hedged_calls.py'
_POLICY = 'nutmegspoke/retries/hedging.py'
_MODEL = 'tests.retries.test_hedging_model.HedgingModelTest.'
_CALL_TESTS = 'tests.edge.test_hedged_calls.'
_DRAFT_TESTS = 'tests.edge.test_hedged_drafts.'

HEDGING_MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'hedging: copies while all targets are slow',
        _POLICY,
        '(Withheld.ALL_SLOW, self._are_all_slow(exchange, delay_s, now_s)),',
        '',
        (f'{_MODEL}test_all_targets_slow_at_once',),
    ),
    Mutation(
        'hedging: a slow tenth of targets raises the delay',
        'nutmegspoke/retries/latencies.py',
        'return statistics.median(known_s)',
        'return max(known_s)',
        (f'{_MODEL}test_a_slow_tenth_of_targets',),
    ),
    Mutation(
        'hedging: each daemon has the limit for itself',
        'nutmegspoke/retries/copy_shares.py',
        'copied = self._count(pool, now_s) + known.copied_elsewhere\n'
        '        return copied + 1',
        'copied = self._count(pool, now_s)\n        return copied + 1',
        (f'{_CALL_TESTS}SharedLimitTest',),
    ),
    Mutation(
        'hedging: copies use up the retries of failed requests',
        'nutmegspoke/edge/copies.py',
        '_RESERVED_RETRIES = 2',
        '_RESERVED_RETRIES = 0',
        (f'{_CALL_TESTS}WithheldCopiesTest.test_few_retries_are_left',),
    ),
    Mutation(
        'hedging: the loser goes on',
        _CALLS,
        '            run.task.cancel()\n',
        '            run.held.another()\n',
        (f'{_CALL_TESTS}HedgedCallsTest.test_the_first_answers_late',),
    ),
    Mutation(
        'hedging: an error of one target wins',
        _CALLS,
        'return result.facts.kind != AnswerKind.FAILURE',
        'return True',
        (f'{_CALL_TESTS}HedgeFailuresTest.test_an_error_of_the_copy',),
    ),
    Mutation(
        'hedging: a head of a draft wins',
        'nutmegspoke/edge/draft_replacements.py',
        '            if search.first_event is not None:\n'
        '                await self._take_head(search, run)\n',
        '',
        (
            f'{_DRAFT_TESTS}HedgedDraftsTest.'
            'test_the_first_run_has_the_first_event',
        ),
    ),
)
