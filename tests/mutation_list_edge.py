"""Mutations of the daemon on the users' platform."""

from __future__ import annotations

from tests.mutation_types import Mutation

_MEMBERSHIP = 'nutmegspoke/membership'
_ROUTING = 'nutmegspoke/routing'
_RETRIES = 'nutmegspoke/retries'

EDGE_MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'edge: a feed counts as behind without its usual delay',
        f'{_MEMBERSHIP}/feed_versions.py',
        'BEHIND_LIMIT_S + lag_s:',
        'BEHIND_LIMIT_S:',
        ('tests.membership.test_feed_versions',),
    ),
    Mutation(
        'edge: an update after missing versions is applied',
        f'{_MEMBERSHIP}/table_news.py',
        'not update.since <= version < update.version',
        'not version < update.version',
        ('tests.membership.test_table_news',),
    ),
    Mutation(
        'edge: known changes are applied again',
        f'{_MEMBERSHIP}/table_news.py',
        '        if changed > version:\n',
        '        if changed:\n',
        ('tests.membership.test_table_news',),
    ),
    Mutation(
        'edge: an outdated entry takes its address back',
        f'{_MEMBERSHIP}/target_entries.py',
        'self._versions[other.name] > version for other in others',
        'False for other in others',
        ('tests.membership.test_target_entries',),
    ),
    Mutation(
        'edge: layers that an engine is unloading are used',
        f'{_MEMBERSHIP}/layer_moves.py',
        'return common_layers(entry.layers, reassignment.wanted)',
        'return entry.layers',
        ('tests.membership.test_layer_moves',),
    ),
    Mutation(
        'edge: every feed probes a failing store',
        f'{_MEMBERSHIP}/store_health.py',
        '        if self._probing_caller is not None:\n            return _PAUSES_S[0]\n',
        '',
        ('tests.membership.test_store_health',),
    ),
    Mutation(
        'edge: a loss received from a peer is sent on',
        f'{_MEMBERSHIP}/lost_engines.py',
        '        for target in targets:\n            self._notify(target, now_s)\n',
        '        for target in targets:\n            self.record_loss(target, now_s)\n',
        ('tests.membership.test_lost_engines',),
    ),
    Mutation(
        'edge: every daemon reads a busy table',
        f'{_MEMBERSHIP}/common_work.py',
        'return rank(own, live_daemons) < READER_COUNT',
        'return True',
        ('tests.membership.test_common_work',),
    ),
    Mutation(
        'edge: addresses may change while a daemon runs',
        f'{_MEMBERSHIP}/host_changes.py',
        "_CHANGEABLE = ('store_address', 'limits', 'bounds', 'hedging')",
        "_CHANGEABLE = ('limits', 'bounds', 'callers_port')",
        ('tests.membership.test_host_changes',),
    ),
    Mutation(
        'edge: a new leader restarts the age of a gap',
        'nutmegspoke/placement/zone_gaps.py',
        'zone: self._since_s.get(zone, now_s) for zone in zones',
        'zone: now_s for zone in zones',
        ('tests.placement.test_zone_gaps',),
    ),
    Mutation(
        'edge: a planned departure is not replaced at once',
        'nutmegspoke/placement/zone_gaps.py',
        'if zone in self._permanent or now_s',
        'if now_s',
        ('tests.placement.test_zone_gaps',),
    ),
    Mutation(
        'edge: the burst ignores the number of daemons',
        f'{_ROUTING}/crossing_budget.py',
        'bucket.burst = max(1.0, rate_per_s * _BURST_S)',
        'bucket.burst = max(1.0, self._rate_per_s * _BURST_S)',
        ('tests.routing.test_crossing_budget',),
    ),
    Mutation(
        'edge: a faster chain across zones is preferred',
        f'{_ROUTING}/room_chains.py',
        'return in_one_zone or self.find(engines, need, options)',
        'return self.find(engines, need, options)',
        ('tests.routing.test_crossing_budget',),
    ),
    Mutation(
        'edge: no cost jitter between daemons',
        f'{_ROUTING}/room_chains.py',
        'return 1.0 + self.max_increase * fraction',
        'return 1.0',
        ('tests.routing.test_room_chains',),
    ),
    Mutation(
        'edge: borrowed retries are not limited',
        f'{_RETRIES}/window_budget.py',
        'return max(0.0, available) / max(1, daemon_count) - recently_borrowed',
        'return max(0.0, available) - recently_borrowed',
        ('tests.retries.test_window_budget',),
    ),
    Mutation(
        'edge: no retries are borrowed',
        f'{_RETRIES}/window_budget.py',
        '        if self._borrowable(daemon_count, now_s, others) >= 1:\n',
        '        if daemon_count < 0:\n',
        ('tests.retries.test_window_budget',),
    ),
    Mutation(
        'edge: the number of targets of a draft is not limited',
        'nutmegspoke/edge/work.py',
        'return alive if len(alive) >= self.route.max_targets else None',
        'return None',
        ('tests.edge.test_daemon.BrokenAnswersTest',),
    ),
    Mutation(
        'edge: a run ends as soon as its engine is silent',
        'nutmegspoke/edge/draft_replacements.py',
        '        search.add_run(silent_run)\n',
        '        search.add_run(silent_run)\n        self._runs.end(silent_run)\n',
        ('tests.edge.test_silent_engines.SilenceWithoutReplicaTest',),
    ),
    Mutation(
        'edge: the losing run of a draft goes on',
        'nutmegspoke/edge/draft_replacements.py',
        '            if run is not next_run:\n                self._runs.end(run)\n',
        '',
        ('tests.edge.test_silent_engines.SilenceWithReplicaTest',),
    ),
    Mutation(
        'edge: a silent call is given up though no other target exists',
        'nutmegspoke/edge/plain_calls.py',
        '        if self._choose_target(context, self._clock.now_s()) is None:\n            return False\n',
        '',
        ('tests.edge.test_silent_engines.SilentCallsTest',),
    ),
    Mutation(
        'edge: connections to a target are not limited',
        'nutmegspoke/edge/target_connections.py',
        'if self._counts.of(address) >= max_connections:',
        'if False:',
        ('tests.edge.test_target_connections',),
    ),
    Mutation(
        'edge: connections are never reused',
        'nutmegspoke/edge/answer_reader.py',
        'self._keep_alive = self._parser.should_keep_alive()',
        'self._keep_alive = False',
        ('tests.edge.test_target_connections',),
    ),
    Mutation(
        'edge: the profile of a removed pool is forgotten at once',
        'nutmegspoke/edge/view.py',
        '{**kept_profiles, **profiles}',
        'profiles',
        ('tests.edge.test_changed_tables.KeptProfileTest',),
    ),
    Mutation(
        'edge: chains are found with the profile of the newest tables',
        'nutmegspoke/edge/chain_choice.py',
        'profile = context.pool.profile\n        gap_goal_s',
        'profile = self._view.tables.pools[context.pool.name].profile\n'
        '        gap_goal_s',
        ('tests.edge.test_changed_tables.ChangedPoolTest',),
    ),
    Mutation(
        'edge: an error after a request was sent is answered as not run',
        'nutmegspoke/edge/own_answers.py',
        'if not context.has_target:',
        'if True:',
        ('tests.edge.test_changed_tables.HandlerErrorTest',),
    ),
    Mutation(
        'edge: an unexpected error closes the connection',
        'nutmegspoke/edge/caller_answer.py',
        '        if self.has_begun:\n            self.abort()',
        '        if True:\n            self.abort()',
        ('tests.edge.test_changed_tables.HandlerErrorTest',),
    ),
)
