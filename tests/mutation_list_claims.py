"""Mutations of the claims, the call path and the retries."""

from __future__ import annotations

from tests.mutation_types import Mutation

_MACHINE = ('tests.claims.test_machine',)
_DECIDER = ('tests.claims.test_decider',)
_CALLS = ('tests.border.test_calls',)
_FAULTS = ('tests.border.test_calls_faults',)
_QUARANTINE = ('tests.retries.test_quarantine',)
_OUTLIERS = ('tests.retries.test_outliers', 'tests.border.test_calls_faults')
_REFUSALS = ('tests.border.test_refusals.CallRefusalsTest',)
_CLAIMS = 'nutmegspoke/claims'
_BORDER = 'nutmegspoke/border'
_RETRIES = 'nutmegspoke/retries'

CLAIM_MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'promise-4 claim insert has no condition',
        f'{_CLAIMS}/held.py',
        '            conditions=(metadata_store.Condition(key, self.version),),',
        '            conditions=(),',
        _MACHINE,
    ),
    Mutation(
        'promise-4 absent row read back counts as claimed',
        f'{_CLAIMS}/decider.py',
        (
            '            return self._insert(claim, now_s)\n'
            '        return self._handle_found_row(claim, found, now_s)'
        ),
        (
            '            return self._mark_held(claim, found.version + 1)\n'
            '        return self._handle_found_row(claim, found, now_s)'
        ),
        _MACHINE,
    ),
    Mutation(
        'promise-4 abandoned claim is not released',
        f'{_CLAIMS}/decider.py',
        (
            '        if claim.may_be_written:\n'
            '            self._release(claim, now_s)'
        ),
        ('        if False:\n            self._release(claim, now_s)'),
        _DECIDER,
    ),
    Mutation(
        'promise-4 release deletes the row',
        f'{_CLAIMS}/held.py',
        '            writes=(metadata_store.Write(key, rows.encode_claim(self.row)),),',
        '            writes=(metadata_store.Write(key, None if self.phase is Phase.RELEASING else rows.encode_claim(self.row)),),',
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
        ('            self._release(claim, now_s)\n            return'),
        '            return',
        _MACHINE,
    ),
    Mutation(
        'promise-4 same key on one daemon is not detected',
        f'{_CLAIMS}/decider.py',
        ('        if claim is not None:\n            return Answer'),
        ('        if False:\n            return Answer'),
        _MACHINE,
    ),
    Mutation(
        'promise-4 own row is not recognized after a lost answer',
        f'{_CLAIMS}/decider.py',
        '        if row is not None and row.nonce == claim.row.nonce:',
        '        if False:',
        _MACHINE,
    ),
    Mutation(
        'promise-4 key reused with another body is not detected',
        f'{_CLAIMS}/replies.py',
        '        if row.fingerprint != request.fingerprint:',
        '        if False:',
        _MACHINE,
    ),
    Mutation(
        'promise-4 settlement ignores a live holder',
        f'{_CLAIMS}/settlement.py',
        '    if row.daemon in live_daemons and row.outcome is None:',
        '    if False:',
        ('tests.claims.test_settlement',),
    ),
    Mutation(
        'promise-4 stale claim is dispatched',
        f'{_CLAIMS}/decider.py',
        (
            '        if claim.age_s(now_s) > self._limits.max_age_s:\n'
            '            return Answer(replies.claim_stale())'
        ),
        ('        if False:\n            return Answer(replies.claim_stale())'),
        _CALLS,
    ),
    Mutation(
        'promise-4 client sends a call twice',
        f'{_BORDER}/service_client.py',
        '        if self.is_sent or not self.may_send():',
        '        if not self.may_send():',
        _CALLS,
    ),
    Mutation(
        'promise-4 lost answer counts as not sent',
        f'{_BORDER}/service_client.py',
        '    if not guard.is_sent:\n        return NotSent(',
        '    if True:\n        return NotSent(',
        _CALLS,
    ),
    Mutation(
        'promise-4 refusal without the executed header counts as not run',
        f'{_BORDER}/service_client.py',
        "    if response.headers.get(_EXECUTED_HEADER) != 'no':",
        '    if False:',
        _FAULTS,
    ),
    Mutation(
        'promise-3 call is retried after a lost answer',
        f'{_BORDER}/call_run.py',
        'return self.is_repeatable or self.unknown is None',
        'return True',
        _FAULTS,
    ),
    Mutation(
        'promise-3 refused connection is reported as unknown',
        f'{_BORDER}/service_client.py',
        '    if not guard.is_sent:\n        return NotSent(',
        '    if False:\n        return NotSent(',
        _FAULTS,
    ),
    Mutation(
        'promise-3 redirects are followed',
        f'{_BORDER}/service_client.py',
        'allow_redirects=False',
        'allow_redirects=True',
        _FAULTS,
    ),
    Mutation(
        'promise-4 disconnect of the caller cancels its call',
        f'{_BORDER}/calls.py',
        'return await asyncio.shield(task)',
        'return await task',
        _FAULTS,
    ),
    Mutation(
        'promise-4 a conflict fails the whole group',
        f'{_CLAIMS}/grouping.py',
        'failed = {member: part for member, part in parts.items() if part.rows}',
        'failed = dict(parts)',
        ('tests.claims.test_grouping',),
    ),
    Mutation(
        'promise-4 claims exceed the write share of the daemon',
        f'{_CLAIMS}/share.py',
        '        if wait_s <= 0:\n',
        '        if True:\n',
        ('tests.claims.test_grouping',),
    ),
    Mutation(
        'poison second crash quarantines no request',
        f'{_RETRIES}/crash_records.py',
        '            if suspect.targets - {target}:\n',
        '            if False:\n',
        _QUARANTINE,
    ),
    Mutation(
        'poison suspects are sent to the same target',
        f'{_RETRIES}/quarantine.py',
        'free = [name for name in targets if not self._has_suspect(name)]',
        'free = list(targets)',
        _QUARANTINE,
    ),
    Mutation(
        'poison all of several candidates are quarantined',
        f'{_RETRIES}/quarantine.py',
        '        if len(crash.candidates) > 1:\n            self._lift_quarantines(target, crash, now_s)\n            return ()\n',
        '',
        _QUARANTINE,
    ),
    Mutation(
        'poison completion does not clear the suspicion',
        f'{_RETRIES}/quarantine.py',
        'if not self.suspects.clear(fingerprint):',
        'if True:',
        _QUARANTINE,
    ),
    Mutation(
        'poison refused connection counts as a crash',
        f'{_BORDER}/target_health.py',
        'if isinstance(attempt, service_client.NotSent):\n            self._quarantine',
        'if False:\n            self._quarantine',
        _FAULTS,
    ),
    Mutation(
        'silent service: the target is retried on a new connection',
        f'{_BORDER}/call_attempts.py',
        '            run.silent_target = target\n',
        '            run.tried.add(target.name)\n',
        _FAULTS,
    ),
    Mutation(
        'retries: budget is not checked',
        f'{_RETRIES}/budget.py',
        '        if self.available < 1:\n',
        '        if False:\n',
        _OUTLIERS,
    ),
    Mutation(
        'retries: outliers are not ejected',
        f'{_RETRIES}/outliers.py',
        'if is_new and self._is_outlier(target.name, targets, now_s):',
        'if False:',
        _OUTLIERS,
    ),
    Mutation(
        'retries: number of ejected targets is not limited',
        f'{_RETRIES}/outliers.py',
        '            if len(ejected) >= limit:\n',
        '            if False:\n',
        _OUTLIERS,
    ),
)
