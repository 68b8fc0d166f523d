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
        'nutmegspoke/edge/followers.py',
        'URGENT_FEED_WAIT_S = 1.2',
        'URGENT_FEED_WAIT_S = 10.0',
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
        'live = open_targets(self._view, context.pool.name, now_s)',
        'live = self._view.targets.live(context.pool.name)',
        _PAUSE_TESTS,
    ),
    Mutation(
        'pauses: drafts are sent all the same',
        'nutmegspoke/edge/view.py',
        'for entry in self.pauses.filter_open(self.targets.live(pool), now_s):',
        'for entry in self.targets.live(pool):',
        _PAUSE_TESTS,
    ),
    Mutation(
        'pauses: the retry time ignores them',
        _PLAIN,
        'if math.isfinite(left_s) and not open_targets',
        'if not math.isfinite(left_s) and not open_targets',
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
