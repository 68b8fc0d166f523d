"""Which tests prove which promise; scenarios name theirs themselves."""

from __future__ import annotations

PROOFS: dict[str, tuple[str, ...]] = {
    'promise-1': (),
    'promise-2': (),
    'promise-3': (
        'tests.border.test_refusals',
        'tests.border.test_calls_faults.UnrepeatableFaultTest',
    ),
    'promise-4': (
        'tests.claims.test_machine',
        'tests.claims.test_decider',
        'tests.claims.test_grouping',
        'tests.claims.test_settlement',
        'tests.border.test_calls.UnrepeatableCallTest',
    ),
    'promise-5': ('tests.membership.test_directory',),
    'promise-6': (),
    'promise-7': (),
    'silent-connections': (
        'tests.border.test_calls_faults.RepeatableFaultTest',
    ),
    'poison': ('tests.retries.test_quarantine',),
    'leases': (),
    'orders': (),
}
