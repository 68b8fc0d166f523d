"""Mutations of the claims, the call path and the retries."""

from __future__ import annotations

from tests.mutation_types import Mutation

_MACHINE = ('tests.claims.test_machine',)
_DECIDER = ('tests.claims.test_decider',)
_CALLS = ('tests.border.test_calls',)
_CLAIMS = 'nutmegspoke/claims'
_BORDER = 'nutmegspoke/border'

CLAIM_MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'promise-4 claim insert has no condition',
        f'{_CLAIMS}/held.py',
        '            conditions=(platform.Condition(key, self.version),),',
        '            conditions=(),',
        _MACHINE,
    ),
    Mutation(
        'promise-4 absent row read back counts as claimed',
        f'{_CLAIMS}/decider.py',
        (
            '            return self._insert(held, now_s)\n'
            '        return self._meet(held, found, now_s)'
        ),
        (
            '            return self._hold(held, found.version + 1)\n'
            '        return self._meet(held, found, now_s)'
        ),
        _MACHINE,
    ),
    Mutation(
        'promise-4 claim given up is not released',
        f'{_CLAIMS}/decider.py',
        (
            '        if held.is_doubtful:\n'
            '            self._release(held, now_s)'
        ),
        ('        if False:\n            self._release(held, now_s)'),
        _MACHINE,
    ),
    Mutation(
        'promise-4 release deletes the row',
        f'{_CLAIMS}/held.py',
        '            writes=(platform.Write(key, rows.encode_claim(self.row)),),',
        '            writes=(platform.Write(key, None if self.phase is Phase.RELEASING else rows.encode_claim(self.row)),),',
        _DECIDER,
    ),
    Mutation(
        'promise-4 claim passes to another daemon',
        f'{_CLAIMS}/decider.py',
        '            row is not None and row.state is rows.ClaimState.RELEASED',
        '            row is not None and row.outcome is None',
        _MACHINE,
    ),
    Mutation(
        'promise-4 unknown outcome releases the claim',
        f'{_CLAIMS}/decider.py',
        '        if isinstance(outcome, outcomes.NotRun):',
        '        if isinstance(outcome, outcomes.NotRun | outcomes.Unknown):',
        _MACHINE,
    ),
    Mutation(
        'promise-4 refused call keeps its claim',
        f'{_CLAIMS}/decider.py',
        ('            self._release(held, now_s)\n            return'),
        '            return',
        _MACHINE,
    ),
    Mutation(
        'promise-4 same key on one daemon is not noticed',
        f'{_CLAIMS}/decider.py',
        ('        if held is not None:\n            return Answer'),
        ('        if False:\n            return Answer'),
        _MACHINE,
    ),
    Mutation(
        'promise-4 own row after lost answer is not known',
        f'{_CLAIMS}/decider.py',
        '        if row is not None and row.nonce == held.row.nonce:',
        '        if False:',
        _MACHINE,
    ),
    Mutation(
        'promise-4 key with another body is not noticed',
        f'{_CLAIMS}/replies.py',
        '        if row.fingerprint != request.fingerprint:',
        '        if False:',
        _MACHINE,
    ),
    Mutation(
        'promise-4 operator settles under a live holder',
        f'{_CLAIMS}/settlement.py',
        '    if row.daemon in live_daemons and row.outcome is None:',
        '    if False:',
        _MACHINE,
    ),
    Mutation(
        'promise-4 stale claim is dispatched',
        f'{_CLAIMS}/decider.py',
        (
            '        if held.age_s(now_s) > self._limits.max_age_s:\n'
            '            return Answer(replies.claim_stale())'
        ),
        ('        if False:\n            return Answer(replies.claim_stale())'),
        _CALLS,
    ),
    Mutation(
        'promise-4 client sends a second time',
        f'{_BORDER}/service_client.py',
        '        if self.has_left or not self.may_leave():',
        '        if not self.may_leave():',
        _CALLS,
    ),
    Mutation(
        'promise-4 lost answer counts as not sent',
        f'{_BORDER}/service_client.py',
        ('    if not departure.has_left:\n        return NotSent(reason)'),
        ('    if True:\n        return NotSent(reason)'),
        _CALLS,
    ),
    Mutation(
        'promise-4 unmarked refusal counts as not run',
        f'{_BORDER}/service_client.py',
        "    if response.headers.get(_EXECUTED_HEADER) != 'no':",
        '    if False:',
        _CALLS,
    ),
)
