"""Mutations of doubts about connections, pauses, odd rows and stale refusals."""

from __future__ import annotations

from tests.mutation_types import Mutation

_CALLS = 'nutmegspoke/http_calls.py'
_PAUSES = 'nutmegspoke/retries/target_pauses.py'
_PLAIN = 'nutmegspoke/edge/plain_calls.py'
_CALL_TESTS = ('tests.test_http_calls.OverdueCallsTest',)
_MUTE_TESTS = ('tests.edge.test_mute_connections.MuteBesideChangesTest',)
_PAUSE_TESTS = ('tests.edge.test_target_pauses',)
_PAUSE_UNIT = ('tests.retries.test_target_pauses',)
_LIMITS = 'nutmegspoke/retries/target_limits.py'
_LIMIT_TESTS = ('tests.edge.test_target_limits',)
_LIMIT_UNIT = ('tests.retries.test_target_limits',)
_STALE_TESTS = ('tests.edge.test_stale_refusals',)

PATH_MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'paths: overdue calls are not sent again',
        _CALLS,
        "if patience_s is None or method != 'GET':",
        'if patience_s is not None or body is not None:',
        (*_CALL_TESTS, *_MUTE_TESTS),
    ),
    Mutation(
        'paths: other calls that wait are not sent again',
        _CALLS,
        '            self._doubts.spread(address)\n',
        '',
        _CALL_TESTS,
    ),
    Mutation(
        'paths: idle connections outlive a call without an answer',
        _CALLS,
        '            self._drop_idle(address)\n            raise',
        '            raise',
        _CALL_TESTS,
    ),
    Mutation(
        'paths: writes are sent again',
        _CALLS,
        "if patience_s is None or method != 'GET':",
        'if patience_s is None:',
        _CALL_TESTS,
    ),
    Mutation(
        'paths: polls of the store have no patience to lose',
        'nutmegspoke/platform/store_client.py',
        'patience_s=wait_s + _PATIENCE_S',
        'patience_s=None',
        _MUTE_TESTS,
    ),
    Mutation(
        'paths: polls of urgent tables take long',
        'nutmegspoke/membership/table_delays.py',
        'if math.isinf(self.allowed_s):',
        'if not self.has_receivers:',
        _MUTE_TESTS,
    ),
    Mutation(
        'paths: idle connections to a target outlive its silence',
        'nutmegspoke/edge/target_connections.py',
        '            self._on_unanswered(self.address)\n',
        '            pass\n',
        ('tests.edge.test_mute_targets',),
    ),
    Mutation(
        'pauses: not read',
        'nutmegspoke/platform/headers.py',
        'pause_s=_parse_pause(status, fields.get(_RETRY_AFTER)),',
        'pause_s=0.0,',
        _PAUSE_TESTS,
    ),
    Mutation(
        'pauses: without a limit',
        'nutmegspoke/platform/headers.py',
        'return min(pause_s, _MAX_PAUSE_S)',
        'return pause_s',
        ('tests.platform.test_headers',),
    ),
    Mutation(
        'pauses: calls are sent all the same',
        _PLAIN,
        'for entry in open_targets(self._view, context.pool.name, now_s)',
        'for entry in self._view.targets.live(context.pool.name)',
        _PAUSE_TESTS,
    ),
    Mutation(
        'pauses: drafts are sent all the same',
        'nutmegspoke/edge/view.py',
        'for entry in self.conditions.pauses.filter_open(\n'
        '            self.targets.live(pool), now_s\n'
        '        ):',
        'for entry in self.targets.live(pool):',
        _PAUSE_TESTS,
    ),
    Mutation(
        'pauses: the retry time ignores them',
        'nutmegspoke/edge/plain_answers.py',
        'if math.isfinite(left_s):\n            return left_s',
        'if not math.isfinite(left_s):\n            return left_s',
        _PAUSE_TESTS,
    ),
    Mutation(
        'pauses: all requests at once after them',
        _PAUSES,
        'return 0 if steps < 0 else 2**steps',
        'return 0 if steps < 0 else 10**6',
        _PAUSE_UNIT,
    ),
    Mutation(
        'pauses: a shorter one ends a longer one',
        _PAUSES,
        'if known is None or known.until_s < until_s:',
        'if known is None or until_s:',
        _PAUSE_UNIT,
    ),
    Mutation(
        'pauses: reports are polled all the same',
        'nutmegspoke/edge/engine_polls.py',
        'and not self._view.conditions.pauses.is_paused(entry.name, now_s)',
        'and entry.name',
        _PAUSE_TESTS,
    ),
    Mutation(
        'limits: calls are sent all the same',
        _PLAIN,
        'if entry.name not in closed\n',
        'if entry.name\n',
        _LIMIT_TESTS,
    ),
    Mutation(
        'limits: drafts are sent all the same',
        'nutmegspoke/edge/chain_choice.py',
        '            not_first=closed_by_limits(self._view, context, now_s),\n',
        '',
        _LIMIT_TESTS,
    ),
    Mutation(
        'limits: others are not told',
        'nutmegspoke/edge/update_receiver.py',
        '        self._view.conditions.limits.receive(update.limits, now_s)\n',
        '',
        _LIMIT_TESTS,
    ),
    Mutation(
        'limits: each host counts its own requests only',
        'nutmegspoke/edge/target_notices.py',
        'total = own_count * (1 + unheard) + others',
        'total = own_count',
        _LIMIT_TESTS,
    ),
    Mutation(
        'limits: what was sent does not bound them',
        _LIMITS,
        'return not self.has_ended and sent_count >= allowed',
        'return False',
        _LIMIT_UNIT,
    ),
    Mutation(
        'limits: others are told of requests late',
        _LIMITS,
        'return own_count + max(told_count, elsewhere)',
        'return own_count + told_count',
        _LIMIT_UNIT,
    ),
    Mutation(
        'limits: targets open independently of each other',
        _LIMITS,
        'place = math.fmod(place + chance, 1)',
        'place = 0.0',
        _LIMIT_UNIT,
    ),
    Mutation(
        'limits: they never end',
        _LIMITS,
        'return known is not None and self._end(known, now_s)',
        'return False',
        _LIMIT_UNIT,
    ),
    Mutation(
        'limits: all requests at once after the end',
        _LIMITS,
        'return rate_per_s * 2**steps',
        'return 10.0**6',
        _LIMIT_UNIT,
    ),
    Mutation(
        'limits: older news bring them back',
        _LIMITS,
        'if order <= (known.started_ms, known.answered_s):',
        'if not order:',
        _LIMIT_UNIT,
    ),
    Mutation(
        'limits: they outlive their target',
        _LIMITS,
        'return limit if limit.started_ms == entry.started_ms else None',
        'return limit',
        _LIMIT_UNIT,
    ),
    Mutation(
        'limits: odd ones are believed',
        'nutmegspoke/platform/headers.py',
        'if len(named) == 1 and _LIMIT.fullmatch(text):',
        'if text:',
        ('tests.platform.test_headers',),
    ),
    Mutation(
        'odd rows: nested too deeply',
        'nutmegspoke/untrusted.py',
        '    RecursionError,\n',
        '',
        ('tests.test_untrusted', 'tests.edge.test_odd_rows'),
    ),
    Mutation(
        'odd rows: daemons without an address',
        'nutmegspoke/edge/listeners.py',
        '    ipaddress.IPv4Address(daemon.ip)\n',
        '',
        ('tests.test_untrusted',),
    ),
    Mutation(
        'refusals: connections are kept after any',
        'nutmegspoke/edge/attempts.py',
        'if is_whole and facts.request_id:',
        'if is_whole:',
        _STALE_TESTS,
    ),
    Mutation(
        'refusals: connections are kept after none',
        'nutmegspoke/edge/attempts.py',
        'if is_whole and facts.request_id:',
        'if is_whole and not facts:',
        _STALE_TESTS,
    ),
)
