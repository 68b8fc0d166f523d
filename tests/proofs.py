"""Tests that prove each promise.

A scenario names the promise that it proves in its own file.
"""

from __future__ import annotations

PROOFS: dict[str, tuple[str, ...]] = {
    'promise-1': (
        'tests.pipelines.test_receipts',
        'tests.pipelines.test_run',
        'tests.pipelines.test_run_interleavings',
        'tests.standins.test_streams',
    ),
    'promise-2': (
        'tests.border.test_draft_sessions',
        'tests.border.test_drafts',
        'tests.pipelines.test_processes',
        'tests.pipelines.test_resume',
    ),
    'promise-3': (
        'tests.border.test_refusals',
        'tests.border.test_calls_faults.UnrepeatableFaultTest',
    ),
    'promise-4': (
        'tests.claims.test_machine',
        'tests.claims.test_decider',
        'tests.claims.test_grouping',
        'tests.claims.test_settlement',
        'tests.cmd.test_cli_processes',
        'tests.border.test_calls.UnrepeatableCallTest',
    ),
    'promise-5': (
        'tests.membership.test_directory',
        'tests.membership.test_gossip',
    ),
    'promise-6': ('tests.membership.test_stopping',),
    'promise-7': (
        'tests.membership.test_table_passing',
        'tests.tables.test_revisions',
        'tests.tables.test_interleavings',
        'tests.border.test_apply',
        'tests.border.test_tables_watch',
        'tests.cmd.test_cli_processes',
    ),
    'silent-connections': (
        'tests.border.test_peers',
        'tests.border.test_carriers',
        'tests.border.test_calls_faults.RepeatableFaultTest',
        'tests.border.test_platform_client',
    ),
    'poison': (
        'tests.border.test_drafts.PoisonTest',
        'tests.retries.test_quarantine',
    ),
    'leases': (
        'tests.placement.test_lease',
        'tests.placement.test_lease_machine',
    ),
    'orders': (
        'tests.placement.test_orders',
        'tests.placement.test_spares',
    ),
    'mute connections': (
        'tests.edge.test_mute_connections',
        'tests.edge.test_mute_targets',
        'tests.test_http_calls',
    ),
    'pauses of targets': (
        'tests.edge.test_target_pauses',
        'tests.retries.test_target_pauses',
    ),
    'odd rows': (
        'tests.edge.test_odd_rows',
        'tests.test_untrusted',
    ),
    'stale refusals': ('tests.edge.test_stale_refusals',),
    'targets that leave': (
        'tests.edge.test_leaving_targets',
        'tests.retries.test_target_departures',
    ),
    'positions of streams': (
        'tests.edge.test_stream_ids',
        'tests.pipelines.test_stream_position',
    ),
    'what readers know': (
        'tests.edge.test_followers',
        'tests.membership.test_reader_words',
        'tests.membership.test_table_delays',
    ),
    'callers outside the limits': (
        'tests.clients.test_crowds',
        'tests.admission.test_caller_memory',
        'tests.edge.test_crowded_callers',
        'tests.edge.test_request_reader',
    ),
    'memory for answers': (
        'tests.edge.test_endless_answers',
        'tests.admission.test_answer_memory',
    ),
}
